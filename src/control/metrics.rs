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
    commit: IntGauge,
    groups: IntGauge,
    broken: IntGauge,
    stranded: IntGauge,
    ledger: IntGauge,
}

impl Metrics {
    /// Registered gauges.
    pub fn new() -> Self {
        let registry = Registry::new("heatherramp");
        let gauge = |name: &str, help: &str| registry.gauge(name, help);
        Metrics {
            leads: gauge("control_leads", "1 while this process leads with a valid lease"),
            term: gauge("control_term", "Term of the replicated log"),
            commit: gauge("control_commit_index", "Index of the last committed record"),
            groups: gauge("groups", "Replica groups"),
            broken: gauge("groups_broken", "Replica groups with a member missing"),
            stranded: gauge(
                "accelerators_stranded",
                "Accelerators of VMs in no complete group",
            ),
            ledger: gauge("ledger_keys", "Non-repeatable calls in the ledger"),
            registry,
        }
    }

    /// Takes the values of `core`.
    pub fn observe(&self, core: &Core, now: Duration) {
        let leads = core.leads(now);
        self.leads.set(i64::from(leads));
        self.term.set(core.node().term() as i64);
        self.commit.set(core.node().commit_index() as i64);
        self.groups.set(core.state().groups.len() as i64);
        self.ledger.set(core.state().ledger.len() as i64);
        let (broken, stranded) = core.shortfall();
        self.broken.set(broken as i64);
        self.stranded.set(i64::from(stranded));
    }

    /// All metrics in the text form.
    pub fn text(&self) -> String {
        self.registry.text()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}
