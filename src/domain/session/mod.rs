//! Sessions of entries, as the leader of the log sees them.
//!
//! An entry renews its session with every synchronisation and counts its lease
//! from the time it sent the request; the leader counts from the time it
//! received it, which is later. So an entry has stopped before the leader gives
//! its groups to another.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::state::State;

/// Durations of sessions.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Lease of an entry from the sending of its last answered request, in milliseconds.
    pub lease_ms: u64,
    /// Clock rate difference that the leader allows for, in percent.
    pub drift_percent: u64,
    /// Longest wait of a synchronisation for a change, in milliseconds.
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
    /// Lease of an entry.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// Silence after which the leader ends a session.
    pub fn expiry(&self) -> Duration {
        Duration::from_millis(self.lease_ms * (100 + self.drift_percent) / 100)
    }
}

#[derive(Clone, Debug)]
struct Contact {
    last_seen: Duration,
    applied: u64,
    draining: bool,
    busy: BTreeSet<u64>,
}

/// Contacts of all sessions.
#[derive(Clone, Debug, Default)]
pub struct Table {
    contacts: BTreeMap<String, Contact>,
    since: Duration,
}

impl Table {
    /// Forgets all contacts; called when this node becomes leader.
    pub fn reset(&mut self, now: Duration) {
        self.contacts.clear();
        self.since = now;
    }

    /// Records a synchronisation of `session`.
    ///
    /// `busy` names the draining groups at which the session has calls in progress.
    pub fn record_sync(&mut self, now: Duration, session: &str, applied: u64, draining: bool, busy: &[u64]) {
        let contact = Contact {
            last_seen: now,
            applied,
            draining,
            busy: busy.iter().copied().collect(),
        };
        self.contacts.insert(session.to_owned(), contact);
    }

    /// Sessions of `state` whose lease is certainly over.
    pub fn expired(&self, now: Duration, timing: &Timing, state: &State) -> Vec<String> {
        let over = |session: &&String| {
            let last_seen = self.contacts.get(*session).map_or(self.since, |c| c.last_seen);
            now >= last_seen + timing.expiry()
        };
        state.entries.keys().filter(over).cloned().collect()
    }

    /// Drops old contacts that are not sessions of `state`.
    pub fn prune(&mut self, now: Duration, timing: &Timing, state: &State) {
        // A fresh contact may belong to a session that is about to be committed.
        let recent = |c: &Contact| now < c.last_seen + timing.expiry();
        self.contacts
            .retain(|s, c| recent(c) || state.entries.contains_key(s));
    }

    /// Whether every session of `state` has applied `index`.
    ///
    /// A session without contact since the restart counts as behind.
    pub fn has_applied(&self, state: &State, index: u64) -> bool {
        state.entries.keys().all(|s| self.applied_index(s) >= index)
    }

    /// Whether every session of `state` has stopped using a group that drains since `index`.
    pub fn has_drained(&self, state: &State, group: u64, index: u64) -> bool {
        let busy = self.contacts.values().any(|c| c.busy.contains(&group));
        !busy && self.has_applied(state, index)
    }

    /// Highest index that `session` has confirmed.
    pub fn applied_index(&self, session: &str) -> u64 {
        self.contacts.get(session).map_or(0, |c| c.applied)
    }

    /// Whether `session` is shutting down.
    pub fn is_draining(&self, session: &str) -> bool {
        self.contacts.get(session).is_some_and(|c| c.draining)
    }

    /// Whether `session` has synchronised since the reset.
    pub fn is_known(&self, session: &str) -> bool {
        self.contacts.contains_key(session)
    }
}
