//! Limits and permits of one gateway.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::Ask;
use super::Limit;
use super::Notice;
use super::Rate;
use crate::domain::fleet::Target;

/// Time in which a gateway may use a permit.
pub(super) const PERMIT_VALIDITY: Duration = Duration::from_millis(500);
/// Time for which a limit that the gateway has heard itself goes before what the leader lists.
const OWN_VALIDITY: Duration = Duration::from_millis(1_500);
/// Time without an answer from a relay after which a gateway keeps to its own part of a limit.
const CONTACT_VALIDITY: Duration = Duration::from_millis(500);
/// Longest time until a permit that callers are told, in seconds: other gateways may have one earlier.
const MAX_PERMIT_WAIT_S: f64 = 10.0;
/// Time in which needs of permits lose most of their weight.
const NEED_DECAY_TIME: Duration = Duration::from_millis(500);
/// Weighted needs from which on permits are kept at hand: those of a request each quarter of a second.
const MIN_STOCK_NEEDS: f64 = 2.5;
/// Shortest time between two needs that count.
const MIN_NEED_INTERVAL: Duration = Duration::from_millis(30);

/// Limit of one target, and what this gateway may send there.
#[derive(Clone, Debug)]
struct Quota {
    incarnation: u64,
    limit: Limit,
    /// When this gateway learned of the limit.
    at: Duration,
    /// Limit that the leader lists.
    listed: Option<Limit>,
    /// Ends of the permits, the earliest first.
    permits: VecDeque<Duration>,
    /// Permits that have ended unused since the last report.
    returned: u32,
    /// Permits used since the last report.
    used: u32,
    /// Requests that used a permit or could have used one; decays within [`NEED_DECAY_TIME`].
    needs: f64,
    needed_at: Duration,
    /// Requests that the own part of the limit allows; none while permits are issued.
    credit: Option<f64>,
    accrued_at: Duration,
}

impl Quota {
    fn new(now: Duration, target: &Target, limit: Limit) -> Self {
        Quota {
            incarnation: target.incarnation,
            limit,
            at: now,
            listed: None,
            permits: VecDeque::new(),
            returned: 0,
            used: 0,
            needs: 0.0,
            needed_at: Duration::ZERO,
            credit: None,
            accrued_at: now,
        }
    }

    /// Requests per second that the target takes; none for no limit.
    fn per_second(&self) -> Option<f64> {
        self.limit.rate().map(Rate::allowed_per_second)
    }

    /// Records that a request uses a permit, or could use one; a request that waits does so several times.
    fn record_need(&mut self, now: Duration) {
        if now < self.needed_at + MIN_NEED_INTERVAL {
            return;
        }
        self.needs = self.needs_at(now) + 1.0;
        self.needed_at = now;
    }

    fn needs_at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.needed_at).as_secs_f64();
        self.needs * (-elapsed / NEED_DECAY_TIME.as_secs_f64()).exp()
    }

    fn expire_permits(&mut self, now: Duration) {
        while self.permits.front().is_some_and(|end| *end <= now) {
            self.permits.pop_front();
            self.returned += 1;
        }
    }
}

/// Limits and permits of a gateway, by target.
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    seed: u64,
    quotas: BTreeMap<String, Quota>,
    /// When a relay answered last.
    contact_at: Option<Duration>,
    /// This gateway's part of the requests of all gateways, 0 to 1.
    share: f64,
}

impl Quotas {
    /// Quotas of a gateway; `seed` must differ between gateways.
    pub fn new(seed: u64) -> Self {
        Quotas {
            seed,
            ..Quotas::default()
        }
    }

    /// Records the limit in an answer that arrived at `now` to a request that was sent at `sent_at`; returns
    /// whether it differs from the one that was known.
    ///
    /// Answers on different connections may overtake each other. One without a limit ends a limit only if its
    /// request was sent after the limit was named last.
    pub fn record(&mut self, now: Duration, sent_at: Duration, target: &Target, limit: Limit) -> bool {
        let known = self.quotas.get_mut(&target.id);
        let Some(quota) = known.filter(|q| q.incarnation >= target.incarnation) else {
            if limit == Limit::Unlimited {
                return false;
            }
            let quota = Quota::new(now, target, limit);
            self.quotas.insert(target.id.clone(), quota);
            return true;
        };
        if quota.incarnation != target.incarnation || (limit == Limit::Unlimited && quota.at >= sent_at) {
            return false;
        }
        let is_new = quota.limit != limit;
        quota.limit = limit;
        quota.at = now;
        is_new
    }

    /// Takes over what the leader lists of the targets, and forgets those that it does not list.
    pub fn list(&mut self, now: Duration, targets: &[Target]) {
        let mut previous = std::mem::take(&mut self.quotas);
        for target in targets {
            let known = previous.remove(&target.id);
            let known = known.filter(|q| q.incarnation == target.incarnation);
            if known.is_none() && target.limit.is_none() {
                continue;
            }
            let limit = target.limit.unwrap_or(Limit::Unlimited);
            let mut quota = known.unwrap_or_else(|| Quota::new(now, target, limit));
            quota.listed = target.limit;
            self.quotas.insert(target.id.clone(), quota);
        }
    }

    /// Records that a relay has answered, with this gateway's part of the requests of all gateways.
    pub fn record_contact(&mut self, now: Duration, share: f64) {
        self.contact_at = Some(now);
        self.share = share;
        for quota in self.quotas.values_mut() {
            let Some(listed) = quota.listed else {
                continue;
            };
            if listed != quota.limit && now >= quota.at + OWN_VALIDITY {
                quota.limit = listed;
                quota.at = now;
            }
        }
    }

    /// Brings the permits and the own parts of limits up to `now`.
    pub fn advance(&mut self, now: Duration) {
        let contact_end = self.contact_at.unwrap_or_default() + CONTACT_VALIDITY;
        for (id, quota) in &mut self.quotas {
            quota.expire_permits(now);
            let since = match quota.listed {
                Some(_) => contact_end.max(quota.accrued_at),
                None => quota.accrued_at,
            };
            quota.accrued_at = now;
            let is_alone = quota.listed.is_none() || now > contact_end;
            let Some(per_second) = quota.per_second().filter(|_| is_alone) else {
                quota.credit = None;
                continue;
            };
            // A random start keeps gateways that lose their relays together from sending together.
            let credit = quota.credit.unwrap_or_else(|| {
                let hash = xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), self.seed);
                hash as f64 / u64::MAX as f64
            });
            let accrued = per_second * self.share * now.saturating_sub(since).as_secs_f64();
            quota.credit = Some((credit + accrued).min(1.0));
        }
    }

    /// Whether a request may go to a target, as of the last [`Quotas::advance`].
    pub fn allows(&self, id: &str) -> bool {
        let Some(quota) = self.quotas.get(id) else {
            return true;
        };
        quota.limit == Limit::Unlimited
            || !quota.permits.is_empty()
            || quota.credit.is_some_and(|credit| credit >= 1.0)
    }

    /// Records that a request could have gone to a target with a permit.
    pub fn record_shortage(&mut self, now: Duration, id: &str) {
        if let Some(quota) = self.quotas.get_mut(id) {
            quota.record_need(now);
        }
    }

    /// Uses a permit for a request that goes to a target.
    pub fn spend(&mut self, now: Duration, id: &str) {
        let Some(quota) = self.quotas.get_mut(id) else {
            return;
        };
        if quota.limit == Limit::Unlimited {
            return;
        }
        quota.used += 1;
        quota.record_need(now);
        if quota.permits.pop_front().is_none() {
            quota.credit = quota.credit.map(|credit| (credit - 1.0).max(0.0));
        }
    }

    /// Takes over permits that a relay has issued.
    pub fn grant(&mut self, now: Duration, granted: &BTreeMap<String, u32>) {
        for (id, count) in granted {
            if let Some(quota) = self.quotas.get_mut(id) {
                let ends = (0..*count).map(|_| now + PERMIT_VALIDITY);
                quota.permits.extend(ends);
            }
        }
    }

    /// Limits that the leader does not list as this gateway knows them.
    pub fn notices(&self, now: Duration) -> Vec<Notice> {
        let unlisted = self.quotas.iter().filter(|(_, q)| q.listed != Some(q.limit));
        let notices = unlisted.map(|(id, quota)| Notice {
            target: id.clone(),
            incarnation: quota.incarnation,
            limit: quota.limit,
            age_ms: now.saturating_sub(quota.at).as_millis() as u64,
        });
        notices.collect()
    }

    /// Permits to ask for and to return in the next report.
    ///
    /// Where requests come often, permits are kept at hand: one, or twice as many as were used since the last
    /// report. Where they are rare a permit would mostly end unused, and each request asks for its own.
    pub fn take_asks(&mut self, now: Duration) -> BTreeMap<String, Ask> {
        let mut asks = BTreeMap::new();
        for (id, quota) in &mut self.quotas {
            quota.expire_permits(now);
            let is_often = quota.limit != Limit::Unlimited && quota.needs_at(now) >= MIN_STOCK_NEEDS;
            let stock = if is_often { (2 * quota.used).max(1) } else { 0 };
            let ask = Ask {
                wanted: stock.saturating_sub(quota.permits.len() as u32),
                returned: std::mem::take(&mut quota.returned),
            };
            quota.used = 0;
            if ask != Ask::default() {
                asks.insert(id.clone(), ask);
            }
        }
        asks
    }

    /// Number of targets with a limit.
    pub fn limited(&self) -> usize {
        let limits = self.quotas.values().map(|q| q.limit);
        limits.filter(|l| *l != Limit::Unlimited).count()
    }

    /// Expected time until this gateway has a permit for one of the targets, in seconds; none if one of them
    /// has no limit.
    pub fn time_until_permit<'a>(&self, ids: impl Iterator<Item = &'a str>) -> Option<f64> {
        let mut per_second = 0.0;
        for id in ids {
            per_second += self.quotas.get(id)?.per_second()?;
        }
        Some((1.0 / (per_second * self.share)).min(MAX_PERMIT_WAIT_S))
    }
}
