//! Choice between the least loaded target and those that hold the beginning of one request's prompt.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Figures;

/// Holders that are compared with the least loaded target. With all of them, every gateway would send to the same
/// one between two reports.
const COMPARED_HOLDERS: u64 = 3;
/// Load above the mean of the candidates up to which a holder is preferred, so that a prefix in demand is read by
/// further targets before one of its holders is overloaded.
const LOAD_SLACK: f64 = 1.25;
/// Fraction of the slots in use up to which a holder counts as lightly loaded, whatever the mean. With few requests
/// the mean is below one request, and no holder could be within its slack.
const LIGHT_USE: f64 = 0.25;

/// Target that may take the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Identifier.
    pub id: &'a str,
    /// Incarnation; an earlier one's prompts are lost.
    pub incarnation: u64,
    /// Requests in progress, from all gateways.
    pub load: u32,
    /// Largest number of requests that it runs concurrently.
    pub slots: u32,
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// No target is expected to hold any of the prompt, or nothing is known to be gained by it.
    Load,
    /// The target is expected to hold some of the prompt.
    Reuse,
    /// Some target holds more of the prompt, but costs more or was not compared or free.
    Wait,
    /// The target holds some of the prompt, and the gain is not known yet.
    Trial,
}

impl Reason {
    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Reason::Load => "load",
            Reason::Reuse => "reuse",
            Reason::Wait => "wait",
            Reason::Trial => "trial",
        }
    }
}

/// Expected reuse of one request's prompt.
#[derive(Clone, Debug)]
pub struct Plan {
    pub(super) figures: Figures,
    /// Incarnation, and tokens at the beginning of the prompt, of each target that holds some.
    pub(super) holders: BTreeMap<String, (u64, u64)>,
    pub(super) prompt: f64,
    pub(super) answer: f64,
    /// Part of the expected saving that counts, 0 to 1.
    pub(super) gain: f64,
    pub(super) is_trial: bool,
}

impl Plan {
    /// Tokens of the prompt that a target is expected to hold.
    pub fn held(&self, id: &str, incarnation: u64) -> u64 {
        let held = self.holders.get(id);
        held.filter(|(of, _)| *of == incarnation)
            .map_or(0, |(_, tokens)| *tokens)
    }

    /// Whether the plan may prefer another target than the least loaded one.
    pub fn is_effective(&self) -> bool {
        self.gain > 0.0 && !self.holders.is_empty()
    }

    /// Position of the best candidate: the least loaded one, at position `least_loaded`, or a holder that costs
    /// less; `draw` is a random number that selects the holders to compare.
    pub fn choose(&self, candidates: &[Candidate], least_loaded: usize, draw: u64) -> usize {
        if !self.is_effective() {
            return least_loaded;
        }
        let baseline = self.held_by(&candidates[least_loaded]);
        let mean_use = candidates.iter().map(use_with_one_more).sum::<f64>() / candidates.len() as f64;
        let max_use = (mean_use * LOAD_SLACK).max(LIGHT_USE);
        let is_better_holder = |i: &usize| {
            let candidate = &candidates[*i];
            self.held_by(candidate) > baseline && use_with_one_more(candidate) <= max_use
        };
        let holders: Vec<usize> = (0..candidates.len()).filter(is_better_holder).collect();
        let compared = holders.len().min(COMPARED_HOLDERS as usize);
        let first = xxh3_64_with_seed(&[], draw) as usize % holders.len().max(1);
        let compared = (0..compared).map(|i| holders[(first + i) % holders.len()]);
        let cost = |i: usize| self.cost_ms(&candidates[i]);
        compared.fold(
            least_loaded,
            |best, i| if cost(i) < cost(best) { i } else { best },
        )
    }

    /// Why a target was chosen.
    pub fn reason(&self, id: &str, incarnation: u64) -> Reason {
        let held = self.held(id, incarnation);
        let is_effective = self.gain > 0.0;
        match (is_effective, held > 0) {
            (false, _) => Reason::Load,
            (true, true) if self.is_trial => Reason::Trial,
            (true, true) => Reason::Reuse,
            (true, false) if self.holders.is_empty() => Reason::Load,
            (true, false) => Reason::Wait,
        }
    }

    fn held_by(&self, candidate: &Candidate) -> u64 {
        self.held(candidate.id, candidate.incarnation)
    }

    fn cost_ms(&self, candidate: &Candidate) -> f64 {
        let saved = self.held_by(candidate) as f64 * self.gain;
        self.figures
            .cost_ms(candidate.load, self.prompt - saved, self.answer)
    }
}

/// Fraction of a target's slots in use after it has taken the request.
fn use_with_one_more(candidate: &Candidate) -> f64 {
    f64::from(candidate.load + 1) / f64::from(candidate.slots.max(1))
}
