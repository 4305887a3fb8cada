//! Heartbeats and state reports of upstreams.

use serde::Deserialize;

use crate::domain::fleet::Announcement;
use crate::domain::fleet::Membership;
use crate::domain::fleet::Stage;

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Beat {
    service: String,
    address: String,
    zone: String,
    slots: u32,
    // Whether it serves or is leaving.
    phase: String,
    #[serde(default)]
    cold_remaining_ms: f64,
    // Counts the heartbeats of one incarnation.
    sequence: u64,
    // Start of the incarnation, Unix milliseconds.
    born: Option<u64>,
    domain: Option<serde_json::Value>,
    preloaded: Option<Vec<serde_json::Value>>,
    group: Option<Group>,
}

#[derive(Deserialize)]
struct Report {
    born: Option<u64>,
    group: Option<Group>,
    preloaded: Option<Vec<serde_json::Value>>,
}

#[derive(Deserialize)]
struct Group {
    name: String,
    epoch: u64,
    // Place in the member list; 0 is the head.
    rank: Option<u64>,
    phase: String,
}

/// Decodes the heartbeat of the upstream `id`.
///
/// # Errors
///
/// The path and reason of the first field that cannot be read.
pub fn decode(id: &str, body: &[u8]) -> Result<Announcement, String> {
    let mut json = serde_json::Deserializer::from_slice(body);
    let beat: Beat =
        serde_path_to_error::deserialize(&mut json).map_err(|e| format!("{}: {}", e.path(), e.inner()))?;
    let draining = match beat.phase.as_str() {
        "ready" => false,
        "draining" => true,
        other => return Err(format!("phase: no phase {other}")),
    };
    if beat.address.parse::<std::net::SocketAddr>().is_err() {
        return Err("address: not an address".to_owned());
    }
    Ok(Announcement {
        id: id.to_owned(),
        incarnation: beat.born.unwrap_or(0),
        sequence: beat.sequence,
        service: beat.service,
        address: beat.address,
        zone: beat.zone,
        domain: beat.domain.map(text).unwrap_or_default(),
        slots: beat.slots,
        draining,
        cold_ms: beat.cold_remaining_ms.max(0.0) as u64,
        staged: names(beat.preloaded),
        membership: beat.group.map(membership).transpose()?,
    })
}

/// Body of the answer to a heartbeat; later heartbeats go to `address`.
pub fn answer(address: std::net::SocketAddr) -> String {
    serde_json::json!({ "heartbeat-endpoint": address.to_string() }).to_string()
}

/// Decodes what an upstream says of its group in a state report.
///
/// # Errors
///
/// The reason for which the report cannot be read.
pub fn report(body: &[u8]) -> Result<(u64, Vec<String>, Option<Membership>), String> {
    let report: Report = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let group = report.group.map(membership).transpose()?;
    Ok((report.born.unwrap_or(0), names(report.preloaded), group))
}

fn membership(group: Group) -> Result<Membership, String> {
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

fn names(values: Option<Vec<serde_json::Value>>) -> Vec<String> {
    values.unwrap_or_default().into_iter().map(text).collect()
}

/// Name in a value that is a string or an object with a name.
fn text(value: serde_json::Value) -> String {
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
