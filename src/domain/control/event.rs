//! Events and actions of a control process.

use crate::domain::consensus;
use crate::domain::membership::Announcement;
use crate::domain::placement::Order;
use crate::domain::state::Command;
use crate::domain::state::Entry;
use crate::domain::state::Reply;
use crate::domain::state::State;

use super::Status;

/// Number of a request, by which the daemon returns the answer to its caller.
pub type Ticket = u64;

/// Input to [`super::Core::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Passage of time.
    Tick,
    /// Message from another control process.
    Consensus {
        /// Identity of the sender.
        from: String,
        /// The message.
        message: consensus::Message,
    },
    /// Commands of clients, to be proposed in one batch.
    Propose(Vec<(Ticket, Command)>),
    /// An entry renews its session and waits for changes of the state.
    Sync {
        /// Ticket of the request.
        ticket: Ticket,
        /// Session identity.
        session: String,
        /// Address and availability zone of the entry.
        entry: Entry,
        /// Index of the last record that the entry has applied.
        applied: u64,
        /// Whether the entry is shutting down.
        draining: bool,
        /// Draining groups at which the entry has calls in flight.
        busy: Vec<u64>,
    },
    /// A VM announces itself and reports its state.
    Announce {
        /// Ticket of the request.
        ticket: Ticket,
        /// The announcement.
        announcement: Announcement,
    },
    /// An operator asks for the status of the system.
    QueryStatus {
        /// Ticket of the request.
        ticket: Ticket,
    },
    /// An operator admits a control process as a learner, which becomes a voter when it
    /// has caught up.
    AddVoter {
        /// Ticket of the request.
        ticket: Ticket,
        /// Identity of the process.
        identity: String,
    },
    /// The process is shutting down and transfers leadership if it leads.
    Shutdown,
}

/// Answer to the request of a ticket.
#[derive(Clone, Debug)]
pub enum Answer {
    /// Reply of the state machine.
    Applied(Reply),
    /// The request was carried out.
    Done,
    /// This process does not lead; identity of the leader, if known.
    Redirect(Option<String>),
    /// Changes for an entry, or the whole state when it is too far behind for them.
    Synced {
        /// Index of the last record that the answer covers.
        index: u64,
        /// Whole state without the ledger.
        snapshot: Option<Box<State>>,
        /// Commands after the entry's index, each with its log index.
        changes: Vec<(u64, Command)>,
    },
    /// Status of the system.
    Status(Box<Status>),
    /// The request was refused, for this reason.
    Refused(String),
}

impl Default for Answer {
    // Answer to a request that the daemon drops when it stops.
    fn default() -> Self {
        Answer::Redirect(None)
    }
}

/// Output of [`super::Core::step`], to be executed in order.
#[derive(Clone, Debug)]
pub enum Action {
    /// Durable write or message of the consensus protocol.
    Consensus(consensus::Action),
    /// Answer for a ticket.
    Answer(Ticket, Answer),
    /// Order to a VM.
    Order(Order),
    /// Applied command that this leader proposed itself, with its reply, for the log file.
    Decision(Command, Reply),
    /// Whether this process has the role of leader, with or without a lease; sent when that
    /// changes.
    Leadership(bool),
}
