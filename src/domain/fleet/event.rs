//! Inputs and outputs of a controller's decision core.

use std::time::Duration;

use super::Answer;
use super::Call;
use super::Command;
use super::Contact;
use super::Loss;
use super::Order;
use super::Phase;
use super::Probe;
use crate::domain::consensus;

/// Correlates an answer with the caller that waits for it.
pub type Ticket = u64;

/// Input to [`super::Core::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; sent at a regular interval.
    Tick,
    /// Message from another controller.
    Consensus {
        /// Identity of the sender.
        from: String,
        /// Message of the consensus protocol.
        message: consensus::Message,
    },
    /// Call of a gateway, a VM, an operator or another controller.
    Call {
        /// Ticket of the caller.
        ticket: Ticket,
        /// What the caller asks for.
        call: Call,
    },
    /// How a probe or an order of this leader ended.
    Contact(Contact),
    /// The process is shutting down; the core transfers leadership to another voter if it leads.
    Shutdown,
}

/// Event at the leader, for the daemon's log lines and metrics.
#[derive(Clone, Debug)]
pub enum Telemetry {
    /// The group of this epoch accepts requests.
    Opened(u64),
    /// The group of this epoch is closed: the reason, and the identifier of the VM that caused it.
    Lost(u64, Loss, String),
    /// A phase of the repair of a group has ended, after this time.
    Phase(Phase, Duration),
    /// The leader has applied a committed command.
    Committed(Command),
    /// A zone is taken out of service in which no VM has said to be.
    UnnamedZone(String),
    /// A prompt part is in quarantine.
    Quarantined {
        /// Prompt part.
        part: String,
        /// Targets whose crashes decided it, one entry for each crash.
        targets: Vec<String>,
    },
    /// The prompt part is not in quarantine any more.
    Released(String),
}

/// Output of [`super::Core::step`]; the daemon executes all actions in order.
#[derive(Clone, Debug)]
pub enum Action {
    /// Durable write or message of the consensus protocol.
    Consensus(consensus::Action),
    /// Answer to the caller with this ticket.
    Answer(Ticket, Answer),
    /// Order to a VM.
    Order(Order),
    /// Connection to a VM, to learn whether a process listens there; the result is an [`Event::Contact`].
    Probe(Probe),
    /// This node has become leader (true) or has lost leadership (false).
    Leadership(bool),
    /// Record in log lines and metrics.
    Telemetry(Telemetry),
}
