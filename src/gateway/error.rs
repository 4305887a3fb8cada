//! Errors of the gateway.

use std::fmt;

/// Why the gateway cannot run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// An address cannot be opened.
    Listen,
    /// The deployment keys cannot be used.
    Keys,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Error::Listen => "cannot open an address",
            Error::Keys => "cannot use the deployment keys",
        })
    }
}

impl std::error::Error for Error {}
