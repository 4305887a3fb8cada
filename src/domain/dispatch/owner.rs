//! Owner of replicas: the state machine of dispatch in one entry.

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
///
/// A replica is open while new calls may be dispatched to it: this entry owns it, its
/// zone is in service, its group is not draining, and every member holds a valid lease
/// and is not leaving.
#[derive(Debug)]
pub struct Owner {
    pub(super) session: String,
    pub(super) zone: String,
    pub(super) timing: Timing,
    /// Time at which the lease of this entry ends.
    pub(super) lease_until: Duration,
    pub(super) draining: bool,
    /// Replicas by group number, including released ones with calls in flight.
    pub(super) replicas: BTreeMap<u64, Replica>,
    /// Whether each availability zone is out of service.
    pub(super) zones_out: BTreeMap<String, bool>,
    pub(super) pools: BTreeMap<Key, Pool>,
    /// Group number by identifier of the call in flight.
    pub(super) group_by_call: BTreeMap<String, u64>,
}

impl Owner {
    /// Owner without replicas, for the entry in `zone` with session `session`.
    pub fn new(session: &str, zone: &str, timing: Timing) -> Self {
        Owner {
            session: session.to_owned(),
            zone: zone.to_owned(),
            timing,
            lease_until: Duration::ZERO,
            draining: false,
            replicas: BTreeMap::new(),
            zones_out: BTreeMap::new(),
            pools: BTreeMap::new(),
            group_by_call: BTreeMap::new(),
        }
    }

    /// Advances the owner by one event.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::State(state) => self.apply_state(state),
            Event::Lease { until } => self.lease_until = self.lease_until.max(until),
            Event::ProbeAnswered {
                group,
                position,
                sent,
                report,
            } => self.on_probe_answer(now, group, position, sent, report),
            Event::Arrive(call) => self.admit(now, call, &mut out),
            Event::ResponseStarted { call } => self.on_response_start(now, call),
            Event::Ended { call, completion } => self.on_call_end(now, call, completion),
            Event::Cancel { call } => {
                for pool in self.pools.values_mut() {
                    pool.queue.remove(call);
                }
            }
            Event::Drain => self.draining = true,
            Event::Tick => self.on_tick(now),
        }
        self.refuse_undispatchable(now, &mut out);
        self.dispatch_queued(now, &mut out);
        self.check_invariants();
        out
    }

    /// Replicas by group number, including released ones with calls in flight.
    pub fn replicas(&self) -> &BTreeMap<u64, Replica> {
        &self.replicas
    }

    /// Number of queued calls.
    pub fn queued(&self) -> usize {
        self.pools.values().map(|p| p.queue.len()).sum()
    }

    /// Number of calls in flight.
    pub fn in_flight(&self) -> usize {
        self.group_by_call.len()
    }

    /// Free slots at the open replicas of an environment, minus its queued calls.
    pub fn room(&self, now: Duration, environment: &str, stage: Stage) -> i64 {
        let key = (environment.to_owned(), stage);
        let free_slots: usize = self.open_replicas(now, &key).iter().map(|r| r.free_slots()).sum();
        let queued = self.pools.get(&key).map_or(0, |p| p.queue.len());
        free_slots as i64 - queued as i64
    }

    /// Numbers of the draining groups at which calls are in flight.
    pub fn busy_draining_groups(&self) -> Vec<u64> {
        let busy = |(_, r): &(&u64, &Replica)| r.group.draining.is_some() && !r.active_calls.is_empty();
        self.replicas.iter().filter(busy).map(|(id, _)| *id).collect()
    }

    /// Whether a call may be sent to the group with this fencing number at `now`.
    ///
    /// The lease of this entry must be valid and the replica open. To be checked again
    /// just before the first byte is sent, because the process may have been suspended
    /// after the decision.
    pub fn may_send(&self, now: Duration, group: u64, fence: u64) -> bool {
        let replica = self.replicas.get(&group);
        let current = replica.is_some_and(|r| r.group.fence == fence && self.is_open(now, r));
        now < self.lease_until && current
    }

    fn is_owned(&self, replica: &Replica) -> bool {
        replica.group.owner.as_deref() == Some(self.session.as_str())
    }

    pub(super) fn is_open(&self, now: Duration, replica: &Replica) -> bool {
        self.is_owned(replica)
            && !self.is_zone_out(replica)
            && replica.is_open(now, self.timing.member_lease())
    }

    /// Whether calls may be queued: a replica is open, or the next probes may open it.
    pub(super) fn may_wait(&self, now: Duration, key: &Key) -> bool {
        if now >= self.lease_until {
            return false;
        }
        let lease_length = self.timing.member_lease();
        let may_reopen =
            |r: &Replica| self.is_owned(r) && !self.is_zone_out(r) && r.may_reopen(now, lease_length);
        self.replicas_of(key)
            .any(|r| self.is_open(now, r) || may_reopen(r))
    }

    /// Replicas of an environment and stage, open or not.
    fn replicas_of(&self, key: &Key) -> impl Iterator<Item = &Replica> {
        let matches = move |r: &&Replica| r.group.environment == key.0 && r.group.stage == key.1;
        self.replicas.values().filter(matches)
    }

    fn is_zone_out(&self, replica: &Replica) -> bool {
        self.zones_out.get(&replica.group.zone) == Some(&true)
    }

    /// Drops replicas that this entry no longer owns, once their last call has ended.
    pub(super) fn drop_released(&mut self) {
        let session = self.session.as_str();
        self.replicas
            .retain(|_, r| r.group.owner.as_deref() == Some(session) || !r.active_calls.is_empty());
    }

    pub(super) fn open_replicas(&self, now: Duration, key: &Key) -> Vec<&Replica> {
        if now >= self.lease_until {
            return Vec::new();
        }
        self.replicas_of(key).filter(|r| self.is_open(now, r)).collect()
    }

    fn apply_state(&mut self, state: &State) {
        for (zone, change) in &state.zones {
            let was_out = self.zones_out.insert(zone.clone(), change.out);
            let is_back = was_out == Some(true) && !change.out;
            for replica in self.replicas.values_mut().filter(|r| r.group.zone == *zone) {
                if is_back {
                    replica.ramp.reset();
                }
            }
        }
        for group in state.groups.values() {
            let owned = group.owner.as_deref() == Some(self.session.as_str());
            let document = state
                .environments
                .get(&group.environment)
                .and_then(|c| c.current(group.stage))
                .map(|v| &v.document);
            let Some(document) = document else {
                continue;
            };
            if owned {
                let key = (group.environment.clone(), group.stage);
                self.pools.entry(key).or_default().document = Some(document.clone());
            }
            match self.replicas.get_mut(&group.id) {
                Some(replica) => replica.update(group, document),
                None if owned => {
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

    fn check_invariants(&self) {
        let active: usize = self.replicas.values().map(|r| r.active_calls.len()).sum();
        assert_eq!(
            active,
            self.group_by_call.len(),
            "each call in flight is at one replica"
        );
    }
}
