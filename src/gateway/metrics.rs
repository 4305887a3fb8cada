//! Metrics of a gateway.

use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;

/// Bounds of the latency histograms, in seconds.
const BOUNDS: [f64; 12] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0];

/// Counters and histograms of a gateway.
#[derive(Clone, Debug)]
pub(super) struct Metrics {
    registry: Registry,
    /// Requests by service and outcome.
    pub(super) requests: IntCounterVec,
    /// Refusals by reason.
    pub(super) refusals: IntCounterVec,
    /// Sends by how they ended.
    pub(super) sends: IntCounterVec,
    /// Time to the answer or its first event, by service.
    pub(super) first: HistogramVec,
    /// Time for which requests waited for room.
    pub(super) waits: Histogram,
    pub(super) reports: IntCounterVec,
    pub(super) version: IntGauge,
    pub(super) targets: IntGauge,
    pub(super) events: IntCounter,
}

impl Metrics {
    pub(super) fn new() -> Self {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let options = Opts::new(format!("heatherramp_gateway_{name}"), help);
            let counter = IntCounterVec::new(options, labels).expect("legal names");
            registry
                .register(Box::new(counter.clone()))
                .expect("a unique name");
            counter
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(format!("heatherramp_gateway_{name}"), help).expect("a legal name");
            registry.register(Box::new(gauge.clone())).expect("a unique name");
            gauge
        };
        let bounds = |name: &str, help: &str| {
            HistogramOpts::new(format!("heatherramp_gateway_{name}"), help).buckets(BOUNDS.to_vec())
        };
        let first = bounds("first_seconds", "Time to the answer or its first event");
        let first = HistogramVec::new(first, &["service"]).expect("a legal name");
        let waits = bounds("wait_seconds", "Time for which requests waited for room");
        let waits = Histogram::with_opts(waits).expect("a legal name");
        let events = IntCounter::new("heatherramp_gateway_events_total", "Events passed to callers")
            .expect("a legal name");
        registry.register(Box::new(first.clone())).expect("a unique name");
        registry.register(Box::new(waits.clone())).expect("a unique name");
        registry
            .register(Box::new(events.clone()))
            .expect("a unique name");
        Metrics {
            requests: counters("requests_total", "Requests by outcome", &["service", "outcome"]),
            refusals: counters("refusals_total", "Refusals by reason", &["reason"]),
            sends: counters("sends_total", "Sends by how they ended", &["service", "outcome"]),
            reports: counters("reports_total", "Reports to the leader by outcome", &["outcome"]),
            version: gauge("catalog_version", "Version of the catalog in force"),
            targets: gauge("targets", "Targets named by the leader"),
            first,
            waits,
            events,
            registry,
        }
    }

    pub(super) fn text(&self) -> String {
        let encoder = prometheus::TextEncoder::new();
        encoder
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}
