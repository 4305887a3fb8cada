//! Work that callers ask for, by service and model.
//!
//! The unit is one group's time: a request takes the time to read its prompt and its part of
//! the token steps that a well filled batch shares.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::domain::catalog::Engine;
use crate::domain::catalog::Model;

/// Part of the slots in use at which the cost of a step is shared.
const TYPICAL_FILL: f64 = 0.8;
/// Time constant of the average.
const SMOOTHING: Duration = Duration::from_secs(3);

/// Time of one group that a request takes.
pub fn work(engine: &Engine, model: &Model, prompt: f64, answer: f64) -> Duration {
    let writers = (f64::from(engine.slots) * TYPICAL_FILL).max(1.0);
    let step_ms = (engine.step_ms + engine.step_request_ms * writers) / writers;
    let read_ms = prompt * 1_000.0 / engine.read_per_s.max(1.0);
    Duration::from_secs_f64((read_ms + answer * step_ms) * model.pace / 1_000.0)
}

/// Averages of the work that arrives.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    averages: BTreeMap<String, f64>,
    at: Duration,
}

impl Demand {
    /// Name of a service's model in reports.
    pub fn key(service: &str, model: &str) -> String {
        format!("{service}/{model}")
    }

    /// Counts a request.
    pub fn add(&mut self, now: Duration, key: String, work: Duration) {
        self.decay(now);
        *self.averages.entry(key).or_default() += work.as_secs_f64() / SMOOTHING.as_secs_f64();
    }

    /// Work per second by key.
    pub fn averages(&mut self, now: Duration) -> &BTreeMap<String, f64> {
        self.decay(now);
        &self.averages
    }

    fn decay(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let kept = (-passed / SMOOTHING.as_secs_f64()).exp();
        self.averages.values_mut().for_each(|v| *v *= kept);
        self.at = now;
    }
}
