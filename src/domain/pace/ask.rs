//! What a gateway asks a relay for.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Ask for a permit to send one request to one of several targets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ask {
    /// Identifiers of the targets that have room for the request.
    pub targets: Vec<String>,
    /// Requests in any second that a target of the service may get while it announces no cold start.
    pub warm_per_s: f64,
    /// Requests in any second that it may get while it announces one.
    pub cold_per_s: f64,
    /// Path of the targets' health check, which the relay calls.
    pub health_path: String,
    /// Priority of the request; 0 is the most urgent.
    pub rank: u8,
    /// Longest wait for a permit, in milliseconds.
    pub wait_ms: u64,
    /// Client account of the request, if the permits are to be shared evenly among accounts; older gateways state
    /// none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<String>,
    /// Number of targets at the beginning of the list that get the request while one of them has a permit left.
    ///
    /// Left out by gateways without a zone preference and by earlier builds, and ignored by relays of such builds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub near: usize,
}

impl Ask {
    /// Longest wait for a permit.
    pub(super) fn wait(&self) -> Duration {
        Duration::from_millis(self.wait_ms)
    }
}

fn is_zero(count: &usize) -> bool {
    *count == 0
}
