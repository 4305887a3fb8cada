//! Load balancing: choice of a target for a request.
//!
//! A gateway knows its own requests exactly, and those of other gateways as of the leader's last
//! answer. It picks the target with the smallest fraction of its slots in use and prefers its own
//! availability zone when loads are nearly equal. A target is ejected when it fails several times in a
//! row, stalls once, or answers 421 because it is not the upstream that the request was addressed to.
//! The duration doubles with each ejection.
//! When no target of a service is healthy, all of them are tried, except those that shut down, have
//! asked for a pause, or could not be reached a moment ago.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Settings;
use super::demand::estimate;
use super::locality::Place;
use super::pacing::Pacing;
use super::steer::steer;
use super::tracker::Tracker;
use crate::domain::catalog::Service;
use crate::domain::fleet::Table;
use crate::domain::fleet::Target;
use crate::domain::limit::Quotas;
use crate::domain::reuse::Plan;

/// Load, as a fraction of an engine's request limit, from which on each gateway keeps to its own share
/// of that limit.
pub(super) const FAIR_SHARE_FILL: f64 = 0.75;
/// Age of the last table up to which its counts of other gateways' requests hold; tables come at least
/// this often.
const COUNT_VALIDITY: Duration = Duration::from_millis(400);
/// Time in which these counts then lose their weight: about the time in which requests end.
const COUNT_FADE_TIME: Duration = Duration::from_millis(1_000);
/// Time after an answer or event during which a gateway reports a target as serving.
const SERVED_WINDOW: Duration = Duration::from_millis(1_000);
/// Time for which a gateway remembers that a target shuts down; by then its process has ended.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);

/// How a send ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The answer came, whatever its status.
    Answered,
    /// The target refused without running the request.
    Refused,
    /// The target answered 421: it is not the upstream that the request was addressed to.
    Misdirected,
    /// The connection was not established or broke, or the answer belongs to another request.
    Failed,
    /// The answer did not come, or stopped, while the connection held.
    Stalled,
    /// The link to the target is at fault, which is no evidence against the target.
    Partitioned,
    /// The caller left or its deadline passed; this is no evidence against the target.
    Abandoned,
}

/// What an upstream says of itself with an answer, whatever its status.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Notice {
    /// The upstream is shutting down.
    pub is_leaving: bool,
    /// The upstream wants no request from this gateway for this time.
    pub pause: Option<Duration>,
}

/// Criteria by which a target is chosen for a request.
#[derive(Clone, Debug)]
pub struct Criteria<'a> {
    /// Service that the target must serve.
    pub service: &'a Service,
    /// Model that the request names; matters for targets of engines only.
    pub model: Option<&'a str>,
    /// Identifiers of targets to which the request was already sent; used only if no other is left.
    pub tried: &'a [String],
    /// Slots of each target that this request must leave free.
    pub reserve: u32,
    /// Random number that selects the targets to compare.
    pub draw: u64,
    /// Latency objective of the route.
    pub goal: Duration,
    /// Expected reuse of the request's prompt, if that counts.
    pub reuse: Option<&'a Plan>,
}

/// Decision on a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Send the request to this target.
    Send {
        /// Target.
        target: Target,
        /// Requests in progress at the target, from all gateways, when it was chosen.
        load: u32,
        /// Its zone, and why it was chosen.
        place: Place,
    },
    /// No target has room or rate left; room is expected after this time.
    Full(Duration),
    /// No target could be reached, by any way; the next connection is tried after this time.
    Unreached(Duration),
    /// No target serves the service and model.
    NoTarget,
}

/// Why there is no target for a request, whatever their load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Unavailable {
    /// No target serves the service and model.
    NoTarget,
    /// No target could be reached; the next connection is tried after this time.
    Unreached(Duration),
}

impl From<Unavailable> for Choice {
    fn from(unavailable: Unavailable) -> Self {
        match unavailable {
            Unavailable::NoTarget => Choice::NoTarget,
            Unavailable::Unreached(delay) => Choice::Unreached(delay),
        }
    }
}

/// Load balancer with one gateway's view of the targets.
#[derive(Clone, Debug)]
pub struct Balancer {
    /// Availability zone of this gateway.
    pub(super) zone: String,
    seed: u64,
    pub(super) settings: Settings,
    /// State of each target, by its identifier.
    pub(super) trackers: BTreeMap<String, Tracker>,
    /// Availability zones that are out of service.
    pub(super) zones_out: Vec<String>,
    /// When the last table was applied.
    updated_at: Duration,
    /// Number of gateways that share limits, at least 1.
    gateways: usize,
    /// Targets that have said that they shut down, by identifier and incarnation, and when they did.
    ///
    /// The leader learns it from the target too, but may be out of this gateway's reach, and may list
    /// the target again before it has heard from it.
    leaving: BTreeMap<(String, u64), Duration>,
    /// Ends of the pauses that targets have asked for, by identifier.
    paused_until: BTreeMap<String, Duration>,
    /// Limits that targets have named.
    pub(super) quotas: Quotas,
    /// Permits for targets that may be cold.
    pub(super) pacing: Pacing,
    /// This gateway's share, 0 to 1, of limits that apply to all gateways together.
    pub(super) share: f64,
}

impl Balancer {
    /// Balancer of a gateway in availability zone `zone`.
    ///
    /// `seed` must differ between gateways: it spreads their first requests to a new target over time.
    pub fn new(zone: &str, seed: u64, settings: Settings) -> Self {
        Balancer {
            zone: zone.to_owned(),
            seed,
            settings,
            trackers: BTreeMap::new(),
            zones_out: Vec::new(),
            updated_at: Duration::ZERO,
            gateways: 1,
            leaving: BTreeMap::new(),
            paused_until: BTreeMap::new(),
            quotas: Quotas::new(seed),
            pacing: Pacing::default(),
            share: 1.0,
        }
    }

    /// Applies the leader's table, received at `now`.
    pub fn update(&mut self, now: Duration, table: &Table) {
        if let Some(targets) = &table.targets {
            self.replace_targets(now, targets);
        }
        self.leaving.retain(|_, at| now < *at + LEAVING_RETENTION);
        self.paused_until.retain(|_, until| now < *until);
        self.return_zones(now, &table.zones_out);
        self.zones_out.clone_from(&table.zones_out);
        self.updated_at = now;
        self.gateways = table.gateways.max(1);
        self.share = table.share;
        self.pacing.is_supported = table.issues_pace_permits;
        self.pacing.contact_at = Some(now);
        self.quotas.record_contact(now, table.share);
        self.quotas.grant(now, &table.granted);
        for (id, tracker) in &mut self.trackers {
            tracker.running_elsewhere = table.running.get(id).copied().unwrap_or(0);
            tracker.closed = table.closed.contains(id);
            tracker.is_reported_stalled = table.stalled.contains(id);
        }
    }

    /// Spreads the first requests to targets whose availability zone is not in `zones_out` any more.
    ///
    /// No gateway has used its part of their rate meanwhile, and all of them learn of the return together.
    fn return_zones(&mut self, now: Duration, zones_out: &[String]) {
        let previous = &self.zones_out;
        let has_returned = |zone: &String| previous.contains(zone) && !zones_out.contains(zone);
        for tracker in self.trackers.values_mut() {
            if has_returned(&tracker.target.zone) {
                tracker.appeared_at = Some(now);
            }
        }
    }

    fn replace_targets(&mut self, now: Duration, targets: &[Target]) {
        let mut previous = std::mem::take(&mut self.trackers);
        for target in targets {
            let existing = previous.remove(&target.id);
            let is_new_or_became_cold = existing.as_ref().is_none_or(|t| target.cold && !t.target.cold);
            let mut tracker = existing.unwrap_or_else(|| Tracker::new(target.clone()));
            if is_new_or_became_cold {
                tracker.appeared_at = Some(now);
            }
            tracker.target = target.clone();
            self.trackers.insert(target.id.clone(), tracker);
        }
        // A removed target with requests in progress stays, closed and without a service, until
        // they end.
        for (id, mut tracker) in previous {
            if tracker.running > 0 {
                tracker.closed = true;
                tracker.target.service.clear();
                self.trackers.insert(id, tracker);
            }
        }
        self.quotas.list(now, targets);
    }

    /// Chooses a target for a request at `now`.
    pub fn choose(&mut self, now: Duration, criteria: &Criteria) -> Choice {
        self.quotas.advance(now);
        let (choice, short) = self.choose_within_quotas(now, criteria);
        for id in short {
            self.quotas.record_shortage(now, &id);
        }
        choice
    }

    /// Chooses a target, and names the targets that only lacked a permit.
    pub(super) fn choose_within_quotas(&self, now: Duration, criteria: &Criteria) -> (Choice, Vec<String>) {
        let pool = match self.pool(now, criteria) {
            Ok(pool) => pool,
            Err(unavailable) => return (unavailable.into(), Vec::new()),
        };
        let is_free = |t: &&&Tracker| {
            self.has_room(now, t, criteria.reserve)
                && self.is_within_rate(now, t, criteria.service)
                && self.pause_of(now, t).is_zero()
        };
        let free = pool.iter().filter(is_free).copied();
        let (free, short): (Vec<&Tracker>, Vec<&Tracker>) =
            free.partition(|t| self.quotas.allows(&t.target.id));
        let least_loaded = self.least_loaded(now, &self.preferred(now, &free, criteria), criteria.draw);
        let choice = match steer(criteria, &free, least_loaded, |t| self.load(now, t)) {
            Some(tracker) => Choice::Send {
                target: tracker.target.clone(),
                load: self.load(now, tracker),
                place: self.place(tracker, &free),
            },
            None => Choice::Full(self.time_until_free(now, &pool, criteria)),
        };
        let short = short.into_iter().map(|t| t.target.id.clone());
        (choice, short.collect())
    }

    /// Targets for a request, by what is known of their health.
    pub(super) fn pool(&self, now: Duration, criteria: &Criteria) -> Result<Vec<&Tracker>, Unavailable> {
        let candidates: Vec<&Tracker> = self
            .trackers
            .values()
            .filter(|t| self.is_candidate(t, criteria))
            .collect();
        if candidates.is_empty() {
            return Err(Unavailable::NoTarget);
        }
        let (candidates, unreached): (Vec<&Tracker>, Vec<&Tracker>) =
            candidates.into_iter().partition(|t| t.may_connect(now));
        if candidates.is_empty() {
            let reconnect_at = unreached.iter().filter_map(|t| t.reconnect_at).min();
            let delay = reconnect_at.unwrap_or(now).saturating_sub(now);
            return Err(Unavailable::Unreached(delay));
        }
        let healthy: Vec<&Tracker> = candidates.iter().copied().filter(|t| t.is_healthy(now)).collect();
        // When none is healthy, any of them may have recovered.
        let pool = if healthy.is_empty() { candidates } else { healthy };
        let is_untried = |t: &&Tracker| !criteria.tried.contains(&t.target.id);
        let untried: Vec<&Tracker> = pool.iter().copied().filter(is_untried).collect();
        Ok(if untried.is_empty() { pool } else { untried })
    }

    /// Expected time until one of the targets in `pool` takes a request, of which none does now.
    fn time_until_free(&self, now: Duration, pool: &[&Tracker], criteria: &Criteria) -> Duration {
        let shortest_pause = pool.iter().map(|t| self.pause_of(now, t)).min();
        let until_permit = self
            .quotas
            .time_until_permit(pool.iter().map(|t| t.target.id.as_str()));
        time_until_room(pool, criteria)
            .max(shortest_pause.unwrap_or_default())
            .max(until_permit.map_or(Duration::ZERO, estimate))
    }

    /// Least loaded of a few targets drawn at random ("power of d choices").
    ///
    /// Gateways learn of each other's requests only with the next report. If each compared all
    /// targets, all of them would send a burst of prompts to the one that was the least loaded
    /// at the last report.
    fn least_loaded<'a>(&self, now: Duration, free: &[&'a Tracker], draw: u64) -> Option<&'a Tracker> {
        let by_score = |a: &&Tracker, b: &&Tracker| self.score(now, a).total_cmp(&self.score(now, b));
        let compared = self.settings.compared.max(1);
        if free.len() <= compared as usize {
            return free.iter().copied().min_by(by_score);
        }
        let drawn = (0..compared).map(|i| {
            let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&i.to_le_bytes(), draw);
            free[(hash % free.len() as u64) as usize]
        });
        drawn.min_by(by_score)
    }

    /// Counts a request as in progress at target `id` from `now` on.
    pub fn start_send(&mut self, now: Duration, id: &str, service: &Service) {
        let is_cold = self.trackers.get(id).is_some_and(|t| t.target.cold);
        let interval = self.min_interval(service, is_cold);
        if let Some(tracker) = self.trackers.get_mut(id) {
            tracker.running += 1;
            tracker.next_allowed = now + interval;
            tracker.start_connecting(now);
        }
        self.quotas.spend(now, id);
        self.pacing.spend(now, id);
    }

    /// Records that a stream from target `id` sent an event; `is_first` marks the stream's first one.
    pub fn record_event(&mut self, now: Duration, id: &str, is_first: bool) {
        if let Some(tracker) = self.trackers.get_mut(id) {
            tracker.last_activity = Some(now);
            tracker.has_failed = false;
            tracker.clear_unreached();
            tracker.open_streams += u32::from(is_first);
        }
    }

    /// Records the end of a stream from target `id` that had sent at least one event.
    pub fn end_stream(&mut self, id: &str) {
        if let Some(tracker) = self.trackers.get_mut(id) {
            tracker.open_streams = tracker.open_streams.saturating_sub(1);
        }
    }

    /// Records that an answer of target `id` is late, and ejects the target unless it is ejected already.
    pub fn record_silence(&mut self, now: Duration, id: &str) {
        let Some(tracker) = self.trackers.get_mut(id) else {
            return;
        };
        tracker.has_failed = true;
        if tracker.ejected_until <= now {
            self.eject(now, id);
        }
    }

    /// Records the end of a send and ejects the target if `outcome` calls for it.
    pub fn finish_send(&mut self, now: Duration, id: &str, outcome: Outcome) {
        let Some(tracker) = self.trackers.get_mut(id) else {
            return;
        };
        tracker.running = tracker.running.saturating_sub(1);
        match outcome {
            Outcome::Answered => {
                tracker.last_activity = Some(now);
                tracker.has_failed = false;
                tracker.clear_unreached();
                tracker.failures = 0;
                tracker.ejections = 0;
            }
            Outcome::Abandoned | Outcome::Partitioned | Outcome::Refused => {}
            Outcome::Misdirected => self.eject(now, id),
            Outcome::Failed | Outcome::Stalled => {
                tracker.failures += 1;
                tracker.has_failed = true;
                let limit = self.settings.eject_failures;
                if tracker.failures >= limit || tracker.ejections > 0 || outcome == Outcome::Stalled {
                    self.eject(now, id);
                }
            }
        }
        self.trackers
            .retain(|_, t| t.running > 0 || !t.target.service.is_empty());
    }

    /// Records what `target` said of itself with an answer; returns whether it was not known yet.
    pub fn record_notice(&mut self, now: Duration, target: &Target, notice: Notice) -> bool {
        let mut is_new = false;
        if notice.is_leaving {
            let incarnation = (target.id.clone(), target.incarnation);
            is_new |= self.leaving.insert(incarnation, now).is_none();
        }
        if let Some(pause) = notice.pause {
            let until = self.paused_until.entry(target.id.clone()).or_default();
            is_new |= *until <= now;
            *until = (*until).max(now + pause);
        }
        is_new
    }

    fn is_leaving(&self, target: &Target) -> bool {
        !self.leaving.is_empty()
            && self
                .leaving
                .contains_key(&(target.id.clone(), target.incarnation))
    }

    /// Time for which a target still wants no request.
    pub(super) fn pause_of(&self, now: Duration, tracker: &Tracker) -> Duration {
        let until = self.paused_until.get(&tracker.target.id);
        until.map_or(Duration::ZERO, |until| until.saturating_sub(now))
    }

    fn eject(&mut self, now: Duration, id: &str) {
        if let Some(tracker) = self.trackers.get_mut(id) {
            tracker.ejected_until = now + self.settings.ejection_time(tracker.ejections);
            tracker.ejections += 1;
            tracker.failures = 0;
        }
    }

    /// This gateway's requests in progress, by target identifier.
    pub fn running(&self) -> BTreeMap<String, u32> {
        let in_progress = self.trackers.iter().filter(|(_, t)| t.running > 0);
        in_progress.map(|(id, t)| (id.clone(), t.running)).collect()
    }

    /// Identifiers of targets that answered or sent an event within the last second.
    pub fn served(&self, now: Duration) -> Vec<String> {
        self.ids_where(|t| t.last_activity.is_some_and(|at| now < at + SERVED_WINDOW))
    }

    /// Identifiers of targets with silent streams, or with a failed send and no answer since.
    pub fn stalled(&self, now: Duration) -> Vec<String> {
        self.ids_where(|t| t.has_silent_streams(now) || t.has_failed)
    }

    /// Number of gateways that share limits, at least 1.
    pub fn gateways(&self) -> usize {
        self.gateways
    }

    /// Identifiers of the targets for which `keep` holds.
    fn ids_where(&self, keep: impl Fn(&Tracker) -> bool) -> Vec<String> {
        let kept = self.trackers.iter().filter(|(_, t)| keep(t));
        kept.map(|(id, _)| id.clone()).collect()
    }

    fn is_candidate(&self, tracker: &Tracker, criteria: &Criteria) -> bool {
        tracker.target.service == criteria.service.name
            && (tracker.target.model.is_none() || tracker.target.model.as_deref() == criteria.model)
            && !tracker.closed
            && !self.is_leaving(&tracker.target)
            && !self.zones_out.contains(&tracker.target.zone)
    }

    /// This gateway's own fraction, 0 to 1, that spreads what gateways do at a target over time.
    pub(super) fn spread(&self, id: &str) -> f64 {
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), self.seed);
        hash as f64 / u64::MAX as f64
    }

    /// Requests in progress at a target, from all gateways.
    ///
    /// While no table comes, as during a change of leader, the requests of other gateways end unseen. Their
    /// count then loses weight: with counts kept from a busy moment every gateway would refuse its
    /// callers while the targets run empty.
    pub(super) fn load(&self, now: Duration, tracker: &Tracker) -> u32 {
        let age = now.saturating_sub(self.updated_at);
        let faded = age.saturating_sub(COUNT_VALIDITY).as_secs_f64() / COUNT_FADE_TIME.as_secs_f64();
        let weight = (1.0 - faded).max(0.0);
        tracker.running + (f64::from(tracker.running_elsewhere) * weight).round() as u32
    }

    /// Whether a target has room for one more request.
    ///
    /// Near the limit several gateways may see the same free slot and take it before the next
    /// report, so from [`FAIR_SHARE_FILL`] on each one keeps to its own share of an engine. A target
    /// without a model is no engine; only its limit counts.
    pub(super) fn has_room(&self, now: Duration, tracker: &Tracker, reserve: u32) -> bool {
        let limit = self.request_limit(tracker).saturating_sub(reserve).max(1);
        let load = self.load(now, tracker);
        if load >= limit || tracker.target.model.is_none() {
            return load < limit;
        }
        let own_share = (f64::from(limit) * self.share).ceil();
        f64::from(load) < f64::from(limit) * FAIR_SHARE_FILL || f64::from(tracker.running) < own_share
    }

    /// Most requests in progress at a target, from all gateways.
    ///
    /// `engine_fill` below 1 leaves engines a margin for what other gateways send before the
    /// next report.
    fn request_limit(&self, tracker: &Tracker) -> u32 {
        if tracker.target.model.is_none() {
            return tracker.target.slots;
        }
        let usable = f64::from(tracker.target.slots) * self.settings.engine_fill;
        (usable as u32).max(1)
    }
}

/// Expected time until one of the targets in `pool`, all of them full, finishes a request.
///
/// Each slot finishes one request per mean answer time, so all slots together finish one after that
/// time divided by their number.
fn time_until_room(pool: &[&Tracker], criteria: &Criteria) -> Duration {
    let Some(engine) = &criteria.service.engine else {
        return Duration::from_millis(50);
    };
    let pace = criteria
        .model
        .and_then(|m| engine.model(m))
        .map_or(1.0, |m| m.pace);
    let slots = f64::from(engine.slots.max(1));
    let step_ms = engine.step_ms + engine.step_request_ms * slots;
    let answer_ms = engine.mean_answer * step_ms * pace;
    let total_slots = slots * pool.len().max(1) as f64;
    estimate(answer_ms / total_slots / 1000.0)
}
