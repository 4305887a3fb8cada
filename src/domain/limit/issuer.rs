//! Permits that the relay of one controller issues.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::quotas::PERMIT_VALIDITY;

/// Time after which an issued permit is used or returned: its validity and the way of a report.
const RESOLUTION_TIME: Duration = PERMIT_VALIDITY.saturating_add(Duration::from_millis(200));
/// Time without an ask after which the permits of a target are forgotten.
const RETENTION: Duration = Duration::from_secs(60);

/// Permits of one target.
#[derive(Clone, Debug)]
struct Bucket {
    /// Permits that can be issued.
    tokens: f64,
    accrued_at: Duration,
    /// When the permits were issued that may still be used or returned.
    issued: VecDeque<Duration>,
}

/// Issuer of permits, by target.
#[derive(Clone, Debug, Default)]
pub struct Issuer {
    seed: u64,
    buckets: BTreeMap<String, Bucket>,
}

impl Issuer {
    /// Issuer of a controller; `seed` must differ between controllers.
    pub fn new(seed: u64) -> Self {
        Issuer {
            seed,
            buckets: BTreeMap::new(),
        }
    }

    /// Takes back permits of a target.
    pub fn take_back(&mut self, target: &str, returned: u32) {
        let Some(bucket) = self.buckets.get_mut(target) else {
            return;
        };
        let returned = (returned as usize).min(bucket.issued.len());
        bucket.issued.drain(..returned);
        bucket.tokens += returned as f64;
    }

    /// Issues up to `wanted` permits of a target, of which this issuer may issue `per_second`.
    ///
    /// Permits accrue only up to one beyond those that can be under way, so that gateways that ask for more than
    /// they use do not gather them.
    pub fn issue(&mut self, now: Duration, target: &str, per_second: f64, wanted: u32) -> u32 {
        if !self.buckets.contains_key(target) {
            // Without a random start all issuers would issue their first permits at the same time, and late.
            let hash = xxhash_rust::xxh3::xxh3_64_with_seed(target.as_bytes(), self.seed);
            let bucket = Bucket {
                tokens: hash as f64 / u64::MAX as f64,
                accrued_at: now,
                issued: VecDeque::new(),
            };
            self.buckets.insert(target.to_owned(), bucket);
        }
        let Some(bucket) = self.buckets.get_mut(target) else {
            return 0;
        };
        let resolved = |at: &Duration| *at + RESOLUTION_TIME <= now;
        while bucket.issued.front().is_some_and(resolved) {
            bucket.issued.pop_front();
        }
        let elapsed = now.saturating_sub(bucket.accrued_at).as_secs_f64();
        let most = 1.0 + per_second * RESOLUTION_TIME.as_secs_f64() - bucket.issued.len() as f64;
        let accrued = (bucket.tokens + per_second * elapsed).min(most);
        bucket.tokens = bucket.tokens.max(accrued);
        bucket.accrued_at = now;
        let count = wanted.min(bucket.tokens as u32);
        bucket.tokens -= f64::from(count);
        bucket.issued.extend((0..count).map(|_| now));
        count
    }

    /// Forgets targets for which nothing has been asked for long.
    pub fn expire(&mut self, now: Duration) {
        self.buckets.retain(|_, b| now < b.accrued_at + RETENTION);
    }
}
