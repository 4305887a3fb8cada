//! Choice of the owner to which an entry sends a call.
//!
//! An entry knows the room at its own replicas exactly, and that at others from what
//! their owners reported with their last responses. Room is the number of free slots
//! minus the number of queued calls. An entry serves a call itself while it has room.
//! Otherwise it draws two owners at random, weighted by the groups they own, and takes
//! the one with more room per group (power of two choices). Cumulative weights are computed
//! when the state changes, so the cost of a choice does not grow with the number of
//! replicas.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use crate::domain::state::Stage;
use crate::domain::state::State;

/// Time for which a report of room counts.
const REPORT_VALIDITY: Duration = Duration::from_millis(500);

/// Load of one owner for one environment and stage, as that owner last reported it.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Free slots minus queued calls.
    pub room: i64,
    /// Time at which the report arrived.
    pub reported_at: Duration,
    /// Calls sent to that owner since the report.
    pub sent_since: i64,
}

/// Properties of a call and of the choosing entry that decide the choice of an owner.
#[derive(Clone, Debug)]
pub struct Criteria<'a> {
    /// Session of the entry that chooses.
    pub session: &'a str,
    /// Environment of the call.
    pub environment: &'a str,
    /// Stage of the call.
    pub stage: Stage,
    /// Free slots minus queued calls at this entry's own replicas.
    pub own_room: i64,
    /// Sessions of the owners that have refused the call.
    pub tried: &'a [String],
    /// Random numbers that draw the two owners to compare.
    pub draw: (u64, u64),
}

/// Owners of the usable groups of one environment and stage.
#[derive(Clone, Debug, Default)]
struct Candidates {
    /// Session, its weight (number of groups), and the sum of the weights up to and including
    /// its own.
    owners: Vec<(String, u64, u64)>,
}

/// Routing table of one entry: the owners of each environment and their loads.
#[derive(Clone, Debug, Default)]
pub struct Router {
    candidates: HashMap<Stage, HashMap<String, Candidates>>,
    /// Loads by session of the owner, then by environment and stage.
    loads: HashMap<String, HashMap<(String, Stage), Load>>,
}

impl Router {
    /// Applies a newer version of the replicated state.
    pub fn apply_state(&mut self, state: &State) {
        self.loads.retain(|owner, _| state.entries.contains_key(owner));
        let mut group_counts: BTreeMap<(Stage, &str), BTreeMap<&str, u64>> = BTreeMap::new();
        for group in state.groups.values() {
            let usable = group.draining.is_none() && !state.is_zone_out(&group.zone);
            let owner = group.owner.as_deref().filter(|o| state.entries.contains_key(*o));
            if let Some(owner) = owner
                && usable
            {
                let key = (group.stage, group.environment.as_str());
                *group_counts.entry(key).or_default().entry(owner).or_default() += 1;
            }
        }
        self.candidates.clear();
        for ((stage, environment), owners) in group_counts {
            let candidates = Candidates::new(owners);
            let by_environment = self.candidates.entry(stage).or_default();
            by_environment.insert(environment.to_owned(), candidates);
        }
    }

    /// Records the room that `owner` reported.
    pub fn record_room(&mut self, now: Duration, owner: &str, environment: &str, stage: Stage, room: i64) {
        let load = Load {
            room,
            reported_at: now,
            sent_since: 0,
        };
        let loads = self.loads.entry(owner.to_owned()).or_default();
        loads.insert((environment.to_owned(), stage), load);
    }

    /// Session of the owner to send a call to; `None` when no owner is left to try.
    pub fn choose(&mut self, now: Duration, criteria: &Criteria) -> Option<String> {
        let candidates = self.candidates.get(&criteria.stage)?.get(criteria.environment)?;
        if criteria.own_room > 0 && candidates.weight(criteria.session) > 0 {
            return Some(criteria.session.to_owned());
        }
        let untried;
        let candidates = if criteria.tried.is_empty() {
            candidates
        } else {
            untried = candidates.without(criteria.tried);
            &untried
        };
        let (first, first_weight) = candidates.draw(criteria.draw.0)?;
        let (second, second_weight) = candidates.draw(criteria.draw.1)?;
        let first_score = self.score(now, criteria, first, first_weight);
        let second_score = self.score(now, criteria, second, second_weight);
        let chosen = if second_score > first_score { second } else { first };
        let chosen = chosen.to_owned();
        let key = (criteria.environment.to_owned(), criteria.stage);
        if let Some(load) = self.loads.get_mut(&chosen).and_then(|l| l.get_mut(&key)) {
            load.sent_since += 1;
        }
        Some(chosen)
    }

    /// Estimated room per group of an owner, in thousandths of a call.
    fn score(&self, now: Duration, criteria: &Criteria, owner: &str, weight: u64) -> i64 {
        let room = if owner == criteria.session {
            Some(criteria.own_room)
        } else {
            self.estimated_room(now, criteria, owner)
        };
        // An owner without a recent report is assumed to have room for one call.
        room.unwrap_or(1) * 1000 / weight.max(1) as i64
    }

    /// Reported room less the calls sent since; `None` without a recent report.
    fn estimated_room(&self, now: Duration, criteria: &Criteria, owner: &str) -> Option<i64> {
        let key = (criteria.environment.to_owned(), criteria.stage);
        let load = self.loads.get(owner)?.get(&key)?;
        let fresh = now < load.reported_at + REPORT_VALIDITY;
        fresh.then_some(load.room - load.sent_since)
    }
}

impl Candidates {
    fn new<'a>(weights: impl IntoIterator<Item = (&'a str, u64)>) -> Self {
        let mut cumulative = 0;
        let mut owners = Vec::new();
        for (session, weight) in weights {
            cumulative += weight;
            owners.push((session.to_owned(), weight, cumulative));
        }
        Candidates { owners }
    }

    fn weight(&self, session: &str) -> u64 {
        let found = self.owners.binary_search_by(|(s, _, _)| s.as_str().cmp(session));
        found.map_or(0, |index| self.owners[index].1)
    }

    /// Owner and its weight, drawn by weight with the number `random`.
    fn draw(&self, random: u64) -> Option<(&str, u64)> {
        let (_, _, total) = self.owners.last()?;
        let point = random % total;
        let index = self
            .owners
            .partition_point(|(_, _, cumulative)| *cumulative <= point);
        let (session, weight, _) = &self.owners[index];
        Some((session, *weight))
    }

    fn without(&self, tried: &[String]) -> Candidates {
        let untried = self.owners.iter().filter(|(s, _, _)| !tried.contains(s));
        Candidates::new(untried.map(|(s, w, _)| (s.as_str(), *w)))
    }
}
