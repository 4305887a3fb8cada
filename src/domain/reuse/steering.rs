//! State of a gateway for the reuse of prompts: what targets hold, and what is gained by it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Estimate;
use super::Figures;
use super::Gain;
use super::Plan;
use super::Prefix;
use super::Summary;
use super::gain::MIN_TRIAL_SAVING_MS;

/// One of so many requests is a trial while the gain is unknown.
const TRIAL_INTERVAL: u64 = 4;

/// First token of a request.
#[derive(Clone, Copy, Debug)]
pub struct Measurement<'a> {
    /// Identifier of the target.
    pub target: &'a str,
    /// Incarnation of the target.
    pub incarnation: u64,
    /// Requests in progress at the target when it was chosen, from all gateways.
    pub load: u32,
    /// Number of gateways, at least 1.
    pub gateways: usize,
    /// Time from the send to the first token; none if it says nothing of the prompt.
    pub first_token: Option<Duration>,
}

/// Prompts at targets and learned gains.
#[derive(Clone, Debug, Default)]
pub struct Steering {
    summary: Summary,
    /// Gain by service and model: the targets of a model run the same engine.
    gains: BTreeMap<String, Gain>,
}

impl Steering {
    /// Expected reuse of a prompt, of which `prompt` tokens are to be read in all, with an answer of `answer`
    /// tokens; `draw` is a random number that selects trials.
    ///
    /// `engine` names the service and model, of which `figures` are.
    pub fn plan(
        &self,
        now: Duration,
        engine: &str,
        figures: &Figures,
        prefix: &Prefix,
        (prompt, answer): (u64, u64),
        draw: u64,
    ) -> Plan {
        let holders = self.summary.holders(now, prefix);
        let largest = holders.values().map(|(_, tokens)| *tokens).max();
        let saving_ms = figures.prefill_ms(largest.unwrap_or(0) as f64);
        let is_trial = draw.is_multiple_of(TRIAL_INTERVAL) && saving_ms >= MIN_TRIAL_SAVING_MS;
        let estimate = self.estimate(engine);
        let gain = match estimate {
            Estimate::Part(part) => part,
            Estimate::Unknown if is_trial => 1.0,
            Estimate::Unknown | Estimate::Nothing => 0.0,
        };
        Plan {
            figures: figures.clone(),
            holders,
            prompt: prompt.max(prefix.tokens()) as f64,
            answer: answer as f64,
            gain,
            is_trial: estimate == Estimate::Unknown,
        }
    }

    /// Records the first token of a request with `plan`; returns the tokens that were expected to be reused at
    /// its target, and how many of them count as reused by the learned gain.
    pub fn record(
        &mut self,
        now: Duration,
        engine: &str,
        plan: &Plan,
        prefix: &Prefix,
        measurement: &Measurement,
    ) -> (u64, u64) {
        let Measurement {
            target,
            incarnation,
            load,
            gateways,
            first_token,
        } = *measurement;
        let expected = plan.held(target, incarnation);
        if let Some(first_token) = first_token {
            let saving_ms = plan.figures.prefill_ms(expected as f64);
            let prefill_ms = plan.figures.prefill_ms(plan.prompt);
            let without_ms = plan.figures.wait_ms(load) + prefill_ms;
            let deviation_ms = first_token.as_secs_f64() * 1_000.0 - without_ms;
            let gain = self.gains.entry(engine.to_owned()).or_default();
            gain.record(saving_ms, prefill_ms, deviation_ms);
        }
        let capacity = plan.figures.retained_tokens(load, gateways);
        self.summary
            .record(now, (target, incarnation), prefix, plan.answer as u64, capacity);
        let found = match self.estimate(engine) {
            Estimate::Part(part) => (expected as f64 * part) as u64,
            Estimate::Unknown | Estimate::Nothing => 0,
        };
        (expected, found)
    }

    /// What is known of the gain of an engine.
    pub fn estimate(&self, engine: &str) -> Estimate {
        self.gains.get(engine).map_or(Estimate::Unknown, Gain::estimate)
    }
}
