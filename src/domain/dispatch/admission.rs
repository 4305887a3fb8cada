//! Admission of calls: queue or refuse on arrival, and dispatch from the queue.

use std::time::Duration;

use super::Action;
use super::Call;
use super::Owner;
use super::Refusal;
use super::pool::Key;
use super::replica::ActiveCall;
use super::selection::select_replica;

impl Owner {
    /// Queues a new call or refuses it.
    pub(super) fn admit(&mut self, now: Duration, call: Call, out: &mut Vec<Action>) {
        if self.draining {
            return refuse(call, Refusal::Draining, 100, out);
        }
        if now >= self.lease_until {
            return refuse(call, Refusal::NoLease, 1_000, out);
        }
        let key = (call.environment.clone(), call.stage);
        let slots: usize = self.open_replicas(now, &key).iter().map(|r| r.ramp.limit()).sum();
        if slots == 0 && !self.may_wait(now, &key) {
            return refuse(call, Refusal::NoReplica, 1_000, out);
        }
        let pool = self.pools.entry(key).or_default();
        let expected_wait = pool.latency.total * (pool.queue.len() as u32) / (slots.max(1) as u32);
        let retry_after_ms = (expected_wait.as_millis() as u64).clamp(100, 30_000);
        if !pool.queue.is_empty() && now + expected_wait > call.deadline {
            return refuse(call, Refusal::Deadline, retry_after_ms, out);
        }
        let queue_limit = pool.document.as_ref().map_or(usize::MAX, |d| d.limits.queue);
        match pool.queue.push(call.clone(), queue_limit) {
            Ok(None) => {}
            Ok(Some(evicted)) => refuse(evicted, Refusal::QueueFull, retry_after_ms, out),
            Err(reason) => refuse(call, reason, retry_after_ms, out),
        }
    }

    /// Refuses queued calls that are past their deadline or that no replica can take.
    pub(super) fn refuse_undispatchable(&mut self, now: Duration, out: &mut Vec<Action>) {
        for key in self.keys_with_queued_calls() {
            let refuse_all = self.draining || !self.may_wait(now, &key);
            let reason = match (self.draining, now >= self.lease_until) {
                (true, _) => Refusal::Draining,
                (_, true) => Refusal::NoLease,
                _ => Refusal::NoReplica,
            };
            let Some(pool) = self.pools.get_mut(&key) else {
                continue;
            };
            if refuse_all {
                for call in pool.queue.drain() {
                    refuse(call, reason, 500, out);
                }
            }
            for call in pool.queue.remove_expired(now) {
                refuse(call, Refusal::Deadline, 1_000, out);
            }
        }
    }

    /// Starts queued calls while replicas have free slots.
    pub(super) fn dispatch_queued(&mut self, now: Duration, out: &mut Vec<Action>) {
        for key in self.keys_with_queued_calls() {
            while let Some(call) = self.pools.get_mut(&key).and_then(|p| p.queue.pop()) {
                let open = self.open_replicas(now, &key);
                let Some(id) = select_replica(&call, &self.zone, &open).map(|r| r.group.id) else {
                    if let Some(pool) = self.pools.get_mut(&key) {
                        pool.queue.requeue(call);
                    }
                    break;
                };
                out.push(self.start(now, id, call));
            }
        }
    }

    fn keys_with_queued_calls(&self) -> Vec<Key> {
        let queued = self.pools.iter().filter(|(_, p)| !p.queue.is_empty());
        queued.map(|(key, _)| key.clone()).collect()
    }

    fn start(&mut self, now: Duration, id: u64, call: Call) -> Action {
        let lease_length = self.timing.member_lease();
        let replica = self.replicas.get_mut(&id).expect("a selected replica is owned");
        assert!(
            replica.is_complete(now, lease_length),
            "no dispatch to a group with a missing member"
        );
        assert!(
            replica.free_slots() > 0,
            "no dispatch above the limit of a replica"
        );
        assert!(now < self.lease_until, "no dispatch without a lease");
        assert_ne!(
            self.zones_out.get(&replica.group.zone),
            Some(&true),
            "no dispatch to a zone that is out of service"
        );
        let active = ActiveCall {
            dispatched_at: now,
            response_started: false,
        };
        replica.active_calls.insert(call.id.clone(), active);
        let first = &replica.group.members[0];
        let action = Action::Start {
            call: call.id.clone(),
            group: id,
            fence: replica.group.fence,
            address: first.address.clone(),
        };
        self.group_by_call.insert(call.id, id);
        action
    }
}

fn refuse(call: Call, reason: Refusal, retry_after_ms: u64, out: &mut Vec<Action>) {
    out.push(Action::Refuse {
        call: call.id,
        reason,
        retry_after_ms,
    });
}
