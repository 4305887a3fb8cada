//! The entry daemon: takes the calls of clients and owns replicas.
//!
//! Each replica is owned by at most one entry, its owner, which alone queues calls for it and
//! sends them to its upstream.
//!
//! A call passes through `web`, which reads it, `relay`, which chooses an owner
//! and retries or resumes what failed, and `execute`, which runs at the owner.

mod account;
mod at_most_once;
mod chat;
mod context;
mod execute;
mod metrics;
mod peer;
mod probe;
mod problem;
mod relay;
mod run;
mod service;
mod sync;
mod web;

pub use crate::daemon::Error;
pub use run::Daemon;
pub use run::run;
