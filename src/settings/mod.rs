//! Settings files of the daemons: JSON with comments.
//!
//! Unknown fields and bad values are refused with the path and the reason.
//! docs/SETTINGS.md lists all settings.

mod connections;
mod control;
mod entry;
mod error;
mod fleet;
mod gateway;
mod intake;
pub mod jsonc;
mod peer;

use std::path::Path;

use error_stack::Report;
use error_stack::ResultExt;
use serde::de::DeserializeOwned;

pub use connections::Connections;
pub use control::Control;
pub use control::Operator;
pub use entry::Drain;
pub use entry::Entry;
pub use error::Error;
pub use fleet::Fleet;
pub use gateway::Gateway;
pub use intake::Intake;
pub use peer::Peer;

/// Reads and parses the settings file at `path`.
///
/// # Errors
///
/// [`Error::Read`] if the file cannot be read, [`Error::Parse`] with the path of the field and
/// the reason if its content is not valid.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, Report<Error>> {
    let text = std::fs::read_to_string(path)
        .change_context(Error::Read)
        .attach_with(|| path.display().to_string())?;
    jsonc::parse(&text).map_err(|error| Report::new(error).change_context(Error::Parse))
}
