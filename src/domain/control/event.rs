//! Events and actions of a control process.

use crate::domain::consensus;
use crate::domain::membership::Announcement;
use crate::domain::placement::Order;
use crate::domain::state::Command;
use crate::domain::state::Entry;
use crate::domain::state::Reply;
use crate::domain::state::State;

use super::Status;

/// Number by which the daemon finds who waits for an answer.
pub type Ticket = u64;

/// Input to [`super::Core::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Passage of time.
    Tick,
    /// Message from another voter.
    Consensus {
        /// Identity of the sender.
        from: String,
        /// The message.
        message: consensus::Message,
    },
    /// Commands to commit as one batch.
    Propose(Vec<(Ticket, Command)>),
    /// An entry renews its session.
    Sync {
        /// Who waits.
        ticket: Ticket,
        /// Session identity.
        session: String,
        /// Where and what the entry is.
        entry: Entry,
        /// Index that the entry has applied.
        applied: u64,
        /// Whether the entry is shutting down.
        draining: bool,
        /// Draining groups at which it has calls in flight.
        busy: Vec<u64>,
    },
    /// An upstream announces itself.
    Announce {
        /// Who waits.
        ticket: Ticket,
        /// The announcement.
        announcement: Announcement,
    },
    /// Somebody asks for the status.
    QueryStatus {
        /// Who waits.
        ticket: Ticket,
    },
    /// An operator admits a control process, first as a learner.
    AddVoter {
        /// Who waits.
        ticket: Ticket,
        /// Identity of the process.
        identity: String,
    },
    /// The process is shutting down and should not lead.
    Shutdown,
}

/// Answer to the holder of a ticket.
#[derive(Clone, Debug)]
pub enum Answer {
    /// Reply of the state machine.
    Applied(Reply),
    /// Done, with nothing to say.
    Done,
    /// Not the leader; with the leader's identity if known.
    Redirect(Option<String>),
    /// Changes for an entry, or a whole state when it is too far behind.
    Synced {
        /// Index of the answer.
        index: u64,
        /// Whole state.
        snapshot: Option<Box<State>>,
        /// Changes after the entry's index.
        changes: Vec<(u64, Command)>,
    },
    /// Status.
    Status(Box<Status>),
    /// Refusal with a reason.
    Refused(String),
}

impl Default for Answer {
    fn default() -> Self {
        Answer::Redirect(None)
    }
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
    /// Placement decision, for the log.
    Decision(Command, Reply),
    /// This node has started or stopped to lead.
    Leadership(bool),
}
