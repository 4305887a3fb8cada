//! Connections of the leader to VMs, by which it learns whether a VM's process still runs.

use std::time::Duration;

use super::Order;

/// Connection that the leader asks for, to learn whether a process listens at a VM's address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Probe {
    /// Identifier of the VM.
    pub vm: String,
    /// Incarnation whose address it is.
    pub incarnation: u64,
    /// Address that accepts requests and orders.
    pub address: String,
}

/// How a new connection to a VM's address ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply {
    /// A process accepted it; which one is unknown.
    Accepted,
    /// A process answered an order, other than with status 421.
    Answered,
    /// A process answered an order with status 421, so it is not the VM's process.
    Misdirected,
    /// The host refused it, so no process listened.
    Refused,
    /// It failed before anything of the order went out.
    Unsent,
    /// It timed out, was reset or failed in another way. An order may be carried out all the same, also much later.
    Unclear,
}

/// Probe or order of the leader and how it ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Contact {
    /// Identifier of the VM.
    pub vm: String,
    /// Incarnation that the probe or order was meant for.
    pub incarnation: u64,
    /// When connecting began, by the controller's clock.
    pub begun: Duration,
    /// How it ended.
    pub reply: Reply,
    /// The order; none for a probe.
    pub order: Option<Order>,
}
