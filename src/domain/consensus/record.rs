//! Records of the log and the durable values beside it.

use serde::Deserialize;
use serde::Serialize;

/// Content of one record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Payload {
    /// First record of a term, without effect on the state.
    Empty,
    /// Encoded command for the state machine.
    Command(String),
    /// Voters and learners from this record on.
    Members {
        /// Identities that vote.
        voters: Vec<String>,
        /// Identities that receive the log and do not vote.
        learners: Vec<String>,
    },
}

/// One record of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Position in the log, from 1.
    pub index: u64,
    /// Term of the leader that appended the record.
    pub term: u64,
    /// Content.
    pub payload: Payload,
}

/// Term and vote, durable before any answer that depends on them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// Latest term seen.
    pub term: u64,
    /// Candidate that received this voter's vote in the term.
    pub vote: Option<String>,
}

/// State machine image that replaces the log up to an index.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Index of the last record in the image.
    pub index: u64,
    /// Term of that record.
    pub term: u64,
    /// Voters at that record.
    pub voters: Vec<String>,
    /// Learners at that record.
    pub learners: Vec<String>,
    /// Encoded state.
    pub state: String,
}
