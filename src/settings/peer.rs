//! Name and address of a control process.

use serde::Deserialize;
use serde::Serialize;

/// A control process, as other processes reach it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Name of the control VM.
    pub name: String,
    /// Address for the system's own processes.
    pub address: String,
}
