//! Progress of calls and presence of members.

use std::time::Duration;

use super::Completion;
use super::Owner;
use super::Ramp;
use super::pool::blend;
use super::replica::Flight;
use crate::domain::membership::Report;

impl Owner {
    pub(super) fn probed(
        &mut self,
        now: Duration,
        group: u64,
        position: usize,
        sent: Duration,
        report: Report,
    ) {
        let length = self.timing.member_lease();
        // Only the first member's step time is compared with the peers'.
        let median = if position == 0 { self.median_step(group) } else { 0 };
        let Some(replica) = self.replicas.get_mut(&group) else {
            return;
        };
        if position == 0 {
            replica.count_foreign(report.running);
            replica.straggler.observe(now, report.step_us, median);
        }
        if let Some(lease) = replica.leases.get_mut(position) {
            lease.renew(sent, report);
        }
        let whole = replica.is_whole(now, length);
        match (whole, replica.whole_since) {
            (true, None) => {
                // A group whose proof ran out may have restarted cold. One that was only
                // suspected has the same members in the same incarnation.
                if replica.suspected.take().is_none() {
                    replica.ramp.reset();
                }
                replica.whole_since = Some(now);
            }
            (false, Some(_)) => replica.whole_since = None,
            _ => {}
        }
    }

    fn median_step(&self, group: u64) -> u64 {
        let Some(replica) = self.replicas.get(&group) else {
            return 0;
        };
        let peers = self
            .replicas
            .values()
            .filter(|r| r.group.environment == replica.group.environment && r.group.id != group);
        let mut steps: Vec<u64> = peers
            .filter_map(|r| r.leases.first()?.report().map(|report| report.step_us))
            .filter(|s| *s > 0)
            .collect();
        steps.sort_unstable();
        steps.get(steps.len() / 2).copied().unwrap_or(0)
    }

    pub(super) fn answered(&mut self, now: Duration, call: &str) {
        let Some(replica) = self.flights.get(call).and_then(|id| self.replicas.get_mut(id)) else {
            return;
        };
        let key = (replica.group.environment.clone(), replica.group.stage);
        let pace = &mut self.pools.entry(key).or_default().pace;
        let Some(flight) = replica.flights.get_mut(call) else {
            return;
        };
        if flight.answered {
            return;
        }
        flight.answered = true;
        let wait = now.saturating_sub(flight.started);
        if pace.first.is_zero() {
            pace.first = wait;
        }
        replica.ramp.answered(wait, pace.first);
        // Slow answers of cold replicas do not raise the mean that tells them apart.
        if !Ramp::is_late(wait, pace.first) {
            pace.first = blend(pace.first, wait);
        }
    }

    pub(super) fn ended(&mut self, now: Duration, call: &str, completion: Completion) {
        let Some(replica) = self
            .flights
            .remove(call)
            .and_then(|id| self.replicas.get_mut(&id))
        else {
            return;
        };
        let Some(flight) = replica.flights.remove(call) else {
            return;
        };
        match completion {
            Completion::Normal => {}
            Completion::Failed => return,
            // The replica may have lost a member that no probe has missed yet.
            Completion::Interrupted => return replica.suspect(now),
        }
        let key = (replica.group.environment.clone(), replica.group.stage);
        let pace = &mut self.pools.entry(key).or_default().pace;
        let spent = now.saturating_sub(flight.started);
        pace.whole = if pace.whole.is_zero() {
            spent
        } else {
            blend(pace.whole, spent)
        };
    }

    pub(super) fn tick(&mut self, now: Duration) {
        let pools = &self.pools;
        for replica in self.replicas.values_mut() {
            let key = (replica.group.environment.clone(), replica.group.stage);
            let usual = pools.get(&key).map_or(Duration::ZERO, |p| p.pace.first);
            let late = |f: &Flight| !f.answered && Ramp::is_late(now.saturating_sub(f.started), usual);
            if !usual.is_zero() && replica.flights.values().any(late) {
                replica.ramp.reset();
            }
        }
        self.drop_released();
    }
}
