//! Decodes the heartbeats of upstreams and encodes the answers to them.

use serde::Deserialize;

use crate::domain::fleet::Announcement;
use crate::domain::fleet::Membership;
use crate::domain::fleet::Stage;

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
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    let heartbeat: Heartbeat = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|e| format!("{}: {}", e.path(), e.inner()))?;
    let draining = match heartbeat.phase.as_str() {
        "ready" => false,
        "draining" => true,
        other => return Err(format!("phase: no phase {other}")),
    };
    if heartbeat.address.parse::<std::net::SocketAddr>().is_err() {
        return Err("address: not an address".to_owned());
    }
    Ok(Announcement {
        id: id.to_owned(),
        incarnation: heartbeat.born.unwrap_or(0),
        sequence: heartbeat.sequence,
        service: heartbeat.service,
        address: heartbeat.address,
        zone: heartbeat.zone,
        domain: heartbeat.domain.map(name_of).unwrap_or_default(),
        slots: heartbeat.slots,
        draining,
        cold_ms: heartbeat.cold_remaining_ms.max(0.0) as u64,
        staged: names_of(heartbeat.preloaded),
        membership: heartbeat.group.map(convert_membership).transpose()?,
    })
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

fn names_of(values: Option<Vec<serde_json::Value>>) -> Vec<String> {
    values.unwrap_or_default().into_iter().map(name_of).collect()
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
