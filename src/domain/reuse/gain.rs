//! Part of the expected saving that an engine realizes, learned from first-token times.
//!
//! It is a coefficient of a linear regression of the time that requests took beyond the expected time without reuse,
//! on the time that was expected to be saved and on the time to read the whole prompt. Without the latter, an engine
//! that reads faster than its figures say would seem to reuse prompts, as long prompts have more to be reused.
//! Requests with and without an expected reuse both count.

/// Weight of a sample after each further one: about the last 500 samples count.
const DECAY: f64 = 0.998;
/// Fewest samples with, and fewest without an expected reuse, from which a gain is learned.
const MIN_SAMPLES: u32 = 16;
/// Trials after which an engine whose gain is still uncertain counts as one that retains nothing.
const MAX_TRIALS: u32 = 256;
/// Number of standard errors by which a gain must exceed zero. It is tested again with every sample, which takes a
/// wider margin than a single test.
const SIGNIFICANCE: f64 = 3.5;
/// Gain below which trials are not worth their cost.
const MIN_GAIN: f64 = 0.25;
/// Largest deviation of a first-token time that counts, so that a send to a faulty target does not decide.
const MAX_DEVIATION_MS: f64 = 1_000.0;
/// Fraction of the variance of savings that prompt lengths must leave unexplained for a gain to be told apart.
const MIN_INDEPENDENCE: f64 = 1e-6;
/// Shortest expected saving that is tried. A shorter one is lost in the variation of first-token times, which is
/// some milliseconds on a sound engine.
pub(super) const MIN_TRIAL_SAVING_MS: f64 = 5.0;

/// Positions of the variables of the regression.
const SAVING: usize = 0;
const PREFILL: usize = 1;
const DEVIATION: usize = 2;

/// What is known of an engine's gain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Estimate {
    /// Not enough is known; some requests may be sent to a holder to learn more.
    Unknown,
    /// Nothing, or nothing that can be measured, is retained.
    Nothing,
    /// Part of the expected saving that is realized, above 0 and at most 1.
    Part(f64),
}

/// Learned gain of one model's engines.
#[derive(Clone, Debug, Default)]
pub struct Gain {
    /// Sum of the samples' weights.
    weight: f64,
    means: [f64; 3],
    /// Weighted sums of the products of deviations from the means.
    products: [[f64; 3]; 3],
    /// Samples without and with an expected reuse, up to [`MIN_SAMPLES`].
    samples: [u32; 2],
    /// Samples with an expected reuse while the gain was unknown.
    trials: u32,
}

impl Gain {
    /// Records a request whose expected saving was `saving_ms`, of the `prefill_ms` for its whole prompt, and that
    /// took `deviation_ms` more than was expected without any reuse.
    pub fn record(&mut self, saving_ms: f64, prefill_ms: f64, deviation_ms: f64) {
        let is_reuse = saving_ms >= MIN_TRIAL_SAVING_MS;
        if is_reuse && self.estimate() == Estimate::Unknown {
            self.trials += 1;
        }
        let samples = &mut self.samples[usize::from(is_reuse)];
        *samples = (*samples + 1).min(MIN_SAMPLES);
        let deviation_ms = deviation_ms.clamp(-MAX_DEVIATION_MS, MAX_DEVIATION_MS);
        let sample = [saving_ms, prefill_ms, deviation_ms];
        self.weight = self.weight * DECAY + 1.0;
        let from_old_mean = [0, 1, 2].map(|i| sample[i] - self.means[i]);
        for (mean, delta) in self.means.iter_mut().zip(from_old_mean) {
            *mean += delta / self.weight;
        }
        for (i, row) in self.products.iter_mut().enumerate() {
            for (j, product) in row.iter_mut().enumerate() {
                *product = *product * DECAY + from_old_mean[i] * (sample[j] - self.means[j]);
            }
        }
    }

    /// What is known so far.
    pub fn estimate(&self) -> Estimate {
        if self.samples.iter().any(|n| *n < MIN_SAMPLES) {
            return self.undecided();
        }
        // What the lengths of the prompts leave unexplained of two variables' product.
        let rest = |i: usize, j: usize| {
            let explained = match self.products[PREFILL][PREFILL] {
                0.0 => 0.0,
                squares => self.products[i][PREFILL] * self.products[j][PREFILL] / squares,
            };
            self.products[i][j] - explained
        };
        let squares = rest(SAVING, SAVING);
        if squares <= self.products[SAVING][SAVING] * MIN_INDEPENDENCE {
            return self.undecided();
        }
        let gain = -rest(SAVING, DEVIATION) / squares;
        let unexplained = (rest(DEVIATION, DEVIATION) - gain * gain * squares).max(0.0);
        let error = (unexplained / (self.weight - 3.0).max(1.0) / squares).sqrt();
        if gain > SIGNIFICANCE * error {
            return Estimate::Part(gain.min(1.0));
        }
        if gain + SIGNIFICANCE * error < MIN_GAIN {
            return Estimate::Nothing;
        }
        self.undecided()
    }

    fn undecided(&self) -> Estimate {
        match self.trials {
            ..MAX_TRIALS => Estimate::Unknown,
            _ => Estimate::Nothing,
        }
    }
}
