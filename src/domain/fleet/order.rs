//! Orders to VMs.

/// What a VM is asked to do in a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Task {
    /// Load the model and become a member.
    Join {
        /// Model.
        model: String,
        /// Identifiers of the members, the head first.
        members: Vec<String>,
    },
    /// Load a model's weights onto the host, outside of any group.
    Stage {
        /// Model.
        model: String,
    },
    /// Head: take requests.
    Open,
    /// Head: finish the requests that it has and take no more.
    Close,
    /// Give the membership up.
    Leave,
}

/// Order to one VM; repeated until its heartbeat shows the effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Identifier of the VM.
    pub vm: String,
    /// Address of the VM.
    pub address: String,
    /// Epoch of the group.
    pub epoch: u64,
    /// Fencing token: the term of the leader.
    pub fence: u64,
    /// What to do.
    pub task: Task,
}

impl Order {
    /// Name of the group.
    pub fn group(&self) -> String {
        group_name(self.epoch)
    }
}

/// Name of the group with that epoch.
pub(super) fn group_name(epoch: u64) -> String {
    format!("g{epoch}")
}
