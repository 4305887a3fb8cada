//! Tunable limits of load balancing, retries and admission.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Settings of load balancing, retries and admission.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Retries allowed per request of a service, over all gateways.
    pub retry_ratio: f64,
    /// Retries allowed beyond that per service and window, over all gateways.
    pub retry_extra: f64,
    /// Length of the sliding window of the retry budget, in seconds.
    pub retry_window_s: f64,
    /// Fraction of the allowed retries that is used; the rest is a margin for requests that leave the
    /// sliding window before the retries that they allowed.
    pub retry_use: f64,
    /// Consecutive failures after which a target is ejected; a stall ejects it immediately.
    pub eject_failures: u32,
    /// Duration of a target's first ejection, in milliseconds; doubles with each further one.
    pub eject_ms: u64,
    /// Longest ejection of a target, in milliseconds.
    pub eject_max_ms: u64,
    /// Multiplier on an upstream's cold rate while the upstream announces a cold start.
    pub cold_use: f64,
    /// Multiplier on an upstream's cold rate while the upstream announces no cold start.
    pub warm_use: f64,
    /// Multiple of the cold rate that an upstream bears in any second, before [`Self::cold_tolerance`].
    pub cold_overshoot: f64,
    /// Requests in any second that a cold upstream bears beyond that.
    pub cold_tolerance: f64,
    /// Targets drawn at random for each request, of which the least loaded is chosen.
    pub compared: u32,
    /// Fraction of an engine's slots that requests of all gateways together may occupy.
    pub engine_fill: f64,
    /// Fraction of the latency objective for which a request may wait for room.
    pub wait_part: f64,
    /// Connections to targets that this gateway keeps open for other gateways.
    pub max_tunnels: u32,
    /// Largest answer that is collected whole, in bytes; one that goes on is broken off.
    pub max_answer_bytes: usize,
    /// Whether routes with session affinity choose targets with regard to the prompts that these may hold.
    pub prompt_reuse: bool,
    /// Whether asks for permits state the client account, so that a relay shares scarce permits evenly among the
    /// accounts of one priority.
    pub account_shares: bool,
    /// Whether requests to upstreams carry the priority of the account or route.
    pub engine_priority: bool,
    /// Whether requests stay in their availability zone while that costs nothing.
    pub zone_preference: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            retry_ratio: 0.2,
            retry_extra: 100.0,
            retry_window_s: 10.0,
            retry_use: 0.7,
            eject_failures: 3,
            eject_ms: 500,
            eject_max_ms: 8_000,
            cold_use: 0.9,
            // Upstreams tolerate 1.5 times their cold rate for a short time; this uses half of the excess.
            warm_use: 1.25,
            cold_overshoot: 1.5,
            cold_tolerance: 5.0,
            compared: 3,
            engine_fill: 1.0,
            // A caller that is refused early has time to retry before its deadline.
            wait_part: 0.12,
            max_tunnels: 512,
            // Bounds the memory that requests to a faulty upstream take together.
            max_answer_bytes: 8 << 20,
            // Present engines retain no prompt after its request, and choices on routes that have the flag for
            // other reasons must stay as they are.
            prompt_reuse: false,
            // Both change which requests are served first where capacity is short.
            account_shares: false,
            engine_priority: false,
            // Pays where traffic between zones is charged for, and existing deployments are served as before.
            zone_preference: false,
        }
    }
}

impl Settings {
    pub(super) fn ejection_time(&self, previous_ejections: u32) -> Duration {
        let ms = self.eject_ms.saturating_mul(1 << previous_ejections.min(16));
        Duration::from_millis(ms.min(self.eject_max_ms))
    }

    pub(super) fn retry_window(&self) -> Duration {
        Duration::from_secs_f64(self.retry_window_s)
    }
}
