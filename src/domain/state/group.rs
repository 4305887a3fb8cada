//! Replica groups and their members.

use serde::Deserialize;
use serde::Serialize;

use super::Stage;

/// VM in a group, as it was announced when the group claimed it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name of the VM.
    pub vm: String,
    /// Number that changes whenever the upstream process on the VM restarts.
    pub incarnation: u64,
    /// Address of the upstream.
    pub address: String,
}

/// VMs that together serve one replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Group {
    /// Number that is never reused: the log index at which the group was formed.
    pub id: u64,
    /// Environment that the group serves.
    pub environment: String,
    /// Stage that the group serves.
    pub stage: Stage,
    /// Document version whose model the group loads.
    pub version: u64,
    /// Availability zone.
    pub zone: String,
    /// Fabric domain.
    pub domain: String,
    /// Members; the first one answers calls.
    pub members: Vec<Member>,
    /// Fencing token of the current members: the log index at which they were claimed.
    pub fence: u64,
    /// Log index from which the group receives no new work, while it drains.
    pub draining: Option<u64>,
    /// Session of the entry that dispatches calls to the group.
    pub owner: Option<String>,
    /// Ownership epoch: the number of owner changes.
    pub epoch: u64,
    /// Log index of the last owner change.
    pub owned_since: u64,
}
