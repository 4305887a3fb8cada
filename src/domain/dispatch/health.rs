//! Health and latency of replicas, from probe answers, response times and failures of calls.

use std::time::Duration;

use super::Completion;
use super::Owner;
use super::Ramp;
use super::pool::moving_average;
use super::replica::ActiveCall;
use crate::domain::membership::Report;

impl Owner {
    /// Renews the lease of a member that answered a probe sent at `sent`.
    ///
    /// The report of the first member also updates the straggler mark and inherited calls.
    pub(super) fn on_probe_answer(
        &mut self,
        now: Duration,
        group: u64,
        position: usize,
        sent: Duration,
        report: Report,
    ) {
        let lease_length = self.timing.member_lease();
        // One step time is compared for each replica, that of the first member.
        let median_us = if position == 0 {
            self.median_step_us(group)
        } else {
            0
        };
        let Some(replica) = self.replicas.get_mut(&group) else {
            return;
        };
        if position == 0 {
            replica.update_inherited_calls(report.running);
            replica.straggler.observe(now, report.step_us, median_us);
        }
        if let Some(lease) = replica.leases.get_mut(position) {
            lease.renew(sent, report);
        }
        let complete = replica.is_complete(now, lease_length);
        match (complete, replica.complete_since) {
            (true, None) => {
                // Members whose leases expired may have restarted with cold caches. Members
                // that were only suspected are the same processes as before.
                if replica.suspected_at.take().is_none() {
                    replica.ramp.reset();
                }
                replica.complete_since = Some(now);
            }
            (false, Some(_)) => replica.complete_since = None,
            _ => {}
        }
    }

    /// Median step time of the other replicas of the environment, in microseconds; 0 if unknown.
    fn median_step_us(&self, group: u64) -> u64 {
        let Some(replica) = self.replicas.get(&group) else {
            return 0;
        };
        let peers = self
            .replicas
            .values()
            .filter(|r| r.group.environment == replica.group.environment && r.group.id != group);
        let mut steps_us: Vec<u64> = peers
            .filter_map(|r| r.leases.first()?.report().map(|report| report.step_us))
            .filter(|s| *s > 0)
            .collect();
        steps_us.sort_unstable();
        steps_us.get(steps_us.len() / 2).copied().unwrap_or(0)
    }

    /// Adjusts the ramp of the replica and the average time to the first byte.
    pub(super) fn on_response_start(&mut self, now: Duration, call: &str) {
        let Some(replica) = self
            .group_by_call
            .get(call)
            .and_then(|id| self.replicas.get_mut(id))
        else {
            return;
        };
        let key = (replica.group.environment.clone(), replica.group.stage);
        let latency = &mut self.pools.entry(key).or_default().latency;
        let Some(active) = replica.active_calls.get_mut(call) else {
            return;
        };
        if active.response_started {
            return;
        }
        active.response_started = true;
        let first_byte = now.saturating_sub(active.dispatched_at);
        if latency.first_byte.is_zero() {
            latency.first_byte = first_byte;
        }
        replica.ramp.record_response(first_byte, latency.first_byte);
        // Responses of cold replicas are left out: they would raise the average until cold
        // replicas could not be distinguished from warm ones.
        if !Ramp::indicates_cold(first_byte, latency.first_byte) {
            latency.first_byte = moving_average(latency.first_byte, first_byte);
        }
    }

    /// Frees the slot of a call; a normal end counts in the average, an interruption makes the
    /// replica suspect.
    pub(super) fn on_call_end(&mut self, now: Duration, call: &str, completion: Completion) {
        let Some(replica) = self
            .group_by_call
            .remove(call)
            .and_then(|id| self.replicas.get_mut(&id))
        else {
            return;
        };
        let Some(active) = replica.active_calls.remove(call) else {
            return;
        };
        match completion {
            Completion::Normal => {}
            Completion::Failed => return,
            // A member may have failed, although its lease has not expired yet.
            Completion::Interrupted => return replica.suspect(now),
        }
        let key = (replica.group.environment.clone(), replica.group.stage);
        let latency = &mut self.pools.entry(key).or_default().latency;
        let total = now.saturating_sub(active.dispatched_at);
        latency.total = if latency.total.is_zero() {
            total
        } else {
            moving_average(latency.total, total)
        };
    }

    /// Resets the ramp of replicas where a first byte is overdue, and drops released replicas.
    pub(super) fn on_tick(&mut self, now: Duration) {
        let pools = &self.pools;
        for replica in self.replicas.values_mut() {
            let key = (replica.group.environment.clone(), replica.group.stage);
            let baseline = pools.get(&key).map_or(Duration::ZERO, |p| p.latency.first_byte);
            let is_overdue = |c: &ActiveCall| {
                !c.response_started && Ramp::indicates_cold(now.saturating_sub(c.dispatched_at), baseline)
            };
            if !baseline.is_zero() && replica.active_calls.values().any(is_overdue) {
                replica.ramp.reset();
            }
        }
        self.drop_released();
    }
}
