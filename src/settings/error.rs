//! Errors of settings files.

use std::fmt;

/// What is wrong with a settings file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// The file cannot be read.
    Read,
    /// The content is not valid JSON with comments, or does not match the settings.
    Parse,
    /// A value is out of range or contradicts another one.
    Value,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Error::Read => "cannot read the settings file",
            Error::Parse => "the settings file is not valid",
            Error::Value => "a setting has an invalid value",
        })
    }
}

impl std::error::Error for Error {}
