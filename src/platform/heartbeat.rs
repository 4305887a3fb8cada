//! Decodes the heartbeats of upstreams and encodes the answers to them.
//!
//! Whoever reaches the port can write a heartbeat, so each field is checked against what an upstream can mean:
//! later readers sum numbers up, and pass all heartbeats on in frames of limited size.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::domain::fleet::Announcement;
use crate::domain::fleet::Membership;
use crate::domain::fleet::Stage;

/// Longest identifier of an upstream, and name of anything, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Largest number of models on a host.
const MAX_STAGED_MODELS: usize = 256;
/// Largest number of slots of an upstream; the sum over 65,536 upstreams fits 32 bits.
const MAX_SLOTS: u32 = 65_535;
/// Longest cold start, in milliseconds.
const MAX_COLD_MS: f64 = 3_600_000.0;
/// Latest start of an upstream, in Unix milliseconds: the year 2100.
const MAX_BORN_MS: u64 = 4_102_444_800_000;
/// Largest integer that every JSON reader keeps exact.
const MAX_SEQUENCE: u64 = 1 << 53;
/// Longest reason of a refusal, in characters.
const MAX_REASON_CHARS: usize = 200;

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Heartbeat {
    service: String,
    address: String,
    zone: String,
    slots: u32,
    // `ready` or `draining`.
    phase: String,
    #[serde(default)]
    cold_remaining_ms: f64,
    // Number of the heartbeat within the incarnation.
    sequence: u64,
    // Start of the incarnation, Unix milliseconds.
    born: Option<u64>,
    // Fabric domain; a number or a name.
    domain: Option<serde_json::Value>,
    // Models staged on the host; names, or objects with a name.
    preloaded: Option<Vec<serde_json::Value>>,
    group: Option<Group>,
}

#[derive(Deserialize)]
struct Group {
    name: String,
    epoch: u64,
    // Position in the member list; 0 is the head.
    rank: Option<u64>,
    // Stage of the membership; the phase of the upstream itself is in `Heartbeat`.
    phase: String,
}

/// Decodes the heartbeat of the upstream `id`.
///
/// # Errors
///
/// Path and reason of the first field that cannot be decoded.
pub fn decode(id: &str, body: &[u8]) -> Result<Announcement, String> {
    decode_checked(id, body).map_err(|reason| reason.chars().take(MAX_REASON_CHARS).collect())
}

fn decode_checked(id: &str, body: &[u8]) -> Result<Announcement, String> {
    // The identifier becomes a header value.
    if !id.bytes().all(|b| b.is_ascii_graphic()) {
        return Err("id: not visible ASCII".to_owned());
    }
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    let heartbeat: Heartbeat = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|e| format!("{}: {}", e.path(), e.inner()))?;
    let draining = match heartbeat.phase.as_str() {
        "ready" => false,
        "draining" => true,
        other => return Err(format!("phase: no phase {other}")),
    };
    check_address(&heartbeat.address)?;
    check("slots", heartbeat.slots <= MAX_SLOTS)?;
    check("sequence", heartbeat.sequence <= MAX_SEQUENCE)?;
    check("born", heartbeat.born.is_none_or(|b| b <= MAX_BORN_MS))?;
    let cold_range = 0.0..=MAX_COLD_MS;
    check(
        "cold-remaining-ms",
        cold_range.contains(&heartbeat.cold_remaining_ms),
    )?;
    let staged = heartbeat.preloaded.unwrap_or_default();
    check("preloaded", staged.len() <= MAX_STAGED_MODELS)?;
    let announcement = Announcement {
        id: id.to_owned(),
        incarnation: heartbeat.born.unwrap_or(0),
        sequence: heartbeat.sequence,
        service: heartbeat.service,
        address: heartbeat.address,
        zone: heartbeat.zone,
        domain: heartbeat.domain.map(name_of).unwrap_or_default(),
        slots: heartbeat.slots,
        draining,
        cold_ms: heartbeat.cold_remaining_ms as u64,
        staged: staged.into_iter().map(name_of).collect(),
        membership: heartbeat.group.map(convert_membership).transpose()?,
    };
    check_names(&announcement)?;
    Ok(announcement)
}

fn check_address(text: &str) -> Result<(), String> {
    let address: SocketAddr = text.parse().map_err(|_| "address: not an address".to_owned())?;
    let ip = address.ip();
    if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
        return Err("address: no request can be sent there".to_owned());
    }
    Ok(())
}

fn check(field: &str, is_within_limits: bool) -> Result<(), String> {
    if is_within_limits {
        return Ok(());
    }
    Err(format!("{field}: not within limits"))
}

fn check_names(announcement: &Announcement) -> Result<(), String> {
    let group = announcement.membership.as_ref().map(|m| m.group.as_str());
    let optional = [
        ("domain", announcement.domain.as_str()),
        ("group.name", group.unwrap_or_default()),
    ];
    let required = [
        ("id", announcement.id.as_str()),
        ("service", announcement.service.as_str()),
        ("zone", announcement.zone.as_str()),
    ];
    let staged = announcement.staged.iter().map(|m| ("preloaded", m.as_str()));
    for (field, name) in staged.chain(optional).chain(required) {
        check(field, name.len() <= MAX_NAME_BYTES)?;
    }
    for (field, name) in required {
        check(field, !name.is_empty())?;
    }
    Ok(())
}

/// Encodes the answer to a heartbeat; the upstream sends later heartbeats to `address`.
pub fn encode_answer(address: std::net::SocketAddr) -> String {
    serde_json::json!({ "heartbeat-endpoint": address.to_string() }).to_string()
}

fn convert_membership(group: Group) -> Result<Membership, String> {
    let stage = match group.phase.as_str() {
        "joining" => Stage::Joining,
        "ready" => Stage::Ready,
        "open" => Stage::Open,
        "closing" => Stage::Closing,
        "broken" => Stage::Broken,
        other => return Err(format!("group.phase: no phase {other}")),
    };
    Ok(Membership {
        group: group.name,
        epoch: group.epoch,
        rank: group.rank.unwrap_or(0),
        stage,
    })
}

/// Name given by a string, a number or the field `name` of an object.
fn name_of(value: serde_json::Value) -> String {
    match value {
        serde_json::Value::String(text) => text,
        serde_json::Value::Object(fields) => fields
            .get("name")
            .and_then(|n| n.as_str())
            .unwrap_or_default()
            .to_owned(),
        other => other.to_string(),
    }
}
