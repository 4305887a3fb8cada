//! Stand-in upstreams for the demo, the tests and the measurements.
//!
//! One process stands in for many VMs, each with its own port. An engine carries out
//! orders, takes time to load a model, runs a limited number of calls concurrently, is slow
//! while cold and aborts its calls when a member of its group is missing. A service
//! counts how often each call ran. `POST /fault` sets a [`Fault`] of a VM.

mod announce;
mod batch;
mod cache;
mod engine;
mod fault;
mod group;
mod server;
mod service;
mod settings;
mod text;
mod vm;

pub use batch::Batch;
pub use batch::BatchEvent;
pub use batch::BatchFigures;
pub use cache::Admission;
pub use cache::BLOCK_TOKENS;
pub use cache::Cache;
pub use fault::Fault;
pub use settings::Settings;
pub use settings::Vm as VmSettings;
pub use text::answer_word;
pub use vm::Fleet;
pub use vm::start;
