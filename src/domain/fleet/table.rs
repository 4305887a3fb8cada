//! What gateways are told.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::domain::catalog::Compressed;

/// VM that takes requests: a replica of a service, or the head of an open group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Identifier of the VM.
    pub id: String,
    /// Address.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Service.
    pub service: String,
    /// Model, for groups.
    pub model: Option<String>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is in its cold start.
    pub cold: bool,
}

/// Answer to a gateway's report.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Table {
    /// Term and revision of the targets.
    pub revision: (u64, u64),
    /// Targets; left out when the gateway holds this revision, or while a new leader
    /// does not know all VMs.
    pub targets: Option<Vec<Target>>,
    /// Targets that take no new requests.
    pub closed: Vec<String>,
    /// Availability zones that are out of service.
    pub zones_out: Vec<String>,
    /// JSON of the catalog; left out when the gateway holds this version, and when it is so large
    /// that all controllers share the work of sending it.
    pub catalog: Option<Compressed>,
    /// Version of the catalog in force.
    pub version: u64,
    /// Requests in progress at each target from all other gateways.
    pub running: BTreeMap<String, u32>,
    /// Targets that some gateway has seen stop and none has seen answer since.
    pub stalled: Vec<String>,
    /// This gateway's part of limits that all gateways share.
    pub share: f64,
    /// Gateways that share limits, at least 1.
    pub gateways: usize,
    /// Addresses of the controllers.
    pub controllers: Vec<String>,
}
