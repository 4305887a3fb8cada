//! Metrics of a fleet controller.

use std::time::Duration;

use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;

use crate::adapters::memory::Memory;
use crate::daemon::Registry;
use crate::domain::fleet::Core;
use crate::domain::fleet::Phase;
use crate::domain::memory::Kind;

/// Upper bounds of the buckets of the phases of a repair, in seconds.
const PHASE_BOUNDS: [f64; 11] = [0.1, 0.2, 0.4, 0.7, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 20.0];

/// Counters and gauges of a controller.
#[derive(Clone, Debug)]
pub(super) struct Metrics {
    registry: Registry,
    leads: IntGauge,
    term: IntGauge,
    applied: IntGauge,
    groups: IntGauge,
    targets: IntGauge,
    voters: IntGauge,
    zones_out: IntGauge,
    conflicting_heartbeats: IntGauge,
    pub(super) write_failures: IntCounter,
    pub(super) groups_opened: IntCounter,
    pub(super) groups_lost: IntCounterVec,
    repair_phases: HistogramVec,
    pub(super) calls: IntCounterVec,
    pub(super) connections: IntGauge,
    pub(super) intake: IntCounterVec,
    held_bytes: IntGaugeVec,
    memory_refusals: IntCounterVec,
}

impl Metrics {
    pub(super) fn new() -> Self {
        let registry = Registry::new("heatherramp_fleet");
        let gauge = |name: &str, help: &str| registry.gauge(name, help);
        let counter = |name: &str, help: &str| registry.counter(name, help);
        let counters = |name: &str, help: &str, label: &str| registry.counters(name, help, &[label]);
        Metrics {
            leads: gauge("leads", "1 while this controller leads with a valid lease"),
            term: gauge("term", "Term of the replicated log"),
            applied: gauge("applied_index", "Index of the last applied record"),
            groups: gauge("groups", "Groups, open or forming"),
            targets: gauge("targets", "Targets that gateways are told"),
            voters: gauge("voters", "Voters of the replicated log"),
            zones_out: gauge("zones_out", "Availability zones out of service"),
            conflicting_heartbeats: gauge(
                "conflicting_heartbeats",
                "Heartbeats that this leader has ignored because they contradict others",
            ),
            write_failures: counter("write_failures_total", "Writes to the data folder that failed"),
            groups_opened: counter("groups_opened_total", "Groups whose head took requests"),
            groups_lost: counters("groups_lost_total", "Groups that were closed", "loss"),
            connections: gauge(
                "connections",
                "Connections of the system's own processes at the last arrival",
            ),
            intake: counters(
                "intake_total",
                "Connections that arrived, by decision or limit",
                "outcome",
            ),
            repair_phases: registry.histograms(
                "repair_phase_seconds",
                "Time of each phase of a repair of a group",
                &PHASE_BOUNDS,
                &["phase"],
            ),
            calls: counters("calls_total", "Calls of VMs and operators", "answer"),
            held_bytes: registry.gauges("held_bytes", "Bytes held for HTTP callers by kind", &["kind"]),
            memory_refusals: counters(
                "memory_refusals_total",
                "Holdings refused or dropped by the memory budget",
                "kind",
            ),
            registry,
        }
    }

    /// Sets the metrics of memory to the values of its budget.
    pub(super) fn update_memory(&self, memory: &Memory) {
        for kind in [Kind::Connection, Kind::Body] {
            let held = self.held_bytes.with_label_values(&[kind.name()]);
            held.set(memory.used_for(kind) as i64);
            let refusals = self.memory_refusals.with_label_values(&[kind.name()]);
            refusals.inc_by(memory.refusals(kind).saturating_sub(refusals.get()));
        }
    }

    /// Sets the gauges to the values of `core` at `now`.
    pub(super) fn update(&self, core: &Core, now: Duration) {
        self.leads.set(i64::from(core.leads(now)));
        self.term.set(core.node().term() as i64);
        self.applied.set(core.state().index as i64);
        self.groups.set(core.state().groups.len() as i64);
        self.targets.set(core.targets().len() as i64);
        self.voters.set(core.node().voters().len() as i64);
        self.zones_out.set(core.state().zones_out.len() as i64);
        self.conflicting_heartbeats
            .set(core.conflicting_heartbeats() as i64);
    }

    /// Records the time of a phase of a repair.
    pub(super) fn record_phase(&self, phase: Phase, time: Duration) {
        let label = match phase {
            Phase::Detection => "detection",
            Phase::Leaving => "leaving",
            Phase::Joining => "joining",
            Phase::Opening => "opening",
        };
        let histogram = self.repair_phases.with_label_values(&[label]);
        histogram.observe(time.as_secs_f64());
    }

    /// All metrics in the text format of Prometheus.
    pub(super) fn text(&self) -> String {
        self.registry.text()
    }
}
