//! Zone preference: which targets a request may use, so that it stays in its availability zone while that costs
//! nothing.
//!
//! Each event of a stream crosses the link between zones when its target is in another zone than the gateway, and
//! such traffic may be charged for. A request stays while a target of its own zone is expected to answer about as
//! soon as the best target elsewhere. The expected time follows from the engine's figures and the load. The margin
//! is a part of the time that the best target elsewhere would leave of the route's objective, so a request that
//! can meet its objective elsewhere also meets it at home, and one that cannot gets the fastest target.
//!
//! The margin is not a threshold: the further a target of the own zone lags behind, the more requests may use other
//! zones. With a threshold, gateways that see the same counts would all move over at once and back with the next
//! report. The same holds for slots: from [`CROWDED_FILL`] on, requests leave in proportion to the free slots that
//! the own zone lacks compared with the others, before any is refused or waits.
//!
//! A zone without usable targets has none to prefer, and the choice is as without the preference.

use std::time::Duration;

use super::Balancer;
use super::Criteria;
use super::balance::FAIR_SHARE_FILL;
use super::tracker::Tracker;
use crate::domain::reuse::Figures;

/// Reduction of the load score for targets in the own availability zone, as a fraction of their slots.
const LOCAL_ZONE_BONUS: f64 = 0.04;
/// Largest delay that the preference may add, as a part of what the best target elsewhere leaves of the objective.
const MARGIN_PART: f64 = 0.1;
/// Fraction of the slots in use from which requests leave the zone for emptier targets. From there on gateways keep
/// to their own shares of an engine, and may be refused where another zone has slots left.
const CROWDED_FILL: f64 = FAIR_SHARE_FILL;
/// The same for targets without engine figures, whose answer times at a given load are unknown.
const CROWDED_FILL_WITHOUT_FIGURES: f64 = 0.25;
/// Targets that are compared in a zone with few of them.
///
/// The gateways of a zone see the same counts between two reports. If each compared all of two or three targets, all
/// of them would turn to the same one.
const COMPARED_IN_SMALL_ZONE: u64 = 2;
/// Seeds of the random numbers that are derived from the request's one.
const STAY_SEED: u64 = 1;
const COMPARED_SEED: u64 = 2;

/// Zone of a chosen target, and why it was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Place {
    /// The target is in the gateway's zone.
    Own,
    /// The target is in another zone, and nothing prefers the own one.
    Other,
    /// No target of the own zone had room, rate or a permit left.
    NoneFree,
    /// The targets of the own zone would have answered later, or were crowded.
    Slower,
}

impl Place {
    /// Zone by which requests are counted.
    pub fn zone(self) -> &'static str {
        match self {
            Place::Own => "own zone",
            Place::Other | Place::NoneFree | Place::Slower => "other zone",
        }
    }

    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Place::Own => "own zone",
            Place::Other => "other zone",
            Place::NoneFree => "own zone has none free",
            Place::Slower => "own zone is slower",
        }
    }
}

/// Best target of the other zones, with which those of the own zone are compared.
struct Alternative {
    /// Expected time to the first event.
    answer_ms: f64,
    /// Lowest fraction of slots in use.
    fill: f64,
}

impl Balancer {
    /// Load score of a target, of which the lowest is preferred: the fraction of its slots in use, less
    /// [`LOCAL_ZONE_BONUS`] in the own availability zone.
    pub(super) fn score(&self, now: Duration, tracker: &Tracker) -> f64 {
        let used = self.fill(now, tracker);
        if self.is_near(tracker) {
            used - LOCAL_ZONE_BONUS
        } else {
            used
        }
    }

    /// Targets of `usable` in the own zone that the request uses before the others; none without a preference.
    ///
    /// A target in its cold start is not preferred: it is slower than its figures say.
    pub(super) fn near<'a>(
        &self,
        now: Duration,
        usable: &[&'a Tracker],
        criteria: &Criteria,
    ) -> Vec<&'a Tracker> {
        if !self.settings.zone_preference {
            return Vec::new();
        }
        let warm = usable.iter().copied().filter(|t| !t.target.cold);
        let (own, others): (Vec<&Tracker>, Vec<&Tracker>) = warm.partition(|t| self.is_near(t));
        let Some(alternative) = self.alternative(now, &others, criteria) else {
            return own;
        };
        let draw = fraction(STAY_SEED, criteria.draw);
        let stays = |t: &&Tracker| self.lag(now, t, &alternative, criteria) <= draw;
        own.into_iter().filter(stays).collect()
    }

    /// Targets of `free` between which load decides: those of the own zone that the request uses first, else all.
    pub(super) fn preferred<'a>(
        &self,
        now: Duration,
        free: &[&'a Tracker],
        criteria: &Criteria,
    ) -> Vec<&'a Tracker> {
        let near = self.near(now, free, criteria);
        let len = near.len() as u64;
        if near.is_empty() {
            return free.to_vec();
        }
        if near.len() == free.len() || len > u64::from(self.settings.compared) {
            return near;
        }
        let drawn = (0..COMPARED_IN_SMALL_ZONE).map(|i| hash(COMPARED_SEED + i, criteria.draw) % len);
        drawn.map(|position| near[position as usize]).collect()
    }

    /// Place of a target that was chosen out of `free`.
    pub(super) fn place(&self, tracker: &Tracker, free: &[&Tracker]) -> Place {
        if self.is_near(tracker) {
            Place::Own
        } else if !self.settings.zone_preference {
            Place::Other
        } else if free.iter().any(|t| self.is_near(t)) {
            Place::Slower
        } else {
            Place::NoneFree
        }
    }

    fn is_near(&self, tracker: &Tracker) -> bool {
        tracker.target.zone == self.zone
    }

    /// Fraction of a target's slots in use.
    fn fill(&self, now: Duration, tracker: &Tracker) -> f64 {
        f64::from(self.load(now, tracker)) / f64::from(tracker.target.slots.max(1))
    }

    fn alternative(&self, now: Duration, others: &[&Tracker], criteria: &Criteria) -> Option<Alternative> {
        let least_loaded = others
            .iter()
            .min_by(|a, b| self.fill(now, a).total_cmp(&self.fill(now, b)))?;
        Some(Alternative {
            answer_ms: self.answer_ms(now, least_loaded, criteria).unwrap_or_default(),
            fill: self.fill(now, least_loaded),
        })
    }

    /// How far a target lags behind the best one elsewhere: 0 for not at all, 1 for as much as is tolerated.
    fn lag(&self, now: Duration, tracker: &Tracker, alternative: &Alternative, criteria: &Criteria) -> f64 {
        let fill = self.fill(now, tracker);
        let Some(answer_ms) = self.answer_ms(now, tracker, criteria) else {
            return crowding(fill, alternative.fill, CROWDED_FILL_WITHOUT_FIGURES);
        };
        let goal_ms = criteria.goal.as_secs_f64() * 1_000.0;
        let margin_ms = ((goal_ms - alternative.answer_ms) * MARGIN_PART).max(0.0);
        let delay_ms = (answer_ms - alternative.answer_ms).max(0.0);
        let delay = if delay_ms > 0.0 { delay_ms / margin_ms } else { 0.0 };
        delay.max(crowding(fill, alternative.fill, CROWDED_FILL))
    }

    /// Expected time until a target sends the first event of a mean request; none without engine figures.
    fn answer_ms(&self, now: Duration, tracker: &Tracker, criteria: &Criteria) -> Option<f64> {
        let engine = criteria.service.engine.as_ref()?;
        let model = engine.model(criteria.model?)?;
        Some(Figures::new(engine, model).first_event_ms(self.load(now, tracker)))
    }
}

/// Part of the free slots of a target with `alternative` of its slots in use that one with `fill` lacks, above `crowded`.
fn crowding(fill: f64, alternative: f64, crowded: f64) -> f64 {
    let base = alternative.max(crowded);
    if fill <= base {
        0.0
    } else {
        (fill - base) / (1.0 - base)
    }
}

fn hash(seed: u64, draw: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&draw.to_le_bytes(), seed)
}

/// Random number from 0 to 1.
fn fraction(seed: u64, draw: u64) -> f64 {
    hash(seed, draw) as f64 / u64::MAX as f64
}
