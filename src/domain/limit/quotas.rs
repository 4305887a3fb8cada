//! What one gateway knows of the limits of its targets.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Limit;
use crate::domain::fleet::Target;

/// Limit of one target, as known last.
#[derive(Clone, Copy, Debug)]
struct Known {
    incarnation: u64,
    limit: Limit,
    at: Duration,
}

/// Limits of a gateway's targets.
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    known: BTreeMap<String, Known>,
}

impl Quotas {
    /// Records the limit in an answer that arrived at `now` to a request that was sent at `sent_at`; returns
    /// whether it differs from the one that was known.
    ///
    /// Answers on different connections may overtake each other. One without a limit ends a limit only if its
    /// request was sent after the limit was named last.
    pub fn record(&mut self, now: Duration, sent_at: Duration, target: &Target, limit: Limit) -> bool {
        let known = self.known.get(&target.id);
        let previous = known.filter(|k| k.incarnation == target.incarnation);
        if limit == Limit::Unlimited && previous.is_none_or(|p| p.at >= sent_at) {
            return false;
        }
        let is_new = previous.is_none_or(|p| p.limit != limit);
        let known = Known {
            incarnation: target.incarnation,
            limit,
            at: now,
        };
        self.known.insert(target.id.clone(), known);
        is_new
    }

    /// Forgets the limits of targets for which `is_listed` does not hold.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.known.retain(|id, _| is_listed(id));
    }

    /// Number of targets with a limit.
    pub fn limited(&self) -> usize {
        self.known
            .values()
            .filter(|k| k.limit != Limit::Unlimited)
            .count()
    }
}
