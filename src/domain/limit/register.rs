//! Limits of all targets, at the leader.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Limit;
use super::Notice;

/// Limits that are kept; further ones are ignored until targets have gone.
const MAX_LIMITS: usize = 16_384;

/// Limit of one target.
#[derive(Clone, Copy, Debug)]
struct Entry {
    incarnation: u64,
    limit: Limit,
    /// When a gateway learned of it, in milliseconds of the leader's clock; below zero for times before it
    /// started.
    at: i64,
}

/// Latest limit of each target.
///
/// It is not in the replicated log: gateways report to a new leader what it does not list.
#[derive(Clone, Debug, Default)]
pub struct Register {
    entries: BTreeMap<String, Entry>,
}

impl Register {
    /// Records notices that have just arrived; returns whether a limit has changed.
    pub fn record(&mut self, now: Duration, notices: &[Notice]) -> bool {
        let mut has_changed = false;
        for notice in notices {
            let age = i64::try_from(notice.age_ms).unwrap_or(i64::MAX);
            let entry = Entry {
                incarnation: notice.incarnation,
                limit: notice.limit,
                at: (now.as_millis() as i64).saturating_sub(age),
            };
            let known = self.entries.get(&notice.target);
            if known.is_some_and(|k| (k.incarnation, k.at) >= (entry.incarnation, entry.at))
                || (known.is_none() && self.entries.len() >= MAX_LIMITS)
            {
                continue;
            }
            has_changed |= known.is_none_or(|k| k.limit != entry.limit);
            self.entries.insert(notice.target.clone(), entry);
        }
        has_changed
    }

    /// Limit of a target; none if no gateway has reported one.
    pub fn get(&self, target: &str, incarnation: u64) -> Option<Limit> {
        let entry = self.entries.get(target)?;
        (entry.incarnation == incarnation).then_some(entry.limit)
    }

    /// Forgets the limits of targets for which `is_known` does not hold.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.entries.retain(|target, _| is_known(target));
    }
}
