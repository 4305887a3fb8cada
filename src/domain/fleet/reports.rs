//! Reports of gateways and the routing tables that answer them (long polling).

use std::collections::BTreeMap;
use std::time::Duration;

use super::Answer;
use super::Document;
use super::Report;
use super::Table;
use super::core::Core;
use super::event::Action;
use super::event::Ticket;

/// Time for which a gateway's report on targets and demand counts.
const REPORT_VALIDITY: Duration = Duration::from_millis(1_500);

/// Gateway and its latest report.
pub(super) struct Gateway {
    pub(super) report: Report,
    pub(super) reported_at: Duration,
}

/// Largest catalog that a routing table carries; for a smaller one a separate call costs more.
const MAX_INLINE_CATALOG_BYTES: usize = 8 << 10;

/// Fraction of shared limits that is split equally between gateways whatever their demand, so that
/// a gateway whose callers have just arrived can serve them.
const EQUAL_SHARE_FRACTION: f64 = 0.3;

/// Report that waits for a change before it is answered.
pub(super) struct Poll {
    ticket: Ticket,
    gateway: String,
    /// Term and revision of the targets that the gateway holds.
    targets: (u64, u64),
    /// Version of the catalog that the gateway holds.
    version: u64,
    /// Value of [`Core::zone_changes`] when the report arrived.
    zone_changes: usize,
    /// When it is answered without a change.
    deadline: Duration,
}

/// Sums over the reports of all gateways.
struct Summary {
    /// Requests in progress at each target.
    running: BTreeMap<String, u32>,
    /// Targets that some gateway reports as stalled and none as serving.
    stalled: Vec<String>,
    /// Requested work, in seconds of one group's time per second.
    demand: f64,
}

impl Core {
    /// Records a report and holds its answer until something has changed.
    pub(super) fn receive_report(&mut self, now: Duration, ticket: Ticket, report: Report) {
        self.polls.push(Poll {
            ticket,
            gateway: report.gateway.clone(),
            targets: report.targets,
            version: report.version,
            zone_changes: self.zone_changes,
            deadline: now + Duration::from_millis(self.timing.poll_ms),
        });
        let gateway = Gateway {
            reported_at: now,
            report,
        };
        self.gateways.insert(gateway.report.gateway.clone(), gateway);
    }

    /// Answers polls whose gateway has outdated data or whose deadline has passed.
    pub(super) fn answer_polls(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.polls.is_empty() {
            return;
        }
        let leads = self.leads(now);
        let revision = self.table_revision();
        let mut summary = None;
        for poll in std::mem::take(&mut self.polls) {
            if !leads {
                out.push(self.redirect(poll.ticket));
                continue;
            }
            let has_new_targets = poll.targets != revision;
            let has_new_catalog_or_zones =
                poll.version < self.state.version() || poll.zone_changes != self.zone_changes;
            if has_new_targets || has_new_catalog_or_zones || now >= poll.deadline {
                // A change answers many gateways at the same time, so the sums are computed once.
                let summary = summary.get_or_insert_with(|| self.summarize(now));
                let table = self.table(&poll, summary);
                out.push(Action::Answer(poll.ticket, Answer::Table(Box::new(table))));
            } else {
                self.polls.push(poll);
            }
        }
    }

    /// Term and revision of the current targets.
    fn table_revision(&self) -> (u64, u64) {
        (self.node.term(), self.revision)
    }

    /// Routing table for the gateway of a poll.
    fn table(&self, poll: &Poll, summary: &Summary) -> Table {
        let own_report = self.gateways.get(&poll.gateway).map(|g| &g.report);
        let mut running = summary.running.clone();
        for (target, count) in own_report.iter().flat_map(|r| &r.running) {
            if let Some(total) = running.get_mut(target) {
                *total -= count;
            }
        }
        running.retain(|_, others| *others > 0);
        let revision = self.table_revision();
        let has_new_targets = poll.targets != revision;
        let document = self.state.document.as_ref();
        let is_sent = |d: &&Document| d.version > poll.version && d.raw.size() <= MAX_INLINE_CATALOG_BYTES;
        Table {
            revision,
            targets: has_new_targets.then(|| self.targets.clone()),
            closed: self.closed.clone(),
            zones_out: self.state.zones_out.iter().cloned().collect(),
            catalog: document.filter(is_sent).map(|d| d.raw.clone()),
            version: self.state.version(),
            running,
            stalled: summary.stalled.clone(),
            share: self.share(own_report, summary.demand),
            gateways: self.gateways.len().max(1),
            controllers: self.controllers(),
        }
    }

    /// Sums up the reports of all gateways.
    fn summarize(&self, now: Duration) -> Summary {
        let mut running: BTreeMap<String, u32> = BTreeMap::new();
        for gateway in self.gateways.values() {
            for (target, count) in &gateway.report.running {
                *running.entry(target.clone()).or_default() += count;
            }
        }
        Summary {
            running,
            stalled: self.stalled_targets(now),
            demand: self.fresh_reports(now).map(total_demand).sum(),
        }
    }

    /// Reports within [`REPORT_VALIDITY`].
    pub(super) fn fresh_reports(&self, now: Duration) -> impl Iterator<Item = &Report> {
        let fresh = self
            .gateways
            .values()
            .filter(move |g| now < g.reported_at + REPORT_VALIDITY);
        fresh.map(|g| &g.report)
    }

    /// Fraction of shared limits that a gateway gets: one part equal for all, the rest by its demand.
    ///
    /// The fractions of all gateways add up to 1.
    fn share(&self, own_report: Option<&Report>, total: f64) -> f64 {
        let equal = 1.0 / self.gateways.len().max(1) as f64;
        if total <= 0.0 {
            return equal;
        }
        let by_demand = own_report.map_or(0.0, total_demand) / total;
        EQUAL_SHARE_FRACTION * equal + (1.0 - EQUAL_SHARE_FRACTION) * by_demand
    }

    /// Targets that some gateway reports as stalled and none as serving.
    fn stalled_targets(&self, now: Duration) -> Vec<String> {
        let reported = self.fresh_reports(now).flat_map(|r| &r.stalled);
        let mut stalled: Vec<String> = reported.cloned().collect();
        stalled.sort_unstable();
        stalled.dedup();
        let is_served = |id: &String| {
            self.fresh_reports(now)
                .any(|r| r.served.contains(id) && !r.stalled.contains(id))
        };
        stalled.retain(|id| !is_served(id));
        stalled
    }
}

/// Demand of a gateway over all services and models.
fn total_demand(report: &Report) -> f64 {
    report.demand.values().sum()
}
