//! Errors of calls to upstreams.

use std::fmt;

/// Failure of a call to an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// No connection could be opened, so no byte was sent.
    NotSent,
    /// The upstream refused the call with this HTTP status and did not run it.
    Refused(u16),
    /// The upstream answered with this HTTP status and body instead of a result.
    Status(u16, String),
    /// The connection or the answer broke off, or the answer is unreadable or too large.
    Broken,
    /// The memory budget has no room for the answer.
    Shortage,
    /// The answer, or a part of it, did not come in time.
    Timeout,
    /// The answer belongs to another request, or has a gap or a repeat.
    Mismatch,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::NotSent => f.write_str("no connection to the upstream"),
            Error::Refused(status) => write!(f, "the upstream refused the call with status {status}"),
            Error::Status(status, _) => write!(f, "the upstream answered with status {status}"),
            Error::Broken => f.write_str("the answer of the upstream broke off"),
            Error::Shortage => f.write_str("there is no memory for the answer of the upstream"),
            Error::Timeout => f.write_str("the upstream has been silent for too long"),
            Error::Mismatch => f.write_str("the answer does not belong to the request"),
        }
    }
}

impl std::error::Error for Error {}
