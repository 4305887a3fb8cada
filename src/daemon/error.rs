//! Errors of the daemons.

use std::fmt;

/// Why a daemon cannot run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// The data folder cannot be used.
    Storage,
    /// An address cannot be bound, or a thread cannot be started.
    Listen,
    /// The deployment keys cannot be used.
    Keys,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Error::Storage => "cannot use the data folder",
            Error::Listen => "cannot listen on an address or start a thread",
            Error::Keys => "cannot use the deployment keys",
        })
    }
}

impl std::error::Error for Error {}
