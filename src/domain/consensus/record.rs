//! Records of the log, and the hard state and the snapshot that are stored with it.

use serde::Deserialize;
use serde::Serialize;

/// Content of one record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Payload {
    /// No-op that a new leader appends, so that it can commit in its own term.
    Empty,
    /// Encoded command for the replicated state machine.
    Command(String),
    /// Cluster membership, in force from this record on.
    Members {
        /// Identities of the members that vote.
        voters: Vec<String>,
        /// Identities of the members that receive the log and do not vote.
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
    /// No-op, command or membership.
    pub payload: Payload,
}

/// Persistent Raft state, to be durable before any message that depends on it is sent.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: u64,
    /// Candidate for which this node voted in the term.
    pub vote: Option<String>,
}

/// State of the replicated state machine that replaces the log up to an index.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Index of the last record that the state includes.
    pub index: u64,
    /// Term of the record at `index`.
    pub term: u64,
    /// Voters after the record at `index`.
    pub voters: Vec<String>,
    /// Learners after the record at `index`.
    pub learners: Vec<String>,
    /// State in the encoding of the state machine; empty before the first record.
    pub state: String,
}

impl Snapshot {
    /// Records of a stored log that follow the snapshot.
    ///
    /// None if the log disagrees with the snapshot, that is, has a record of another term at its index.
    pub fn later_records(&self, mut records: Vec<Record>) -> Vec<Record> {
        let disagrees = |r: &Record| r.index == self.index && r.term != self.term;
        if records.iter().any(disagrees) {
            return Vec::new();
        }
        records.retain(|r| r.index > self.index);
        records
    }
}
