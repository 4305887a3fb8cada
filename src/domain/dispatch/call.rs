//! Calls as the dispatcher sees them, and reasons to refuse them.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::domain::state::Stage;

/// Properties of a call that decide when and where it is dispatched.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Identifier, unique in the system; each attempt after a failure gets its own.
    pub id: String,
    /// Name of the environment.
    pub environment: String,
    /// Stage, trial or production.
    pub stage: Stage,
    /// Name of the client account.
    pub client_account: String,
    /// Weight of the client account in the fair queue.
    pub share: u32,
    /// Largest number of queued calls of the client account.
    pub max_queued: usize,
    /// Priority class; a higher one is dispatched first within the account.
    pub priority: u8,
    /// Hash of the start of the prompt, for prefix-cache affinity; 0 for no affinity.
    pub prefix_hash: u64,
    /// Time by which the call must be dispatched; it is refused afterwards.
    pub deadline: Duration,
    /// Group at which an earlier attempt failed; used only when no other has free slots.
    pub avoid: Option<u64>,
}

/// Reason why a call is not dispatched.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// This owner has no replica of the environment that is open or about to open.
    NoReplica,
    /// The queue of the environment or of the client account is full.
    QueueFull,
    /// The call would wait past its deadline.
    Deadline,
    /// This entry has no valid lease.
    NoLease,
    /// This entry is shutting down.
    Draining,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Refusal::NoReplica => "no replica serves the environment",
            Refusal::QueueFull => "the queue is full",
            Refusal::Deadline => "the wait would be too long",
            Refusal::NoLease => "the entry has no valid lease",
            Refusal::Draining => "the entry is shutting down",
        })
    }
}
