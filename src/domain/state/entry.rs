//! Entry processes that hold a session.

use serde::Deserialize;
use serde::Serialize;

/// An entry process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Address at which other processes of the system reach it.
    pub address: String,
    /// Availability zone.
    pub zone: String,
}
