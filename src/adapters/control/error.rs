//! Errors of requests to the control group.

use std::fmt;

/// Failure of a request to the control group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// No leader answered in time; the request may have taken effect.
    Unavailable,
    /// The leader refused the request for this reason.
    Refused(String),
    /// The command cannot be encoded, or the answer cannot be decoded.
    Malformed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unavailable => f.write_str("no leader of the control group answered in time"),
            Error::Refused(reason) => f.write_str(reason),
            Error::Malformed => f.write_str("the control group sent an unreadable answer"),
        }
    }
}

impl std::error::Error for Error {}
