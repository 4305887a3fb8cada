//! Events and actions of an owner.

use std::time::Duration;

use super::Call;
use super::Refusal;
use crate::domain::membership::Report;
use crate::domain::state::State;

/// Input to [`super::Owner::step`].
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// Newer replicated state.
    State(&'a State),
    /// Lease of this entry, by its own clock.
    Lease {
        /// Time at which it ends.
        until: Duration,
    },
    /// Answer of a member to a probe.
    ProbeAnswered {
        /// Group.
        group: u64,
        /// Position of the member.
        position: usize,
        /// Time at which the probe was sent.
        sent: Duration,
        /// What the member reports.
        report: Report,
    },
    /// A call arrives.
    Arrive(Call),
    /// The first part of an answer came.
    ResponseStarted {
        /// Call.
        call: &'a str,
    },
    /// A call ended.
    Ended {
        /// Call.
        call: &'a str,
        /// How it ended.
        completion: Completion,
    },
    /// The caller left before the call was dispatched.
    Cancel {
        /// Call.
        call: &'a str,
    },
    /// The process is shutting down; queued calls are refused.
    Drain,
    /// Passage of time.
    Tick,
}

/// How a call at a replica ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Completion {
    /// Answered, or given up by its caller.
    Normal,
    /// Answered with an error, or not sent at all.
    Failed,
    /// Connection or answer broke off, or the replica refused to serve.
    Interrupted,
}

/// Output of [`super::Owner::step`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send the call to a replica now.
    Start {
        /// Call.
        call: String,
        /// Group.
        group: u64,
        /// Fencing number of the group.
        fence: u64,
        /// Address of the first member.
        address: String,
    },
    /// Refuse the call; no byte of it has gone out.
    Refuse {
        /// Call.
        call: String,
        /// Why.
        reason: Refusal,
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
}
