//! Published behaviour of a model engine.

use serde::Deserialize;
use serde::Serialize;

/// Model that groups of an engine serve.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Model {
    /// Name.
    pub name: String,
    /// VMs in a group.
    pub size: usize,
    /// Share of the work before anything is measured.
    pub share: f64,
    /// Factor on all times of the engine.
    pub pace: f64,
    /// Time to load the weights from the store, in milliseconds.
    pub load_ms: u64,
    /// Time to join with weights staged on the host, in milliseconds.
    pub warm_ms: u64,
}

/// Batching engine and its timing.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Engine {
    /// Requests that a group runs at once.
    pub slots: u32,
    /// Models.
    pub models: Vec<Model>,
    /// Time of one token step without requests, in milliseconds.
    pub step_ms: f64,
    /// Time that each running request adds to a step, in milliseconds.
    pub step_request_ms: f64,
    /// Token steps of one pass.
    pub steps_per_pass: u32,
    /// Prompt tokens read per second.
    pub read_per_s: f64,
    /// Loads from the weight store that may begin per second.
    pub loads_per_s: f64,
    /// Loads beyond which each one slows down.
    pub loads_at_once: usize,
    /// Time for an opened group to start serving, in milliseconds.
    pub open_ms: u64,
    /// Mean prompt of a request, in tokens.
    pub mean_prompt: f64,
    /// Mean answer of a request, in tokens.
    pub mean_answer: f64,
}

impl Engine {
    /// Model of that name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|m| m.name == name)
    }
}
