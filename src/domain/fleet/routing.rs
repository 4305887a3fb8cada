//! Routing tables that the leader sends to gateways.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::domain::catalog::Compressed;

/// VM that accepts requests: a replica of a service, or the head of an open group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Identifier of the VM.
    pub id: String,
    /// Incarnation of the VM; a restart under the same identifier increases it.
    #[serde(default)]
    pub incarnation: u64,
    /// Address that accepts requests.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Service that it serves.
    pub service: String,
    /// Model, for the head of a group.
    pub model: Option<String>,
    /// Largest number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is in its cold start, in which gateways allow it a lower rate of requests.
    pub cold: bool,
}

/// Controller that gateways and VMs may call.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Controller {
    /// Address for the system's own processes.
    pub address: String,
    /// Availability zone; empty while the leader has not heard from the controller.
    pub zone: String,
}

/// Routing table for one gateway, the answer to its report.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Table {
    /// Term and revision of the targets in force.
    pub revision: (u64, u64),
    /// Targets; left out when the gateway holds this revision.
    pub targets: Option<Vec<Target>>,
    /// Identifiers of VMs that accept no new requests.
    pub closed: Vec<String>,
    /// Availability zones that are out of service.
    pub zones_out: Vec<String>,
    /// JSON of the catalog; left out when the gateway holds this version, and when it is so large
    /// that gateways fetch it from any controller to spread the load.
    pub catalog: Option<Compressed>,
    /// Version of the catalog in force.
    pub version: u64,
    /// Requests in progress from all other gateways, by target.
    pub running: BTreeMap<String, u32>,
    /// Targets that some gateway reports as stalled and none as serving.
    pub stalled: Vec<String>,
    /// Fraction of shared limits that this gateway may use, 0 to 1.
    pub share: f64,
    /// Number of gateways that share limits, at least 1.
    pub gateways: usize,
    /// Members of the replicated log.
    pub controllers: Vec<Controller>,
    /// Age of this information when the report arrived, in milliseconds: the time since the controller
    /// that answers asked the leader for it.
    pub age_ms: u64,
}
