//! What a VM says of itself in a heartbeat.

use serde::Deserialize;
use serde::Serialize;

/// Stage of a VM's membership in a group.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Stage {
    /// Weights are on their way.
    Joining,
    /// Weights are in place.
    Ready,
    /// The head takes requests.
    Open,
    /// The head finishes its requests.
    Closing,
    /// A member was lost for too long.
    Broken,
}

/// Membership that a VM reports.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Membership {
    /// Name of the group.
    pub group: String,
    /// Epoch of the group.
    pub epoch: u64,
    /// Place in the member list, 0 for the head.
    pub rank: u64,
    /// Stage.
    pub stage: Stage,
}

/// Heartbeat of a VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Identifier.
    pub id: String,
    /// Incarnation: start of the VM's process, Unix milliseconds by its own clock.
    pub incarnation: u64,
    /// Number of the heartbeat within the incarnation.
    pub sequence: u64,
    /// Service.
    pub service: String,
    /// Address that takes requests.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Fabric domain.
    pub domain: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Remaining time of its cold start, in milliseconds.
    pub cold_ms: u64,
    /// Models staged on its host.
    pub staged: Vec<String>,
    /// Its group, if any.
    pub membership: Option<Membership>,
}
