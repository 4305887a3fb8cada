//! Inference engine of a service: its models and its timing, as the operator's document states them.
//!
//! Nothing reads `load_ms` and `warm_ms` of a model, and `steps_per_pass`, `loads_per_s` and `open_ms`
//! of an engine, after decoding.

use serde::Deserialize;
use serde::Serialize;

/// Model that groups of VMs serve.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Model {
    /// Name, as in requests.
    pub name: String,
    /// Number of VMs in a group.
    pub size: usize,
    /// Expected fraction of the service's work, used until demand is measured.
    pub share: f64,
    /// Multiplier on the engine's prefill and decode times for this model; above 1 is slower.
    pub pace: f64,
    /// Time to load the weights from the weight store, in milliseconds.
    pub load_ms: u64,
    /// Time for a VM to join a group when the weights are already on its host, in milliseconds.
    pub warm_ms: u64,
}

/// Engine that runs requests in batches, and its timing.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Engine {
    /// Most requests that a group runs concurrently.
    pub slots: u32,
    /// Models that the engine can serve.
    pub models: Vec<Model>,
    /// Base time of one decode step, in milliseconds.
    pub step_ms: f64,
    /// Time that each running request adds to a decode step, in milliseconds.
    pub step_request_ms: f64,
    /// Decode steps in one pass over the batch.
    pub steps_per_pass: u32,
    /// Prompt tokens that prefill processes per second.
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
    /// Prompt and answer tokens that an engine's memory holds, of running and ended requests together.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory_tokens: Option<u64>,
}

impl Engine {
    /// Model named `name`, if the engine has it.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|m| m.name == name)
    }
}
