//! Calls to the leading controller and their answers.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::Announcement;
use super::Document;
use super::Table;
use crate::domain::catalog::Compressed;

/// What a gateway reports; the answer is its table.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Report {
    /// Identity of the gateway's process.
    pub gateway: String,
    /// Term and revision of the targets that it holds.
    pub targets: (u64, u64),
    /// Version of the catalog that it holds.
    pub version: u64,
    /// Requests in progress at each target.
    pub running: BTreeMap<String, u32>,
    /// Targets that answered within the last second.
    pub served: Vec<String>,
    /// Targets that have stopped answering.
    pub stalled: Vec<String>,
    /// Requested work by service and model, in seconds of one group per second.
    pub demand: BTreeMap<String, f64>,
    /// Whether the gateway takes no new requests.
    pub draining: bool,
}

/// Call to the leader, if its description does not say otherwise.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Call {
    /// A controller asks to become a member of the log.
    Join {
        /// Identity of the controller.
        identity: String,
    },
    /// An operator sets the catalog.
    Adopt(Box<Document>),
    /// An operator takes an availability zone out of service or back in.
    SetZone {
        /// Availability zone.
        zone: String,
        /// Whether it is out.
        out: bool,
    },
    /// Somebody reads the catalog's text.
    Read,
    /// Heartbeat of a VM.
    Announce(Box<Announcement>),
    /// A VM has shut down.
    Leave {
        /// Identifier of the VM.
        id: String,
    },
    /// Report of a gateway.
    Report(Box<Report>),
    /// A gateway fetches a catalog; any controller answers.
    Catalog {
        /// Version that the gateway holds.
        above: u64,
    },
}

/// Answer to a call.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Answer {
    /// Done, or it holds already.
    Done,
    /// The receiver does not lead; with the identity of the leader if known.
    Redirect(Option<String>),
    /// Text of the catalog in force, if there is one.
    Text(Option<Compressed>),
    /// JSON of the catalog that the receiver has applied, if it is newer than the one held.
    Catalog(Option<Compressed>),
    /// Table for a gateway.
    Table(Box<Table>),
}

impl Default for Answer {
    fn default() -> Self {
        Answer::Redirect(None)
    }
}
