//! Messages between the nodes of the replicated log.

use serde::Deserialize;
use serde::Serialize;

use super::Record;
use super::Snapshot;

/// One message; its envelope names the sender and the receiver.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Request for a vote, in an election or in the pre-vote round before it.
    #[serde(rename = "Vote")]
    RequestVote {
        /// Term of the election, or of the election that would follow the pre-vote round.
        term: u64,
        /// Whether this is the pre-vote round.
        pre: bool,
        /// Whether the current leader ordered the election, to transfer leadership.
        transfer: bool,
        /// Index of the candidate's last record.
        last_index: u64,
        /// Term of the candidate's last record.
        last_term: u64,
    },
    /// Answer to [`Message::RequestVote`].
    #[serde(rename = "Ballot")]
    VoteResponse {
        /// Term of the request when granted, else the voter's own term.
        term: u64,
        /// Whether this answers the pre-vote round.
        pre: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Records from the leader (Raft's AppendEntries); a heartbeat may carry none.
    Append {
        /// Term of the leader.
        term: u64,
        /// Index of the record before the first one in `records`.
        previous_index: u64,
        /// Term of the record at `previous_index`.
        previous_term: u64,
        /// Records to append, in order.
        records: Vec<Record>,
        /// Commit index of the leader.
        commit: u64,
        /// Leader's clock at sending, in milliseconds; echoed in the answer.
        sent_ms: u64,
    },
    /// Answer to [`Message::Append`] and [`Message::Install`].
    Acknowledge {
        /// Term of the follower.
        term: u64,
        /// Whether the follower's log matches the leader's up to `index`.
        stored: bool,
        /// Last matching index if `stored`, else the index at which the leader next tries to
        /// find a match.
        index: u64,
        /// `sent_ms` of the message that this answers, in milliseconds.
        sent_ms: u64,
    },
    /// Snapshot for a follower that needs records which the leader has compacted.
    Install {
        /// Term of the leader.
        term: u64,
        /// Snapshot that replaces the follower's state and log.
        snapshot: Snapshot,
        /// Leader's clock at sending, in milliseconds; echoed in the answer.
        sent_ms: u64,
    },
    /// Order from the leader to start an election immediately (Raft's TimeoutNow).
    Campaign {
        /// Term of the leader.
        term: u64,
    },
}

impl Message {
    /// Term in the message.
    pub fn term(&self) -> u64 {
        match self {
            Message::RequestVote { term, .. }
            | Message::VoteResponse { term, .. }
            | Message::Append { term, .. }
            | Message::Acknowledge { term, .. }
            | Message::Install { term, .. }
            | Message::Campaign { term } => *term,
        }
    }
}
