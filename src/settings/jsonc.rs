//! Parser for JSON with comments, whose errors name the path of the field.

use std::fmt;

use jsonc_parser::ParseOptions;
use serde::de::DeserializeOwned;

/// Path and reason of a parse error.
#[derive(Clone, Debug)]
pub struct Error {
    /// Path of the field, `$` for the whole text.
    pub path: String,
    /// Message of the parser.
    pub reason: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

impl std::error::Error for Error {}

/// Parses JSON with comments into `T`.
///
/// # Errors
///
/// The first syntax or type error, with the path of its field.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    let syntax_error = |reason: String| Error {
        path: "$".to_owned(),
        reason,
    };
    let options = ParseOptions::default();
    let value: Option<serde_json::Value> =
        jsonc_parser::parse_to_serde_value(text, &options).map_err(|e| syntax_error(e.to_string()))?;
    let value = value.ok_or_else(|| syntax_error("is empty".to_owned()))?;
    serde_path_to_error::deserialize(value).map_err(|e| Error {
        path: e.path().to_string(),
        reason: e.inner().to_string(),
    })
}
