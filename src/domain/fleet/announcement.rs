//! Heartbeats of VMs: where a VM is, what it can serve and which group it belongs to.

use serde::Deserialize;
use serde::Serialize;

/// Stage of a VM's membership in a group.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Stage {
    /// The VM loads the weights of the model.
    Joining,
    /// The weights are loaded. The head is ordered to open once all members are ready.
    Ready,
    /// Head: accepts requests.
    Open,
    /// Head: finishes its requests and accepts no more.
    Closing,
    /// Head: refuses requests because a member was lost for longer than
    /// [`Timing::stall_ms`](super::Timing::stall_ms).
    Broken,
}

/// Group membership that a VM reports.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Membership {
    /// Name of the group.
    pub group: String,
    /// Epoch of the group: the log index of its formation.
    pub epoch: u64,
    /// Index in the member list, 0 for the head.
    pub rank: u64,
    /// How far the membership has come.
    pub stage: Stage,
}

/// Heartbeat of a VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Identifier of the VM.
    pub id: String,
    /// Start of the VM's process, in Unix milliseconds by the VM's clock; a restart increases it. 0 if
    /// the VM reports none.
    pub incarnation: u64,
    /// Number of the heartbeat within the incarnation.
    pub sequence: u64,
    /// Service that the VM serves.
    pub service: String,
    /// Address that accepts requests and orders.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Fabric domain; all members of a group are in the same one.
    pub domain: String,
    /// Largest number of requests that the VM runs concurrently.
    pub slots: u32,
    /// Whether the VM is shutting down.
    pub draining: bool,
    /// Remaining time of the cold start, in milliseconds, in which the VM serves fewer requests; 0
    /// after it.
    pub cold_ms: u64,
    /// Models whose weights are on the VM's host, from where a join loads them faster than from the
    /// weight store.
    pub staged: Vec<String>,
    /// Group membership, if any.
    pub membership: Option<Membership>,
}

impl Announcement {
    /// Whether two heartbeats agree on what a VM does not change within an incarnation.
    pub fn has_fixed_fields_of(&self, other: &Announcement) -> bool {
        self.service == other.service
            && self.address == other.address
            && self.zone == other.zone
            && self.domain == other.domain
    }

    /// Whether two heartbeats differ at most in the sequence number and the remaining time of the cold
    /// start. The start or end of a cold start counts as a difference.
    pub fn has_content_of(&self, other: &Announcement) -> bool {
        self.id == other.id
            && self.incarnation == other.incarnation
            && self.has_fixed_fields_of(other)
            && self.slots == other.slots
            && self.draining == other.draining
            && (self.cold_ms == 0) == (other.cold_ms == 0)
            && self.staged == other.staged
            && self.membership == other.membership
    }
}
