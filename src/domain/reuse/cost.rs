//! Cost of a request at a target, in milliseconds, from the engine's figures.

use crate::domain::catalog::Engine;
use crate::domain::catalog::Model;

/// Highest utilization by prefill that is assumed; above it the estimated wait would have no bound.
const MAX_PREFILL_USE: f64 = 0.95;

/// Timing and memory of an engine that runs one model.
#[derive(Clone, Debug, PartialEq)]
pub struct Figures {
    /// Time to read one prompt token.
    read_ms: f64,
    step_ms: f64,
    step_request_ms: f64,
    slots: f64,
    /// Tokens of a mean request.
    mean_prompt: f64,
    mean_answer: f64,
    memory_tokens: f64,
}

impl Figures {
    /// Figures of `engine` for `model`.
    ///
    /// Without a figure for its memory, an engine is taken to hold just the prompts and answers of as many mean
    /// requests as it has slots.
    pub fn new(engine: &Engine, model: &Model) -> Self {
        let slots = f64::from(engine.slots.max(1));
        let mean_tokens = engine.mean_prompt + engine.mean_answer;
        let memory_tokens = engine.memory_tokens.map_or(slots * mean_tokens, |t| t as f64);
        Figures {
            read_ms: 1_000.0 / engine.read_per_s.max(1.0) * model.pace,
            step_ms: engine.step_ms * model.pace,
            step_request_ms: engine.step_request_ms * model.pace,
            slots,
            mean_prompt: engine.mean_prompt,
            mean_answer: engine.mean_answer,
            memory_tokens,
        }
    }

    /// Time to read `tokens` of a prompt.
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens.max(0.0) * self.read_ms
    }

    /// Tokens that an engine with `load` running requests can retain for one of `gateways` gateways.
    ///
    /// Running requests come first in its memory. The other gateways' requests use their part of the rest.
    pub fn retained_tokens(&self, load: u32, gateways: usize) -> u64 {
        let running = f64::from(load) * (self.mean_prompt + self.mean_answer);
        ((self.memory_tokens - running).max(0.0) / gateways.max(1) as f64) as u64
    }

    /// Expected wait for a free slot and for the prefill of requests that came before, at `load` other requests.
    ///
    /// Each of the requests that run is read once while it is there, and reading stops the rest of the batch, so
    /// prompts queue for it like calls for a single server with a fixed service time.
    pub fn wait_ms(&self, load: u32) -> f64 {
        let load = f64::from(load);
        let prefill_ms = self.prefill_ms(self.mean_prompt);
        let stay_ms = prefill_ms + self.mean_answer * self.pass_ms(load);
        let prefill_use = (load * prefill_ms / stay_ms.max(f64::MIN_POSITIVE)).min(MAX_PREFILL_USE);
        let prefill_wait_ms = prefill_use / (1.0 - prefill_use) * prefill_ms / 2.0;
        let waiting = (load + 1.0 - self.slots).max(0.0);
        prefill_wait_ms + waiting * stay_ms / self.slots
    }

    /// Expected time until the first event of a mean request that arrives at `load` other requests.
    pub fn first_event_ms(&self, load: u32) -> f64 {
        let running = f64::from(load).min(self.slots - 1.0) + 1.0;
        self.wait_ms(load) + self.prefill_ms(self.mean_prompt) + self.pass_ms(running)
    }

    /// Cost of a request that has `fresh` tokens read and `answer` tokens written beside `load` other requests.
    ///
    /// It is the time for which the caller waits, plus the time that the request takes from those that run:
    /// each of them waits while it is read, and each step takes longer while it is written.
    pub fn cost_ms(&self, load: u32, fresh: f64, answer: f64) -> f64 {
        let prefill_ms = self.prefill_ms(fresh);
        let others = f64::from(load).min(self.slots - 1.0);
        let own_ms = self.wait_ms(load) + prefill_ms + answer * self.pass_ms(others + 1.0);
        own_ms + others * (prefill_ms + answer * self.step_request_ms)
    }

    /// Time of one decode step with `running` requests.
    fn pass_ms(&self, running: f64) -> f64 {
        self.step_ms + self.step_request_ms * running
    }
}
