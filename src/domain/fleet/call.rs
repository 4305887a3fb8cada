//! Calls to the controllers and their answers.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::Announcement;
use super::Document;
use super::Table;
use crate::domain::catalog::Compressed;

/// Report of a gateway; the answer is its routing table.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Report {
    /// Identity of the gateway process.
    pub gateway: String,
    /// Term and revision of the targets that the gateway holds.
    pub targets: (u64, u64),
    /// Version of the catalog that the gateway holds.
    pub version: u64,
    /// This gateway's requests in progress, by target.
    pub running: BTreeMap<String, u32>,
    /// Identifiers of targets that answered within the last second.
    pub served: Vec<String>,
    /// Identifiers of targets that have stopped answering.
    pub stalled: Vec<String>,
    /// Requested work by service and model, in seconds of one group's time per second.
    pub demand: BTreeMap<String, f64>,
    /// Whether the gateway is shutting down and accepts no new requests.
    pub draining: bool,
}

/// Call to a controller. Only the leader answers; `Catalog` is answered by any controller.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Call {
    /// A controller asks to join the replicated log.
    Join {
        /// Identity of the controller.
        identity: String,
    },
    /// An operator submits a catalog.
    Adopt(Box<Document>),
    /// An operator takes an availability zone out of service or back in.
    SetZone {
        /// Availability zone.
        zone: String,
        /// Whether the zone is out of service.
        out: bool,
    },
    /// An operator reads the text of the catalog in force.
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
    /// A gateway fetches the catalog; any controller answers.
    Catalog {
        /// Version that the gateway holds.
        above: u64,
    },
}

/// Answer to a call.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Answer {
    /// The call has taken effect, or had nothing to change.
    Done,
    /// The receiver is not the leader; holds the leader's identity if known.
    Redirect(Option<String>),
    /// Text of the catalog in force, if there is one.
    Text(Option<Compressed>),
    /// JSON of the catalog that the receiver has applied, if it is newer than the caller's.
    Catalog(Option<Compressed>),
    /// Routing table for a gateway.
    Table(Box<Table>),
}

impl Default for Answer {
    fn default() -> Self {
        Answer::Redirect(None)
    }
}
