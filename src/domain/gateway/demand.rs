//! Requested work by service and model.
//!
//! The work of a request is the time for which it occupies one group: the prefill of its prompt, plus
//! its share of the decode steps, whose cost is split between the requests in the batch.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::domain::catalog::Engine;
use crate::domain::catalog::Model;

/// Fraction of the slots assumed to be in use when the cost of a step is split between requests.
const TYPICAL_SLOT_USE: f64 = 0.8;
/// Longest time that is estimated, in seconds.
const MAX_ESTIMATE_S: f64 = 3_600.0;
/// Time constant of the exponential moving averages.
const AVERAGING_TIME: Duration = Duration::from_secs(3);

/// Time for which a request occupies one group, by its numbers of prompt and answer tokens.
pub fn group_time(engine: &Engine, model: &Model, prompt_tokens: f64, answer_tokens: f64) -> Duration {
    let active = (f64::from(engine.slots) * TYPICAL_SLOT_USE).max(1.0);
    let step_ms = (engine.step_ms + engine.step_request_ms * active) / active;
    let prefill_ms = prompt_tokens * 1_000.0 / engine.read_per_s.max(1.0);
    estimate((prefill_ms + answer_tokens * step_ms) * model.pace / 1_000.0)
}

/// Duration of `seconds`, at least 0 and at most [`MAX_ESTIMATE_S`]; 0 for what is not a number.
///
/// The figures come from operators and callers, and a duration that does not exist must not panic.
pub(super) fn estimate(seconds: f64) -> Duration {
    if seconds.is_nan() {
        return Duration::ZERO;
    }
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_ESTIMATE_S))
}

/// Moving averages of the work that arrives per second.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Seconds of one group per second, by [`Demand::key`].
    averages: BTreeMap<String, f64>,
    /// Time up to which the averages have decayed.
    updated: Duration,
}

impl Demand {
    /// Key of a service's model in reports.
    pub fn key(service: &str, model: &str) -> String {
        format!("{service}/{model}")
    }

    /// Adds the work of a request that arrived at `now`.
    pub fn add(&mut self, now: Duration, key: String, work: Duration) {
        self.decay(now);
        *self.averages.entry(key).or_default() += work.as_secs_f64() / AVERAGING_TIME.as_secs_f64();
    }

    /// Work that arrives by key, in seconds of one group per second.
    pub fn averages(&mut self, now: Duration) -> &BTreeMap<String, f64> {
        self.decay(now);
        &self.averages
    }

    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        let remaining = (-elapsed / AVERAGING_TIME.as_secs_f64()).exp();
        self.averages.values_mut().for_each(|v| *v *= remaining);
        self.updated = now;
    }
}
