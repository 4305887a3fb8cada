//! Metrics of an entry.

use prometheus::Histogram;
use prometheus::IntCounterVec;
use prometheus::IntGauge;

use crate::daemon::Registry;

/// Upper bounds of the histogram of the time to the first token, in seconds.
const FIRST_TOKEN_BOUNDS_S: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.78, 1.5, 3.0, 6.0, 12.0];

/// Counters, gauges and histograms of an entry.
#[derive(Clone, Debug)]
pub(super) struct Metrics {
    registry: Registry,
    pub(super) calls: IntCounterVec,
    pub(super) attempts_failed: IntCounterVec,
    pub(super) first_token: Histogram,
    pub(super) in_flight: IntGauge,
    pub(super) queued: IntGauge,
    pub(super) replicas_open: IntGauge,
    pub(super) replicas_owned: IntGauge,
    pub(super) lease: IntGauge,
}

impl Metrics {
    pub(super) fn new() -> Self {
        let registry = Registry::new("heatherramp");
        let gauge = |name: &str, help: &str| registry.gauge(name, help);
        let counter = |name: &str, help: &str, labels: &[&str]| registry.counters(name, help, labels);
        Metrics {
            calls: counter("calls_total", "Calls by outcome", &["environment", "outcome"]),
            attempts_failed: counter(
                "attempts_failed_total",
                "Attempts that broke off",
                &["environment"],
            ),
            first_token: registry.histogram(
                "first_token_seconds",
                "Time to the first token",
                &FIRST_TOKEN_BOUNDS_S,
            ),
            in_flight: gauge("calls_in_flight", "Calls in flight at owned replicas"),
            queued: gauge("calls_queued", "Calls that wait for an owned replica"),
            replicas_open: gauge("replicas_open", "Owned replicas that take new work"),
            replicas_owned: gauge("replicas_owned", "Owned replicas"),
            lease: gauge("entry_lease", "1 while this entry holds a valid lease"),
            registry,
        }
    }

    /// All metrics in the Prometheus text format.
    pub(super) fn text(&self) -> String {
        self.registry.text()
    }
}
