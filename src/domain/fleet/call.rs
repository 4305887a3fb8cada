//! Calls to the controllers and their answers.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::Announcement;
use super::Controller;
use super::Document;
use super::Helper;
use super::Overview;
use super::version;
use crate::domain::catalog::Compressed;
use crate::domain::limit::Ask;
use crate::domain::limit::Notice;
use crate::domain::pace;
use crate::domain::quarantine::Evidence;

/// Report of a gateway; the answer is an [`Overview`].
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Report {
    /// Identity of the gateway process.
    pub gateway: String,
    /// Term of the leader that sent the gateway's targets, and revision of the targets within it.
    pub targets: (u64, u64),
    /// Version of the catalog that the gateway holds.
    #[serde(flatten, with = "version::held")]
    pub version: Option<u64>,
    /// This gateway's requests in progress, by target.
    pub running: BTreeMap<String, u32>,
    /// Identifiers of targets that answered or sent an event within the last second.
    pub served: Vec<String>,
    /// Identifiers of targets with silent streams, or with a failed send and no answer since.
    pub stalled: Vec<String>,
    /// Targets whose hosts refuse this gateway's connections, with their incarnation.
    #[serde(default)]
    pub refused: BTreeMap<String, u64>,
    /// Requested work by `service/model`, in seconds of one group's time per second, which is the
    /// number of groups that it would keep busy.
    pub demand: BTreeMap<String, f64>,
    /// Address at which the gateway takes heartbeats over; none while it shuts down.
    pub heartbeat_address: Option<String>,
    /// Further heartbeats of VMs whose earlier ones with the same content this controller has acknowledged.
    pub renewed: Vec<Renewal>,
    /// Rate limits that the leader does not list as this gateway knows them.
    #[serde(default)]
    pub limits: Vec<Notice>,
    /// Permits that the gateway asks for and returns, by target.
    #[serde(default)]
    pub asks: BTreeMap<String, Ask>,
    /// Crashes that this gateway has seen, and sound runs of the parts that the leader asked about.
    #[serde(default)]
    pub evidence: Evidence,
    /// Availability zone and region of the gateway.
    #[serde(default)]
    pub place: Place,
    /// Address at which the gateway opens connections to targets for others; none while it does not.
    #[serde(default)]
    pub helper_address: Option<String>,
    /// Revision of the helpers that the gateway holds.
    #[serde(default)]
    pub helpers: u64,
}

/// Where a gateway is.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Place {
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
}

/// Heartbeat that a controller has received.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Heard {
    /// Heartbeat.
    pub announcement: Announcement,
    /// Time since the controller received it, in milliseconds.
    pub age_ms: u64,
}

/// Further heartbeat of a VM with the content of an earlier one.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Renewal {
    /// Identifier of the VM.
    pub id: String,
    /// Incarnation of the VM.
    pub incarnation: u64,
    /// Number of the heartbeat within the incarnation.
    pub sequence: u64,
}

/// What one controller has heard from gateways and VMs; the answer is an [`Overview`].
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Digest {
    /// The controller that sends the digest.
    pub controller: Controller,
    /// Term of the leader that sent the controller's targets, and revision of the targets within it.
    pub targets: (u64, u64),
    /// Version of the catalog that the controller has relayed to its gateways.
    #[serde(flatten, with = "version::held")]
    pub version: Option<u64>,
    /// Identities of the gateways that report to this controller.
    pub gateways: Vec<String>,
    /// Requests in progress from these gateways, by target.
    pub running: BTreeMap<String, u32>,
    /// Targets that answered one of these gateways within the last second, and whether one of those
    /// gateways does not report the target as stalled.
    pub served: BTreeMap<String, bool>,
    /// Targets that one of these gateways reports as stalled.
    pub stalled: Vec<String>,
    /// Targets whose hosts refuse the connections of one of these gateways, with their incarnation.
    #[serde(default)]
    pub refused: BTreeMap<String, u64>,
    /// Requested work by `service/model`, as in [`Report::demand`].
    pub demand: BTreeMap<String, f64>,
    /// Heartbeats whose content the leader does not have.
    pub changed: Vec<Heard>,
    /// Heartbeats whose content the leader has.
    pub renewed: Vec<Renewal>,
    /// Rate limits that the leader does not list as these gateways know them.
    #[serde(default)]
    pub limits: Vec<Notice>,
    /// Merged evidence of these gateways.
    #[serde(default)]
    pub evidence: Evidence,
    /// Helpers among these gateways, if they have changed since the leader received them.
    #[serde(default)]
    pub own_helpers: Option<Vec<Helper>>,
    /// Revision of the leader's list of helpers that the controller holds.
    #[serde(default)]
    pub helpers: u64,
}

/// Call to a controller. Only the leader carries calls out, and other controllers redirect to it;
/// any controller answers `Report`, `Withdraw`, `Announce` and `Catalog`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Call {
    /// A controller asks to join the replicated log.
    Join {
        /// Identity of the controller.
        identity: String,
    },
    /// A controller shuts down. Answered once it has no vote any more, or nobody could take the vote over.
    Depart {
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
    /// Heartbeat of a VM. A controller's relay passes it on, except that of a VM that shuts down: that one
    /// is acknowledged by the leader.
    Announce(Box<Announcement>),
    /// A VM has shut down.
    Leave {
        /// Identifier of the VM.
        id: String,
    },
    /// Report of a gateway, for a controller's relay.
    Report(Box<Report>),
    /// A gateway now reports to another controller than this one.
    Withdraw {
        /// Identity of the gateway process.
        gateway: String,
    },
    /// A gateway asks its relay for a permit of one of these targets.
    Permit {
        /// Identifiers of the targets.
        targets: Vec<String>,
    },
    /// A gateway asks its relay for a permit for a target that may be cold.
    Pace(Box<pace::Ask>),
    /// A controller passes on what it has heard from gateways and VMs.
    Digest(Box<Digest>),
    /// A gateway fetches the catalog; any controller answers.
    Catalog {
        /// Version that the gateway holds; only a higher one is sent.
        #[serde(flatten, with = "version::above")]
        above: Option<u64>,
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
    /// Routing information for a gateway or a controller.
    Overview(Box<Overview>),
    /// Target for which a permit was issued, if there is one.
    Permit(Option<String>),
}

/// Needed by the mailbox for a call that is dropped without an answer; the caller then tries another
/// controller.
impl Default for Answer {
    fn default() -> Self {
        Answer::Redirect(None)
    }
}
