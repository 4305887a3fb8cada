//! Errors of environment documents.

use std::fmt;

/// Reason why a document is refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    /// Path of the invalid field, such as `client_accounts[2].share`.
    pub path: String,
    /// What is wrong with the field.
    pub reason: String,
}

impl Error {
    /// Error about the field at `path`.
    pub fn new(path: impl Into<String>, reason: impl Into<String>) -> Self {
        Error {
            path: path.into(),
            reason: reason.into(),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

impl std::error::Error for Error {}
