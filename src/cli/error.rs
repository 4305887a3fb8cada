//! Errors of the operator command.

use std::fmt;

/// Why a command failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// A file or an option cannot be used.
    Input(String),
    /// No control process gave a usable answer.
    Unreachable,
    /// The system refused the change.
    Refused(String),
    /// Another operator's change came first.
    Conflict(String),
    /// The expected result did not come in time.
    Timeout(String),
    /// A configuration has this many warnings.
    Warnings(usize),
    /// Controllers would refuse a configuration.
    Invalid,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Input(reason) => write!(f, "bad input: {reason}"),
            Error::Unreachable => f.write_str("no control process gave a usable answer"),
            Error::Refused(reason) => write!(f, "refused: {reason}"),
            Error::Conflict(reason) => write!(f, "conflict: {reason}"),
            Error::Timeout(reason) => write!(f, "timed out: {reason}"),
            Error::Warnings(count) => write!(f, "warnings: {count}"),
            Error::Invalid => f.write_str("controllers would refuse the configuration"),
        }
    }
}

impl std::error::Error for Error {}

impl Error {
    /// Exit code of the program, after sysexits.h: EX_USAGE, EX_UNAVAILABLE, EX_DATAERR, EX_TEMPFAIL
    /// and EX_SOFTWARE, in the order below; 1 and 2 are the results of `config check`.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Input(_) => 64,
            Error::Unreachable => 69,
            Error::Refused(_) => 65,
            Error::Conflict(_) => 75,
            Error::Timeout(_) => 70,
            Error::Warnings(_) => 1,
            Error::Invalid => 2,
        }
    }
}
