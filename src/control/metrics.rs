//! Metrics of a control process.

use std::time::Duration;

use prometheus::IntGauge;

use crate::daemon::Registry;
use crate::domain::control::Core;

/// Gauges that the driver updates after each tick.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    leads: IntGauge,
    term: IntGauge,
    commit_index: IntGauge,
    groups: IntGauge,
    groups_broken: IntGauge,
    accelerators_stranded: IntGauge,
    ledger_keys: IntGauge,
}

impl Metrics {
    /// Registers the gauges.
    pub fn new() -> Self {
        let registry = Registry::new("heatherramp");
        let gauge = |name: &str, help: &str| registry.gauge(name, help);
        Metrics {
            leads: gauge("control_leads", "1 while this process leads with a valid lease"),
            term: gauge("control_term", "Term of the replicated log"),
            commit_index: gauge("control_commit_index", "Index of the last committed record"),
            groups: gauge("groups", "Replica groups"),
            groups_broken: gauge("groups_broken", "Replica groups with a member missing"),
            accelerators_stranded: gauge(
                "accelerators_stranded",
                "Accelerators of VMs in no complete group",
            ),
            ledger_keys: gauge("ledger_keys", "Non-repeatable calls in the ledger"),
            registry,
        }
    }

    /// Sets the gauges to the values of `core` at `now`.
    pub fn update(&self, core: &Core, now: Duration) {
        let leads = core.leads(now);
        self.leads.set(i64::from(leads));
        self.term.set(core.node().term() as i64);
        self.commit_index.set(core.node().commit_index() as i64);
        self.groups.set(core.state().groups.len() as i64);
        self.ledger_keys.set(core.state().ledger.len() as i64);
        let (broken, stranded) = core.shortfall();
        self.groups_broken.set(broken as i64);
        self.accelerators_stranded.set(i64::from(stranded));
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        self.registry.text()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}
