//! Inference engine of a service: its models and published timing.

use serde::Deserialize;
use serde::Serialize;

/// Model that groups of VMs serve.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Model {
    /// Name, as in requests.
    pub name: String,
    /// Number of VMs in a group.
    pub size: usize,
    /// Expected share of the service's work, used until demand is measured.
    pub share: f64,
    /// Multiplier on the engine's prompt and step times for this model.
    pub pace: f64,
    /// Time to load the weights from the weight store, in milliseconds.
    pub load_ms: u64,
    /// Time for a VM to join a group when its host has the weights staged, in milliseconds.
    pub warm_ms: u64,
}

/// Engine that runs requests in batches, and its timing.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Engine {
    /// Most requests that a group runs at once.
    pub slots: u32,
    /// Models that the engine can serve.
    pub models: Vec<Model>,
    /// Base time of one token step, in milliseconds.
    pub step_ms: f64,
    /// Time that each running request adds to a token step, in milliseconds.
    pub step_request_ms: f64,
    /// Token steps in one pass over the batch.
    pub steps_per_pass: u32,
    /// Prompt tokens read per second.
    pub read_per_s: f64,
    /// Loads from the weight store that may start per second.
    pub loads_per_s: f64,
    /// Number of concurrent loads above which each load slows down.
    pub loads_at_once: usize,
    /// Time for an opened group to start serving, in milliseconds.
    pub open_ms: u64,
    /// Mean prompt length of a request, in tokens.
    pub mean_prompt: f64,
    /// Mean answer length of a request, in tokens.
    pub mean_answer: f64,
}

impl Engine {
    /// Model named `name`, if the engine has it.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|m| m.name == name)
    }
}
