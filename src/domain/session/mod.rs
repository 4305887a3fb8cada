//! Sessions of entries, as the leader of the replicated log sees them.
//!
//! An entry renews its session with every synchronization: a request that states the log index
//! it has applied, which the leader answers with the later changes. Its lease runs from the
//! time it sent the request; the leader counts from the later time at which it received the
//! request, and adds a margin for clock drift. So the lease of an entry has ended before the
//! leader assigns its groups to another entry.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::state::State;

/// Durations of sessions and leases.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Length of an entry's lease, from the sending of its last answered request, in
    /// milliseconds.
    pub lease_ms: u64,
    /// Difference of clock rates that the leader allows for, in percent.
    pub drift_percent: u64,
    /// Longest time for which the leader delays its answer to a synchronization while there is
    /// no change (long polling), in milliseconds.
    pub poll_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            lease_ms: 2_000,
            drift_percent: 10,
            poll_ms: 250,
        }
    }
}

impl Timing {
    /// Length of an entry's lease.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// Silence after which the leader ends a session.
    pub fn session_timeout(&self) -> Duration {
        Duration::from_millis(self.lease_ms * (100 + self.drift_percent) / 100)
    }
}

/// Latest synchronization of one session.
#[derive(Clone, Debug)]
struct LastSync {
    /// Time at which the leader received the request.
    last_seen: Duration,
    /// Highest log index that the entry has applied.
    applied: u64,
    /// Whether the entry is shutting down.
    draining: bool,
    /// Draining groups at which the entry has calls in progress.
    busy: BTreeSet<u64>,
}

/// Latest synchronization of every session.
#[derive(Clone, Debug, Default)]
pub struct Table {
    last_syncs: BTreeMap<String, LastSync>,
    /// Time of the last reset; sessions without a synchronization expire from then on.
    reset_at: Duration,
}

impl Table {
    /// Forgets all synchronizations; to be called when this node becomes leader.
    pub fn reset(&mut self, now: Duration) {
        self.last_syncs.clear();
        self.reset_at = now;
    }

    /// Records a synchronization of `session`.
    ///
    /// `applied` is the highest log index that the entry has applied, `draining` tells
    /// whether it is shutting down, and `busy` lists the draining groups at which it has
    /// calls in progress.
    pub fn record_sync(&mut self, now: Duration, session: &str, applied: u64, draining: bool, busy: &[u64]) {
        let last_sync = LastSync {
            last_seen: now,
            applied,
            draining,
            busy: busy.iter().copied().collect(),
        };
        self.last_syncs.insert(session.to_owned(), last_sync);
    }

    /// Sessions in `state` whose lease has certainly ended.
    pub fn expired(&self, now: Duration, timing: &Timing, state: &State) -> Vec<String> {
        let is_expired = |session: &&String| {
            let last_seen = self
                .last_syncs
                .get(*session)
                .map_or(self.reset_at, |s| s.last_seen);
            now >= last_seen + timing.session_timeout()
        };
        state.entries.keys().filter(is_expired).cloned().collect()
    }

    /// Forgets expired synchronizations of sessions that are not in `state`.
    pub fn prune(&mut self, now: Duration, timing: &Timing, state: &State) {
        // A recent synchronization may be of a session whose record is not committed yet.
        let is_recent = |s: &LastSync| now < s.last_seen + timing.session_timeout();
        self.last_syncs
            .retain(|session, s| is_recent(s) || state.entries.contains_key(session));
    }

    /// Whether every session in `state` has applied the log up to `index`.
    ///
    /// A session that has not synchronized since the reset counts as behind.
    pub fn all_applied(&self, state: &State, index: u64) -> bool {
        state.entries.keys().all(|s| self.applied_index(s) >= index)
    }

    /// Whether every session in `state` has stopped using a group that has been draining
    /// since log index `index`.
    pub fn all_drained(&self, state: &State, group: u64, index: u64) -> bool {
        let in_use = self.last_syncs.values().any(|s| s.busy.contains(&group));
        !in_use && self.all_applied(state, index)
    }

    /// Highest log index that `session` has applied; 0 if it has not synchronized.
    pub fn applied_index(&self, session: &str) -> u64 {
        self.last_syncs.get(session).map_or(0, |s| s.applied)
    }

    /// Whether `session` is shutting down.
    pub fn is_draining(&self, session: &str) -> bool {
        self.last_syncs.get(session).is_some_and(|s| s.draining)
    }

    /// Whether `session` has synchronized since the reset.
    pub fn has_synced(&self, session: &str) -> bool {
        self.last_syncs.contains_key(session)
    }
}
