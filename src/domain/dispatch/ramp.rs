//! Slow start: limit of calls in flight at one replica, which grows as it warms up.

use std::time::Duration;

use crate::domain::environment::Limits;

/// Time to the first byte above which a replica counts as cold, as a multiple of the baseline.
const COLD_LATENCY_FACTOR: u32 = 4;
/// Time to the first byte up to which the limit grows, as a multiple of the baseline.
const WARM_LATENCY_FACTOR: u32 = 2;
/// Smallest baseline; a smaller one is raised to it.
const MIN_BASELINE: Duration = Duration::from_millis(20);
/// Growth of the limit for each timely response.
const GROWTH_PER_RESPONSE: f64 = 0.5;

/// Limit of calls in flight at one replica.
///
/// The limit stays at that of a cold replica until a number of responses have been
/// timely, that is, close to the baseline. Then each timely response adds half a call, so
/// the limit grows by half with each full round of responses. A response far above the
/// baseline resets the limit, and so does the expiry of a member's lease.
#[derive(Clone, Debug)]
pub struct Ramp {
    cold_limit: usize,
    warm_limit: usize,
    /// Timely responses before the limit grows.
    warmup_calls: u32,
    timely_responses: u32,
    limit: f64,
}

impl Ramp {
    /// Ramp of a replica that has just started.
    pub fn new(limits: &Limits) -> Self {
        let (cold_limit, warm_limit) = (limits.in_flight_cold, limits.in_flight_per_replica);
        assert!(
            cold_limit >= 1 && cold_limit <= warm_limit,
            "the cold limit is at least 1 and at most the warm one"
        );
        Ramp {
            cold_limit,
            warm_limit,
            warmup_calls: limits.warmup_calls,
            timely_responses: 0,
            limit: cold_limit as f64,
        }
    }

    /// Applies changed limits; the current limit is only clamped to them.
    pub fn set_limits(&mut self, limits: &Limits) {
        self.cold_limit = limits.in_flight_cold;
        self.warm_limit = limits.in_flight_per_replica;
        self.warmup_calls = limits.warmup_calls;
        self.limit = self.limit.clamp(self.cold_limit as f64, self.warm_limit as f64);
    }

    /// Number of calls that may be in flight.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Whether the limit has reached that of a warm replica.
    pub fn is_warm(&self) -> bool {
        self.limit() >= self.warm_limit
    }

    /// Adjusts the limit to the time to the first byte of a response.
    ///
    /// `baseline` is the average of that time at warm replicas.
    pub fn record_response(&mut self, first_byte: Duration, baseline: Duration) {
        let baseline = baseline.max(MIN_BASELINE);
        if first_byte > baseline * COLD_LATENCY_FACTOR {
            self.reset();
        } else if first_byte <= baseline * WARM_LATENCY_FACTOR {
            self.timely_responses = self.timely_responses.saturating_add(1);
            if self.timely_responses > self.warmup_calls {
                self.limit = (self.limit + GROWTH_PER_RESPONSE).min(self.warm_limit as f64);
            }
        }
    }

    /// Whether a response that has taken `elapsed` so far shows that the replica is cold.
    pub fn indicates_cold(elapsed: Duration, baseline: Duration) -> bool {
        elapsed > baseline.max(MIN_BASELINE) * COLD_LATENCY_FACTOR
    }

    /// Returns to the limit of a cold replica.
    pub fn reset(&mut self) {
        self.limit = self.cold_limit as f64;
        self.timely_responses = 0;
    }
}
