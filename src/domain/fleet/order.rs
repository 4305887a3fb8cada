//! Orders to VMs.

/// Operation that an order asks a VM to perform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Task {
    /// Load the model and become a member of the group.
    Join {
        /// Model.
        model: String,
        /// Identifiers of all members, the head first.
        members: Vec<String>,
    },
    /// Load a model's weights onto the host without joining a group.
    Stage {
        /// Model.
        model: String,
    },
    /// Head: accept requests.
    Open,
    /// Head: finish running requests and accept no more.
    Close,
    /// Leave the group.
    Leave,
}

impl Task {
    /// Name of the operation, for log lines.
    pub fn name(&self) -> &'static str {
        match self {
            Task::Join { .. } => "join",
            Task::Stage { .. } => "stage",
            Task::Open => "open",
            Task::Close => "close",
            Task::Leave => "leave",
        }
    }
}

/// Order to one VM; the leader resends it until a heartbeat of the VM shows the effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Identifier of the VM.
    pub vm: String,
    /// Incarnation of the VM that the order is for.
    pub incarnation: u64,
    /// Address of the VM.
    pub address: String,
    /// Epoch of the group; 0 for an order without a group.
    pub epoch: u64,
    /// Fencing token: the leader's term, by which VMs can refuse orders of a former leader.
    pub fence: u64,
    /// Operation to perform.
    pub task: Task,
}

impl Order {
    /// Name of the group; `g0` for an order without a group.
    pub fn group(&self) -> String {
        group_name(self.epoch)
    }
}

/// Name of the group with this epoch.
pub(super) fn group_name(epoch: u64) -> String {
    format!("g{epoch}")
}

/// Whether `name` is that of the group with this epoch.
pub(super) fn is_name_of(name: &str, epoch: u64) -> bool {
    let digits = name.strip_prefix('g');
    digits.is_some_and(|digits| !digits.starts_with(['0', '+']) && digits.parse() == Ok(epoch))
}
