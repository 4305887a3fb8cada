//! Routing information that the leader sends to the controllers, and they to the gateways.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Helpers;
use super::relay::OVERVIEW_VALIDITY;
use super::target_log::Update;
use super::version;
use crate::domain::catalog::Compressed;
use crate::domain::limit::Limit;

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
    /// Rate limit that it has named; none if no gateway has reported one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<Limit>,
}

/// Controller that gateways and VMs may call.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Controller {
    /// Address for the system's own processes.
    pub address: String,
    /// Availability zone; empty while the leader has not heard from the controller.
    pub zone: String,
}

/// The leader's answer to a controller's digest, and a controller's answer to a gateway's report.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Overview {
    /// Term and revision of the targets in force.
    pub revision: (u64, u64),
    /// Changes of the targets since the receiver's revision; left out when it holds this one.
    pub update: Option<Update>,
    /// Identifiers of VMs that accept no new requests.
    pub closed: Vec<String>,
    /// Availability zones that are out of service.
    pub zones_out: Vec<String>,
    /// JSON of the catalog; left out when the receiver holds this version, and when it is so large
    /// that gateways fetch it from any controller to spread the load.
    pub catalog: Option<Compressed>,
    /// Version of the catalog in force.
    #[serde(flatten, with = "version::held")]
    pub version: Option<u64>,
    /// Requests in progress at each target, in the order of their identifiers. To a controller: those of
    /// gateways that report to other controllers. To a gateway: those of all gateways.
    pub running: Vec<u32>,
    /// Targets that some gateway reports as stalled and none as serving.
    pub stalled: Vec<String>,
    /// Demand of all gateways over all services and models, in groups.
    pub demand: f64,
    /// Number of gateways that share limits, at least 1.
    pub gateways: usize,
    /// Members of the replicated log.
    pub controllers: Vec<Controller>,
    /// Age of this information when the report arrived, in milliseconds: the time since the controller
    /// that answers asked the leader for it.
    pub age_ms: u64,
    /// Prompt parts that gateways are asked about: those that may have caused crashes, and those in
    /// quarantine.
    #[serde(default)]
    pub suspects: Vec<String>,
    /// Prompt parts in quarantine.
    #[serde(default)]
    pub quarantined: Vec<String>,
    /// Permits for targets with a rate limit, issued to the gateway that reported.
    #[serde(default)]
    pub granted: BTreeMap<String, u32>,
    /// Whether the controller issues permits for targets that may be cold; older builds do not.
    #[serde(default)]
    pub issues_pace_permits: bool,
    /// To a controller: all helpers. To a gateway: those that it may turn to. Left out when the receiver holds
    /// this revision.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub helpers: Option<Helpers>,
    /// VMs whose renewals the sender of this overview could not assign, so that it needs their whole heartbeats.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unknown: Vec<String>,
}

impl Overview {
    /// Whether the load in this overview holds, beside its targets. An older one comes from a controller that
    /// has lost the leader.
    pub fn is_recent(&self) -> bool {
        Duration::from_millis(self.age_ms) < OVERVIEW_VALIDITY
    }
}

/// Routing table of one gateway.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Targets, if they have changed.
    pub targets: Option<Vec<Target>>,
    /// Identifiers of VMs that accept no new requests.
    pub closed: Vec<String>,
    /// Availability zones that are out of service.
    pub zones_out: Vec<String>,
    /// Requests in progress from all other gateways, by target.
    pub running: BTreeMap<String, u32>,
    /// Targets that some gateway reports as stalled and none as serving.
    pub stalled: Vec<String>,
    /// Fraction of shared limits that this gateway may use, 0 to 1.
    pub share: f64,
    /// Permits issued to this gateway, for targets with a rate limit.
    pub granted: BTreeMap<String, u32>,
    /// Number of gateways that share limits, at least 1.
    pub gateways: usize,
    /// Whether the controller issues permits for targets that may be cold.
    pub issues_pace_permits: bool,
}

/// Fraction of shared limits that is split equally between gateways whatever their demand, so that
/// a gateway whose callers have just arrived can serve them.
const EQUAL_SHARE_FRACTION: f64 = 0.3;

/// Fraction of shared limits that a gateway with `own` of the whole `demand` gets:
/// [`EQUAL_SHARE_FRACTION`] is split equally, the rest by demand. Without any demand all of it is split
/// equally.
///
/// The fractions of all gateways add up to 1 once `demand` includes their latest reports.
pub fn share(own: f64, demand: f64, gateways: usize) -> f64 {
    let equal = 1.0 / gateways.max(1) as f64;
    if demand <= 0.0 {
        return equal;
    }
    EQUAL_SHARE_FRACTION * equal + (1.0 - EQUAL_SHARE_FRACTION) * (own / demand).min(1.0)
}
