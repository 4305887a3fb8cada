//! The entry daemon: callers, dispatch and the work of an owner.
//!
//! A call passes through [`web`], which reads it, [`relay`], which chooses an
//! owner and repairs broken answers, and [`execute`], which runs at the owner.

mod account;
mod chat;
mod context;
mod execute;
mod metrics;
mod once;
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
