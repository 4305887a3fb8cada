//! Owner of replicas: its state, permission and view of the groups.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Action;
use super::Event;
use super::Replica;
use super::Timing;
use super::pool::Key;
use super::pool::Pool;
use crate::domain::state::Stage;
use crate::domain::state::State;

/// Owner of replicas in one entry.
#[derive(Debug)]
pub struct Owner {
    pub(super) session: String,
    pub(super) zone: String,
    pub(super) timing: Timing,
    pub(super) permit: Duration,
    pub(super) draining: bool,
    pub(super) replicas: BTreeMap<u64, Replica>,
    pub(super) zones_out: BTreeMap<String, bool>,
    pub(super) pools: BTreeMap<Key, Pool>,
    pub(super) flights: BTreeMap<String, u64>,
}

impl Owner {
    /// Owner without replicas, for the entry with `session` in `zone`.
    pub fn new(session: &str, zone: &str, timing: Timing) -> Self {
        Owner {
            session: session.to_owned(),
            zone: zone.to_owned(),
            timing,
            permit: Duration::ZERO,
            draining: false,
            replicas: BTreeMap::new(),
            zones_out: BTreeMap::new(),
            pools: BTreeMap::new(),
            flights: BTreeMap::new(),
        }
    }

    /// Advances the owner by one event.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::State(state) => self.apply_state(state),
            Event::Lease { until } => self.permit = self.permit.max(until),
            Event::ProbeAnswered {
                group,
                position,
                sent,
                report,
            } => self.probed(now, group, position, sent, report),
            Event::Arrive(call) => self.arrive(now, call, &mut out),
            Event::ResponseStarted { call } => self.answered(now, call),
            Event::Ended { call, completion } => self.ended(now, call, completion),
            Event::Cancel { call } => {
                for pool in self.pools.values_mut() {
                    pool.queue.remove(call);
                }
            }
            Event::Drain => self.draining = true,
            Event::Tick => self.tick(now),
        }
        self.refuse_waiting(now, &mut out);
        self.dispatch(now, &mut out);
        self.check();
        out
    }

    /// Replicas by group number.
    pub fn replicas(&self) -> &BTreeMap<u64, Replica> {
        &self.replicas
    }

    /// Calls that wait.
    pub fn queued(&self) -> usize {
        self.pools.values().map(|p| p.queue.len()).sum()
    }

    /// Calls in flight.
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    /// Calls that could be dispatched at once for an environment, less those that wait.
    pub fn room(&self, now: Duration, environment: &str, stage: Stage) -> i64 {
        let key = (environment.to_owned(), stage);
        let room: usize = self.open(now, &key).iter().map(|r| r.room()).sum();
        let queued = self.pools.get(&key).map_or(0, |p| p.queue.len());
        room as i64 - queued as i64
    }

    /// Draining groups at which calls are in flight.
    pub fn busy_draining_groups(&self) -> Vec<u64> {
        let busy = |(_, r): &(&u64, &Replica)| r.group.draining.is_some() && !r.flights.is_empty();
        self.replicas.iter().filter(busy).map(|(id, _)| *id).collect()
    }

    /// Whether the lease of this entry is valid and a group may still be used.
    ///
    /// Checked again just before the first byte goes out, since the process may
    /// have been stopped since the decision.
    pub fn may_send(&self, now: Duration, group: u64, fence: u64) -> bool {
        let replica = self.replicas.get(&group);
        let current = replica.is_some_and(|r| r.group.fence == fence && self.is_open(now, r));
        now < self.permit && current
    }

    fn is_owned(&self, replica: &Replica) -> bool {
        replica.group.owner.as_deref() == Some(self.session.as_str())
    }

    pub(super) fn is_open(&self, now: Duration, replica: &Replica) -> bool {
        self.is_owned(replica)
            && !self.is_zone_out(replica)
            && replica.is_open(now, self.timing.member_lease())
    }

    /// Whether calls may wait, since a replica is open or may open with the next probes.
    pub(super) fn may_wait(&self, now: Duration, key: &Key) -> bool {
        if now >= self.permit {
            return false;
        }
        let lease = self.timing.member_lease();
        let reopens = |r: &Replica| self.is_owned(r) && !self.is_zone_out(r) && r.is_reopening(now, lease);
        self.serving(key).any(|r| self.is_open(now, r) || reopens(r))
    }

    /// Replicas of an environment and setting, open or not.
    fn serving(&self, key: &Key) -> impl Iterator<Item = &Replica> {
        let serves = move |r: &&Replica| r.group.environment == key.0 && r.group.stage == key.1;
        self.replicas.values().filter(serves)
    }

    fn is_zone_out(&self, replica: &Replica) -> bool {
        self.zones_out.get(&replica.group.zone) == Some(&true)
    }

    /// Drops replicas that are owned no more, once their last call has ended.
    pub(super) fn drop_released(&mut self) {
        let session = self.session.as_str();
        self.replicas
            .retain(|_, r| r.group.owner.as_deref() == Some(session) || !r.flights.is_empty());
    }

    pub(super) fn open(&self, now: Duration, key: &Key) -> Vec<&Replica> {
        if now >= self.permit {
            return Vec::new();
        }
        self.serving(key).filter(|r| self.is_open(now, r)).collect()
    }

    fn apply_state(&mut self, state: &State) {
        for (zone, change) in &state.zones {
            let was_out = self.zones_out.insert(zone.clone(), change.out);
            let returned = was_out == Some(true) && !change.out;
            for replica in self.replicas.values_mut().filter(|r| r.group.zone == *zone) {
                if returned {
                    replica.ramp.reset();
                }
            }
        }
        for group in state.groups.values() {
            let mine = group.owner.as_deref() == Some(self.session.as_str());
            let document = state
                .environments
                .get(&group.environment)
                .and_then(|c| c.current(group.stage))
                .map(|v| &v.document);
            let Some(document) = document else {
                continue;
            };
            if mine {
                let key = (group.environment.clone(), group.stage);
                self.pools.entry(key).or_default().document = Some(document.clone());
            }
            match self.replicas.get_mut(&group.id) {
                Some(replica) => replica.update(group, document),
                None if mine => {
                    self.replicas.insert(group.id, Replica::new(group, document));
                }
                None => {}
            }
        }
        for replica in self.replicas.values_mut() {
            if !state.groups.contains_key(&replica.group.id) {
                replica.group.owner = None;
            }
        }
        self.drop_released();
    }

    fn check(&self) {
        let held: usize = self.replicas.values().map(|r| r.flights.len()).sum();
        assert_eq!(held, self.flights.len(), "every call in flight is at one replica");
    }
}
