//! Choice of the owner to which an entry sends a call.
//!
//! An entry sees its own replicas exactly and others through what their owners
//! said in their last answers. It serves a call itself while it has room, else
//! compares two owners drawn at random, weighted by the replicas they own. The
//! weights are kept ready, so a choice does not depend on the number of replicas.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use crate::domain::state::Stage;
use crate::domain::state::State;

/// Age from which a statement of room is no longer believed.
const STALE_AFTER: Duration = Duration::from_millis(500);

/// Last statement of room by one owner for one environment.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Free places less waiting calls.
    pub room: i64,
    /// Time of the statement.
    pub stated: Duration,
    /// Calls sent to that owner since.
    pub sent: i64,
}

/// What the choice of an owner depends on, besides the loads.
#[derive(Clone, Debug)]
pub struct Criteria<'a> {
    /// Session of the entry that chooses.
    pub session: &'a str,
    /// Environment of the call.
    pub environment: &'a str,
    /// Setting of the call.
    pub stage: Stage,
    /// Exact room at this entry's own replicas.
    pub own_room: i64,
    /// Owners that have refused the call.
    pub tried: &'a [String],
    /// Two random numbers.
    pub draw: (u64, u64),
}

/// Owners of one environment's usable groups.
#[derive(Clone, Debug, Default)]
struct Pool {
    /// Session, its number of groups, and the sum of the numbers up to it.
    owners: Vec<(String, u64, u64)>,
}

/// Owners and their loads, as one entry knows them.
#[derive(Clone, Debug, Default)]
pub struct Router {
    pools: HashMap<Stage, HashMap<String, Pool>>,
    loads: HashMap<String, HashMap<(String, Stage), Load>>,
}

impl Router {
    /// Takes over newer replicated state.
    pub fn apply_state(&mut self, state: &State) {
        self.loads.retain(|owner, _| state.entries.contains_key(owner));
        let mut counts: BTreeMap<(Stage, &str), BTreeMap<&str, u64>> = BTreeMap::new();
        for group in state.groups.values() {
            let usable = group.draining.is_none() && !state.is_zone_out(&group.zone);
            let owner = group.owner.as_deref().filter(|o| state.entries.contains_key(*o));
            if let Some(owner) = owner
                && usable
            {
                let key = (group.stage, group.environment.as_str());
                *counts.entry(key).or_default().entry(owner).or_default() += 1;
            }
        }
        self.pools.clear();
        for ((stage, environment), owners) in counts {
            let pool = Pool::new(owners);
            let pools = self.pools.entry(stage).or_default();
            pools.insert(environment.to_owned(), pool);
        }
    }

    /// Records what `owner` said.
    pub fn record_room(&mut self, now: Duration, owner: &str, environment: &str, stage: Stage, room: i64) {
        let load = Load {
            room,
            stated: now,
            sent: 0,
        };
        let loads = self.loads.entry(owner.to_owned()).or_default();
        loads.insert((environment.to_owned(), stage), load);
    }

    /// Owner to which a call goes, or `None` when no owner is left to try.
    pub fn choose(&mut self, now: Duration, criteria: &Criteria) -> Option<String> {
        let pool = self.pools.get(&criteria.stage)?.get(criteria.environment)?;
        if criteria.own_room > 0 && pool.weight(criteria.session) > 0 {
            return Some(criteria.session.to_owned());
        }
        let reduced;
        let pool = if criteria.tried.is_empty() {
            pool
        } else {
            reduced = pool.without(criteria.tried);
            &reduced
        };
        let (first, first_weight) = pool.draw(criteria.draw.0)?;
        let (second, second_weight) = pool.draw(criteria.draw.1)?;
        let first_rank = self.rank(now, criteria, first, first_weight);
        let second_rank = self.rank(now, criteria, second, second_weight);
        let chosen = if second_rank > first_rank { second } else { first };
        let chosen = chosen.to_owned();
        let key = (criteria.environment.to_owned(), criteria.stage);
        if let Some(load) = self.loads.get_mut(&chosen).and_then(|l| l.get_mut(&key)) {
            load.sent += 1;
        }
        Some(chosen)
    }

    /// Believed room of an owner for each of its groups.
    fn rank(&self, now: Duration, criteria: &Criteria, owner: &str, weight: u64) -> i64 {
        let room = if owner == criteria.session {
            Some(criteria.own_room)
        } else {
            self.believed(now, criteria, owner)
        };
        // An owner that has said nothing lately is assumed to have some room.
        room.unwrap_or(1) * 1000 / weight.max(1) as i64
    }

    fn believed(&self, now: Duration, criteria: &Criteria, owner: &str) -> Option<i64> {
        let key = (criteria.environment.to_owned(), criteria.stage);
        let load = self.loads.get(owner)?.get(&key)?;
        let fresh = now < load.stated + STALE_AFTER;
        fresh.then_some(load.room - load.sent)
    }
}

impl Pool {
    fn new<'a>(weights: impl IntoIterator<Item = (&'a str, u64)>) -> Self {
        let mut sum = 0;
        let mut owners = Vec::new();
        for (session, weight) in weights {
            sum += weight;
            owners.push((session.to_owned(), weight, sum));
        }
        Pool { owners }
    }

    fn weight(&self, session: &str) -> u64 {
        let found = self.owners.binary_search_by(|(s, _, _)| s.as_str().cmp(session));
        found.map_or(0, |at| self.owners[at].1)
    }

    /// Owner that a random number falls on.
    fn draw(&self, random: u64) -> Option<(&str, u64)> {
        let (_, _, total) = self.owners.last()?;
        let ticket = random % total;
        let at = self.owners.partition_point(|(_, _, sum)| *sum <= ticket);
        let (session, weight, _) = &self.owners[at];
        Some((session, *weight))
    }

    fn without(&self, tried: &[String]) -> Pool {
        let left = self.owners.iter().filter(|(s, _, _)| !tried.contains(s));
        Pool::new(left.map(|(s, w, _)| (s.as_str(), *w)))
    }
}
