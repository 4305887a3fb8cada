//! A call as dispatch sees it.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::domain::state::Stage;

/// What dispatch needs to know of one call.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Identity, unique in the system.
    pub id: String,
    /// Environment.
    pub environment: String,
    /// Setting.
    pub stage: Stage,
    /// Client account.
    pub client_account: String,
    /// Weight of the client account.
    pub share: u32,
    /// Queued calls that the client account may have.
    pub max_queued: usize,
    /// Priority class; a higher one goes first within the account.
    pub priority: u8,
    /// Hash of the start of the prompt, for cache affinity; 0 for none.
    pub prefix_hash: u64,
    /// Latest time of dispatch.
    pub deadline: Duration,
    /// Replica that a failed attempt used, to be avoided.
    pub avoid: Option<u64>,
}

/// Reason why a call is not dispatched.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// No replica of the environment serves here.
    NoReplica,
    /// The queue is full, for everybody or for the client account.
    QueueFull,
    /// The wait would be longer than the call allows.
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
