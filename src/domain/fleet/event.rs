//! Events and actions of one controller.

use super::Answer;
use super::Call;
use super::Command;
use super::Loss;
use super::Order;
use crate::domain::consensus;

/// Number by which the daemon finds who waits for an answer.
pub type Ticket = u64;

/// Input to [`super::Core::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Passage of time.
    Tick,
    /// Message from another controller.
    Consensus {
        /// Identity of the sender.
        from: String,
        /// The message.
        message: consensus::Message,
    },
    /// Call of a gateway, a VM, an operator or another controller.
    Call {
        /// Who waits.
        ticket: Ticket,
        /// The call.
        call: Call,
    },
    /// The process is shutting down and should not lead.
    Retire,
}

/// What the leader believes from now on, for the log.
#[derive(Clone, Debug)]
pub enum Note {
    /// A group takes requests.
    Opened(u64),
    /// A group is closed because of a member.
    Lost(u64, Loss, String),
    /// A command was committed.
    Committed(Command),
}

/// Output of [`super::Core::step`], to be carried out in order.
#[derive(Clone, Debug)]
pub enum Action {
    /// Durable write or message of the log.
    Consensus(consensus::Action),
    /// Answer for a ticket.
    Answer(Ticket, Answer),
    /// Order to a VM.
    Order(Order),
    /// This node has started or stopped to lead.
    Leadership(bool),
    /// Change of what the leader believes.
    Note(Note),
}
