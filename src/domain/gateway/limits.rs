//! Rate limits that targets name, as the load balancer keeps to them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Balancer;
use super::Criteria;
use crate::domain::fleet::Target;
use crate::domain::limit::Ask;
use crate::domain::limit::Limit;
use crate::domain::limit::Notice;

impl Balancer {
    /// Targets that could take a request but for a permit, as of the last [`Balancer::choose`].
    pub fn short_of_permits(&self, now: Duration, criteria: &Criteria) -> Vec<String> {
        self.choose_within_quotas(now, criteria).1
    }

    /// Takes over a permit for target `id` that a relay has issued.
    pub fn grant(&mut self, now: Duration, id: &str) {
        self.quotas.grant(now, &BTreeMap::from([(id.to_owned(), 1)]));
    }

    /// Records the limit that `target` named, or that it named none, in an answer to a request that was sent
    /// at `sent_at`; returns whether that is new.
    pub fn record_limit(&mut self, now: Duration, sent_at: Duration, target: &Target, limit: Limit) -> bool {
        self.quotas.record(now, sent_at, target, limit)
    }

    /// Limits that the leader does not list as this gateway knows them.
    pub fn limit_notices(&self, now: Duration) -> Vec<Notice> {
        self.quotas.notices(now)
    }

    /// Permits to ask for and to return in the next report.
    pub fn take_asks(&mut self, now: Duration) -> BTreeMap<String, Ask> {
        self.quotas.take_asks(now)
    }

    /// Number of targets with a limit.
    pub fn limited(&self) -> usize {
        self.quotas.limited()
    }
}
