//! Status that operators read.

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
    /// Whether it was heard lately.
    pub present: bool,
    /// Whether it is ready in its group.
    pub ready: bool,
    /// Fencing number of the last order that it carried out.
    pub fence: u64,
}

/// Status of the whole system.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Status {
    /// Identity of the leader.
    pub leader: String,
    /// Term of the leader.
    pub term: u64,
    /// Voters of the log.
    pub voters: Vec<String>,
    /// Learners of the log.
    pub learners: Vec<String>,
    /// Replicated state without the ledger.
    pub state: State,
    /// Index that each entry has confirmed.
    pub applied: BTreeMap<String, u64>,
    /// VMs.
    pub vms: BTreeMap<String, Vm>,
    /// Groups with a member missing.
    pub broken_groups: usize,
    /// Accelerators of VMs that hold capacity outside a complete group.
    pub stranded_accelerators: u32,
    /// Keys in the ledger.
    pub ledger_keys: usize,
}

impl Status {
    /// Sessions that have not confirmed `index`.
    pub fn sessions_behind(&self, index: u64) -> Vec<&str> {
        let late = self.applied.iter().filter(|(_, applied)| **applied < index);
        late.map(|(session, _)| session.as_str()).collect()
    }
}
