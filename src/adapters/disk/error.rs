//! Errors of durable storage.

use std::fmt;

/// Failure of the data folder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// The folder holds no identity: it is new, or its content was lost.
    Empty,
    /// The folder already has an identity.
    Exists,
    /// A file is missing, a stored item is invalid, or the log has a gap.
    Damaged,
    /// A write or sync failed; its data may not be durable and must not be acknowledged.
    Write,
    /// A file cannot be read.
    Read,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Error::Empty => "the data folder holds no identity",
            Error::Exists => "the data folder already has an identity",
            Error::Damaged => "the data folder is damaged",
            Error::Write => "a write or sync to the data folder failed",
            Error::Read => "a file in the data folder cannot be read",
        })
    }
}

impl std::error::Error for Error {}
