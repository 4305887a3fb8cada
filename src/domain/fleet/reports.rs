//! Answers of a relay to the reports of its gateways (long polling).
//!
//! A relay answers every report, also from an overview that is old, and states its age. Gateways that were
//! turned away would make handshakes with other controllers when these are busiest. What they may do with an
//! old overview they decide by its age; permits are issued only from a recent one.

use std::time::Duration;

use super::Answer;
use super::Overview;
use super::event::Ticket;
use super::relay::Held;
use super::relay::OVERVIEW_VALIDITY;
use super::relay::Relay;
use super::relay::is_fresh;

/// Reports that a relay answers per second at most; with more gateways each reports less often.
const MAX_REPORTS_PER_S: u64 = 400;
/// Longest wait of a report for a change with many gateways; shorter than their time limit for an answer.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Report that waits for a change before it is answered.
pub(super) struct Poll {
    pub(super) ticket: Ticket,
    pub(super) targets: (u64, u64),
    pub(super) version: Option<u64>,
    pub(super) urgent_changes: usize,
    pub(super) arrived_at: Duration,
    pub(super) deadline: Duration,
    /// Identity of the gateway.
    pub(super) gateway: String,
    /// VMs whose renewals in the report are of heartbeats that this relay lacks.
    pub(super) unknown: Vec<String>,
}

impl Relay {
    /// Longest wait of a report for a change.
    ///
    /// Gateways that have turned to another controller do not count.
    pub(super) fn report_interval(&self, now: Duration) -> Duration {
        let reporting = self.gateways.values().filter(|g| is_fresh(g, now)).count();
        let paced = Duration::from_millis(reporting as u64 * 1_000 / MAX_REPORTS_PER_S);
        let shortest = Duration::from_millis(self.timing.poll_ms);
        paced.max(shortest).min(MAX_REPORT_INTERVAL)
    }

    /// Answers reports whose gateway has outdated data and, with `is_batch`, those whose deadline has passed;
    /// with a redirect if there is no overview at all.
    ///
    /// The load of all targets is summed up once for all answers, which with 3,000 targets is most of the work.
    pub(super) fn answer_polls(&mut self, now: Duration, is_batch: bool, out: &mut Vec<(Ticket, Answer)>) {
        if self.polls.is_empty() {
            return;
        }
        let is_recent = self.is_held_for(now, OVERVIEW_VALIDITY);
        // The part that all gateways get alike.
        let mut common = None;
        let mut issuer = std::mem::take(&mut self.issuer);
        for poll in std::mem::take(&mut self.polls) {
            let has_change = self.held.as_ref().is_some_and(|held| {
                poll.targets != self.targets.revision()
                    || poll.version < held.overview.version
                    || poll.urgent_changes != self.urgent_changes
            });
            if !has_change && (now < poll.deadline || !is_batch) {
                self.polls.push(poll);
                continue;
            }
            let Some(held) = &self.held else {
                out.push((poll.ticket, Answer::Redirect(None)));
                continue;
            };
            let mut overview = common.get_or_insert_with(|| self.common_overview(held)).clone();
            overview.update = self.targets.since(poll.targets);
            overview.age_ms = poll.arrived_at.saturating_sub(held.asked_at).as_millis() as u64;
            if poll.version < held.overview.version {
                overview.catalog.clone_from(&held.overview.catalog);
            }
            overview.helpers = self.helpers_for(&poll.gateway);
            overview.unknown = poll.unknown;
            if is_recent {
                overview.granted = self.grant(now, &mut issuer, &poll.gateway, &held.overview);
            }
            out.push((poll.ticket, Answer::Overview(Box::new(overview))));
        }
        self.issuer = issuer;
    }

    /// Overview for gateways, without what depends on the data that each of them holds.
    fn common_overview(&self, held: &Held) -> Overview {
        let mut running = self.running.clone();
        for (target, count) in &held.running {
            *running.entry(target.clone()).or_default() += count;
        }
        let overview = &held.overview;
        Overview {
            revision: self.targets.revision(),
            running: self.targets.in_order(&running),
            closed: overview.closed.clone(),
            zones_out: overview.zones_out.clone(),
            version: overview.version,
            stalled: overview.stalled.clone(),
            demand: overview.demand,
            gateways: overview.gateways,
            controllers: overview.controllers.clone(),
            suspects: overview.suspects.clone(),
            quarantined: overview.quarantined.clone(),
            issues_pace_permits: true,
            ..Overview::default()
        }
    }
}
