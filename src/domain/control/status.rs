//! Status of the system, for operators.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::domain::state::State;

/// Status of one VM, as the leader knows it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Vm {
    /// Availability zone.
    pub availability_zone: String,
    /// Fabric domain.
    pub fabric_domain: String,
    /// Whether it announced itself within the presence timeout.
    pub present: bool,
    /// Whether it reports that it is ready in its group.
    pub ready: bool,
    /// Fencing token of the last order that it carried out.
    pub fence: u64,
}

/// Status of the whole system.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Status {
    /// Identity of the leader.
    pub leader: String,
    /// Term of the leader.
    pub term: u64,
    /// Identities of the voters of the replicated log.
    pub voters: Vec<String>,
    /// Identities of the learners of the replicated log.
    pub learners: Vec<String>,
    /// Replicated state without the ledger.
    pub state: State,
    /// Index that each entry has confirmed as applied, by session.
    pub applied: BTreeMap<String, u64>,
    /// VMs by name.
    pub vms: BTreeMap<String, Vm>,
    /// Number of groups with a member missing.
    pub broken_groups: usize,
    /// Number of accelerators of VMs outside ready groups.
    pub stranded_accelerators: u32,
    /// Number of idempotency keys in the ledger.
    pub ledger_keys: usize,
}

impl Status {
    /// Sessions that have not confirmed `index`.
    pub fn sessions_behind(&self, index: u64) -> Vec<&str> {
        let behind = self.applied.iter().filter(|(_, applied)| **applied < index);
        behind.map(|(session, _)| session.as_str()).collect()
    }
}
