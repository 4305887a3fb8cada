//! What the lifecycle of a group asks for.

use std::time::Duration;

use super::Order;
use super::view::Loss;

/// Phase of the repair of a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// From the first report of gateways, or the last heartbeat of a silent member, until the group is closed.
    Detection,
    /// From then until it is dissolved.
    Leaving,
    /// From the formation of a group until its head is ordered to open.
    Joining,
    /// From then until the head accepts requests.
    Opening,
}

/// What the caller has to carry out after [`Lifecycle::advance`].
#[derive(Debug)]
pub(super) enum Effect {
    Order(Order),
    /// The head accepts requests. Number of the latest heartbeat of each member that shows it in the group.
    Opened(Vec<Option<u64>>),
    /// The group is to be closed: the reason, and the identifier of the VM that caused it.
    Lost(Loss, String),
    /// The head accepts no more requests, so the group may be dissolved.
    Dissolve,
    /// A phase of a repair has ended, after this time.
    Phase(Phase, Duration),
}
