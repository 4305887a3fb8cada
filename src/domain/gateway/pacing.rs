//! Rate of requests at targets that may be cold.
//!
//! With few gateways, each has a fixed part of a target's rate. With many it asks the relay for a permit for each
//! request, as long as the relay answers. Without one it falls back to its fixed part, but may use it only in
//! turns that are spread over the gateways: a gateway that has been idle holds no request in reserve, since all of
//! them would have one for the same target in the same second.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::Balancer;
use super::Criteria;
use super::demand::estimate;
use super::tracker::Tracker;
use crate::domain::catalog::Service;
use crate::domain::pace::Ask;
use crate::domain::pace::WINDOW;

/// Mean fixed part of a target's rate, in requests per second, below which gateways ask for permits.
const MIN_FIXED_RATE_PER_S: f64 = 2.0;
/// Length of a gateway's turn without permits.
const TURN: Duration = Duration::from_millis(250);
/// Least number of targets that a gateway asks for a permit of, if it has as many.
const MIN_ASKED_TARGETS: usize = 4;
/// Most targets that a gateway asks for a permit of; the relay considers no more.
const MAX_ASKED_TARGETS: usize = 64;

/// Permits of one gateway, and its contact to the relay that issues them.
#[derive(Clone, Debug, Default)]
pub(super) struct Pacing {
    /// Whether the relay issues permits.
    pub(super) is_supported: bool,
    /// When the relay last answered a report or an ask.
    pub(super) contact_at: Option<Duration>,
    /// Ends of the permits, by target.
    permits: BTreeMap<String, VecDeque<Duration>>,
}

impl Pacing {
    fn has_permit(&self, now: Duration, id: &str) -> bool {
        let ends = self.permits.get(id);
        ends.is_some_and(|ends| ends.iter().any(|end| now < *end))
    }

    /// Uses the permit that ends first.
    pub(super) fn spend(&mut self, now: Duration, id: &str) {
        let Some(ends) = self.permits.get_mut(id) else {
            return;
        };
        ends.retain(|end| now < *end);
        ends.pop_front();
        if ends.is_empty() {
            self.permits.remove(id);
        }
    }
}

impl Balancer {
    /// Takes over a permit for target `id`, valid until `until`.
    pub fn grant_pace(&mut self, id: &str, until: Duration) {
        let ends = self.pacing.permits.entry(id.to_owned()).or_default();
        ends.push_back(until);
    }

    /// Records that the relay has answered an ask.
    pub fn record_pace_answer(&mut self, now: Duration) {
        self.pacing.contact_at = Some(now);
    }

    /// What to ask the relay for, so that a request can be sent; none if no target lacks only a permit.
    ///
    /// Of the targets the less loaded half is asked for. With the zone preference all are, those that the request uses
    /// first in front: with only half, the callers of a zone without targets were refused while others got permits.
    pub fn pace_ask(&self, now: Duration, criteria: &Criteria, rank: u8, wait: Duration) -> Option<Ask> {
        if !self.is_paced(now, criteria.service) {
            return None;
        }
        let pool = self.pool(now, criteria).ok()?;
        let lacks_permit = |t: &&Tracker| {
            self.has_room(now, t, criteria.reserve)
                && self.pause_of(now, t).is_zero()
                && self.quotas.allows(&t.target.id)
        };
        let mut targets: Vec<&Tracker> = pool.into_iter().filter(lacks_permit).collect();
        if targets.is_empty() {
            return None;
        }
        targets.sort_by(|a, b| self.score(now, a).total_cmp(&self.score(now, b)));
        let near = self.near(now, &targets, criteria);
        let asked = if self.settings.zone_preference {
            targets.sort_by_key(|t| !near.iter().any(|n| std::ptr::eq(*n, *t)));
            MAX_ASKED_TARGETS
        } else {
            targets.len().div_ceil(2).max(MIN_ASKED_TARGETS)
        };
        targets.truncate(asked);
        let cold_rate = criteria.service.cold_rate;
        Some(Ask {
            targets: targets.into_iter().map(|t| t.target.id.clone()).collect(),
            warm_per_s: cold_rate * self.settings.cold_overshoot + self.settings.cold_tolerance,
            cold_per_s: cold_rate * self.settings.cold_use,
            health_path: criteria.service.health_path.clone(),
            rank,
            wait_ms: wait.as_millis() as u64,
            account: None,
            near: near.len(),
        })
    }

    /// Whether requests to targets of a service need permits of the relay.
    ///
    /// The last permits were issued before the contact was lost, and count for one window.
    fn is_paced(&self, now: Duration, service: &Service) -> bool {
        let has_contact = self.pacing.contact_at.is_some_and(|at| now < at + WINDOW);
        self.pacing.is_supported && has_contact && self.is_fixed_part_small(service)
    }

    /// Whether the rate of a target is divided by so many gateways that a part is rarely free.
    fn is_fixed_part_small(&self, service: &Service) -> bool {
        let rate = service.cold_rate * self.settings.warm_use;
        rate > 0.0 && rate / (self.gateways() as f64) < MIN_FIXED_RATE_PER_S
    }

    /// Whether the rate limit of a target allows a request at `now`.
    pub(super) fn is_within_rate(&self, now: Duration, tracker: &Tracker, service: &Service) -> bool {
        if service.cold_rate <= 0.0 {
            return true;
        }
        if self.is_paced(now, service) {
            return self.pacing.has_permit(now, &tracker.target.id);
        }
        let interval = self.min_interval(service, tracker.target.cold);
        let offset = interval.mul_f64(self.spread(&tracker.target.id));
        // Each gateway delays its first request to a target that has just appeared by its own fraction of the
        // interval, so that the gateways do not all start at the same time.
        let first_turn = tracker.appeared_at.unwrap_or_default() + offset;
        if tracker.next_allowed.max(first_turn) > now {
            return false;
        }
        !self.is_fixed_part_small(service) || is_turn(now - first_turn, interval)
    }

    /// Shortest time between two of this gateway's requests to one target without a permit.
    ///
    /// A target may restart cold without announcing it, so every target is limited to about the
    /// rate that a cold one can serve. One that announces a cold start gets less.
    pub(super) fn min_interval(&self, service: &Service, is_cold: bool) -> Duration {
        let used_fraction = if is_cold {
            self.settings.cold_use
        } else {
            self.settings.warm_use
        };
        let rate = service.cold_rate * used_fraction * self.share;
        if rate > 0.0 {
            estimate(1.0 / rate)
        } else {
            Duration::ZERO
        }
    }
}

/// Whether a gateway has its turn, which comes once in each interval, `elapsed` after its first turn began.
fn is_turn(elapsed: Duration, interval: Duration) -> bool {
    elapsed.as_millis() % interval.as_millis().max(1) < TURN.as_millis()
}
