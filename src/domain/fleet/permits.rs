//! Rate limits of targets, at the relay of one controller: what its gateways have heard of them, and the permits
//! that it issues to them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Overview;
use super::relay::OVERVIEW_VALIDITY;
use super::relay::Relay;
use super::relay::is_fresh;
use super::share;
use crate::domain::limit::Issuer;
use crate::domain::limit::Notice;
use crate::domain::limit::Rate;

impl Relay {
    /// Limits that the leader does not list as the gateways know them.
    pub(super) fn unlisted_limits(&self, now: Duration) -> Vec<Notice> {
        let fresh = self.gateways.values().filter(|g| is_fresh(g, now));
        let is_unlisted = |n: &&Notice| {
            let listed = self.targets.get(&n.target).and_then(|t| t.limit);
            listed != Some(n.limit)
        };
        let notices = fresh.flat_map(|g| {
            let elapsed_ms = now.saturating_sub(g.reported_at).as_millis() as u64;
            let unlisted = g.report.limits.iter().filter(is_unlisted);
            unlisted.map(move |n| Notice {
                age_ms: n.age_ms + elapsed_ms,
                ..n.clone()
            })
        });
        Notice::latest(notices)
    }

    /// Permits for a gateway, out of this relay's part of the limits.
    pub(super) fn grant(
        &self,
        now: Duration,
        issuer: &mut Issuer,
        gateway: &str,
        overview: &Overview,
    ) -> BTreeMap<String, u32> {
        let Some(asks) = self.gateways.get(gateway).map(|g| &g.report.asks) else {
            return BTreeMap::new();
        };
        if asks.is_empty() {
            return BTreeMap::new();
        }
        let part = self.part_of_limits(now, overview);
        let mut granted = BTreeMap::new();
        for (target, ask) in asks.iter().filter(|(_, ask)| ask.wanted > 0) {
            let Some(per_second) = self.limit_of(target) else {
                continue;
            };
            let count = issuer.issue(now, target, per_second * part, ask.wanted);
            if count > 0 {
                granted.insert(target.clone(), count);
            }
        }
        granted
    }

    /// Issues one permit for the first of `targets` that has one left.
    pub(super) fn issue_one(&mut self, now: Duration, targets: Vec<String>) -> Option<String> {
        if !self.is_held_for(now, OVERVIEW_VALIDITY) {
            return None;
        }
        let part = self.part_of_limits(now, &self.held.as_ref()?.overview);
        targets.into_iter().find(|target| {
            let per_second = self.limit_of(target);
            per_second.is_some_and(|p| self.issuer.issue(now, target, p * part, 1) > 0)
        })
    }

    /// Requests per second that a target takes from all gateways together; none without a limit.
    fn limit_of(&self, target: &str) -> Option<f64> {
        let limit = self.targets.get(target)?.limit?;
        limit.rate().map(Rate::allowed_per_second)
    }

    /// Part of limits for all gateways that falls to those that report here, 0 to 1.
    pub(super) fn part_of_limits(&self, now: Duration, overview: &Overview) -> f64 {
        let fresh = self.gateways.values().filter(|g| is_fresh(g, now));
        let shares = fresh.map(|g| {
            let demand = g.report.demand.values().sum();
            share(demand, overview.demand, overview.gateways)
        });
        shares.sum::<f64>().min(1.0)
    }
}
