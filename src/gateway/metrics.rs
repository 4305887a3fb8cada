//! Metrics of a gateway.

use prometheus::Histogram;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;

use crate::daemon::Registry;

/// Upper bounds of the buckets of the latency histograms, in seconds.
const LATENCY_BOUNDS_S: [f64; 12] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0];

/// Counters, gauges and histograms of a gateway.
#[derive(Clone, Debug)]
pub(super) struct Metrics {
    registry: Registry,
    /// Requests by service and status of the answer.
    pub(super) requests: IntCounterVec,
    /// Refusals by reason.
    pub(super) refusals: IntCounterVec,
    /// Sends by service and outcome.
    pub(super) sends: IntCounterVec,
    /// Sends by service and whether the target is in the gateway's zone.
    pub(super) zone_sends: IntCounterVec,
    /// Sends without a connection by service and cause.
    pub(super) unconnected: IntCounterVec,
    /// Number of targets that the last report named as stalled.
    pub(super) stalled_targets: IntGauge,
    /// Lost requests that count as evidence of a crash.
    pub(super) crash_evidence: IntCounter,
    /// Lost requests for which the leader has to tell whether they are evidence of a crash.
    pub(super) undecided_losses: IntCounter,
    /// Connections through a helper.
    pub(super) detours: IntCounter,
    /// Answers of helpers by status.
    pub(super) helper_answers: IntCounterVec,
    /// Number of targets that are or lately were reached through helpers.
    pub(super) detour_targets: IntGauge,
    /// Whether this gateway is partitioned from targets, 0 or 1.
    pub(super) partitioned: IntGauge,
    /// Number of tunnels that are open for other gateways.
    pub(super) tunnels: IntGauge,
    /// Time from the request to its answer or first event, by service.
    pub(super) first_answer: HistogramVec,
    /// Time for which requests waited for room.
    pub(super) wait: Histogram,
    /// Reports to the leading controller by outcome.
    pub(super) reports: IntCounterVec,
    /// Version of the latest catalog that was put in force, -1 before the first one.
    pub(super) version: IntGauge,
    /// Number of targets that the leader named.
    pub(super) targets: IntGauge,
    /// Number of targets that have named a rate limit to this gateway.
    pub(super) limited_targets: IntGauge,
    /// Asks for permits by priority of the request and outcome.
    pub(super) pace_asks: IntCounterVec,
    /// Number of prompt parts in quarantine.
    pub(super) quarantined_parts: IntGauge,
    /// Number of requests in quarantine.
    pub(super) quarantined_requests: IntGauge,
    /// Prompt tokens that targets were expected to hold, by service.
    pub(super) reuse_expected: IntCounterVec,
    /// Prompt tokens of those that count as reused by the learned gain, by service.
    pub(super) reuse_found: IntCounterVec,
    /// Bytes held for callers by kind.
    pub(super) held_bytes: IntGaugeVec,
    /// Holdings that the memory budget has refused or dropped, by kind.
    pub(super) memory_refusals: IntCounterVec,
    /// Events received from upstreams for callers.
    pub(super) events: IntCounter,
}

impl Metrics {
    pub(super) fn new() -> Self {
        let registry = Registry::new("heatherramp_gateway");
        let counters = |name: &str, help: &str, labels: &[&str]| registry.counters(name, help, labels);
        let gauge = |name: &str, help: &str| registry.gauge(name, help);
        let metrics = Metrics {
            requests: counters("requests_total", "Requests by outcome", &["service", "outcome"]),
            refusals: counters("refusals_total", "Refusals by reason", &["reason"]),
            sends: counters("sends_total", "Sends by how they ended", &["service", "outcome"]),
            zone_sends: counters(
                "zone_sends_total",
                "Sends by zone of the target",
                &["service", "zone"],
            ),
            unconnected: counters(
                "unconnected_sends_total",
                "Sends without a connection by cause",
                &["service", "cause"],
            ),
            crash_evidence: registry.counter(
                "crash_evidence_total",
                "Lost requests that count as evidence of a crash",
            ),
            undecided_losses: registry.counter(
                "undecided_losses_total",
                "Lost requests left to the leader to decide whether a crash ended them",
            ),
            detours: registry.counter("detours_total", "Connections through a helper"),
            helper_answers: counters(
                "helper_answers_total",
                "Answers of helpers by status",
                &["status"],
            ),
            detour_targets: gauge("detour_targets", "Targets reached through helpers"),
            partitioned: gauge(
                "partitioned",
                "1 while this gateway is partitioned from targets, else 0",
            ),
            tunnels: gauge("tunnels", "Tunnels open for other gateways"),
            stalled_targets: gauge("stalled_targets", "Targets that the last report named as stalled"),
            reports: counters("reports_total", "Reports to the leader by outcome", &["outcome"]),
            version: gauge("catalog_version", "Version of the catalog in force, -1 for none"),
            targets: gauge("targets", "Targets named by the leader"),
            limited_targets: gauge("limited_targets", "Targets with a rate limit of their own"),
            pace_asks: counters(
                "pace_asks_total",
                "Asks for permits of targets that may be cold",
                &["priority", "outcome"],
            ),
            quarantined_parts: gauge("quarantined_parts", "Prompt parts in quarantine"),
            quarantined_requests: gauge("quarantined_requests", "Requests in quarantine"),
            first_answer: registry.histograms(
                "first_seconds",
                "Time to the answer or its first event",
                &LATENCY_BOUNDS_S,
                &["service"],
            ),
            wait: registry.histogram(
                "wait_seconds",
                "Time for which requests waited for room",
                &LATENCY_BOUNDS_S,
            ),
            reuse_expected: counters(
                "reuse_expected_tokens_total",
                "Prompt tokens that the targets were expected to hold",
                &["service"],
            ),
            reuse_found: counters(
                "reuse_found_tokens_total",
                "Prompt tokens found reused, by the gain learned from first-token times",
                &["service"],
            ),
            held_bytes: registry.gauges("held_bytes", "Bytes held for callers by kind", &["kind"]),
            memory_refusals: counters(
                "memory_refusals_total",
                "Holdings refused or dropped by the memory budget",
                &["kind"],
            ),
            events: registry.counter("events_total", "Events passed to callers"),
            registry,
        };
        metrics.version.set(-1);
        metrics
    }

    /// Metrics in the text format of Prometheus.
    pub(super) fn text(&self) -> String {
        self.registry.text()
    }
}
