//! Events that drive an owner, and the actions it returns.

use std::time::Duration;

use super::Call;
use super::Refusal;
use crate::domain::membership::Report;
use crate::domain::state::State;

/// Input to [`super::Owner::step`].
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// A newer version of the replicated state.
    State(&'a State),
    /// Renewal of this entry's lease.
    Lease {
        /// Time at which the lease ends, by the clock of this entry.
        until: Duration,
    },
    /// A member answered a probe.
    ProbeAnswered {
        /// Number of the group.
        group: u64,
        /// Position of the member in the group.
        position: usize,
        /// Time at which the probe was sent.
        sent: Duration,
        /// Report in the answer.
        report: Report,
    },
    /// A call arrived.
    Arrive(Call),
    /// The first part of a response arrived from the replica.
    ResponseStarted {
        /// Identifier of the call.
        call: &'a str,
    },
    /// A dispatched call ended.
    Ended {
        /// Identifier of the call.
        call: &'a str,
        /// How the call ended.
        completion: Completion,
    },
    /// The caller gave up before the call was dispatched.
    Cancel {
        /// Identifier of the call.
        call: &'a str,
    },
    /// The process is shutting down; queued and new calls are refused.
    Drain,
    /// Periodic timer.
    Tick,
}

/// How a dispatched call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Completion {
    /// The response is complete, or the caller gave up.
    Normal,
    /// The replica answered with an error, or the call was not sent.
    Failed,
    /// The connection or the response broke off, or the replica refused the call.
    Interrupted,
}

/// Output of [`super::Owner::step`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send the call to a replica now.
    Start {
        /// Identifier of the call.
        call: String,
        /// Number of the group.
        group: u64,
        /// Fencing number of the group.
        fence: u64,
        /// Address of the first member, which answers calls.
        address: String,
    },
    /// Refuse the call; nothing of it was sent to a replica.
    Refuse {
        /// Identifier of the call.
        call: String,
        /// Reason of the refusal.
        reason: Refusal,
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
}
