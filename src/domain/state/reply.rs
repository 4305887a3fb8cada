//! Replies of the replicated state machine.

use serde::Deserialize;
use serde::Serialize;

use super::Verdict;

/// Reply to one command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The command took effect.
    Accepted {
        /// Version of the document or zone after a change by an operator, fencing token of a
        /// claim, or 0 for other commands.
        version: u64,
        /// Log index of the command.
        index: u64,
    },
    /// The change is based on an outdated version: another change came first.
    Conflict {
        /// Number of the newest version, or of the one in production for a promotion.
        current: u64,
        /// Operator who made the other change.
        operator: String,
    },
    /// The command does not fit the state and had no effect.
    Refused {
        /// Reason, for the operator or the log file.
        reason: String,
    },
    /// Decision of the ledger.
    Ledger(Verdict),
}

impl Reply {
    /// Refusal for `reason`.
    pub fn refused(reason: impl Into<String>) -> Self {
        Reply::Refused {
            reason: reason.into(),
        }
    }
}
