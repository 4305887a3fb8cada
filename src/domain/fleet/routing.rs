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
    /// Address that accepts requests.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Service that it serves.
    pub service: String,
    /// Model, for the head of a group.
    pub model: Option<String>,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is in its cold start.
    pub cold: bool,
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
    /// Addresses of the controllers.
    pub controllers: Vec<String>,
}
