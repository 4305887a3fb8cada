//! Daemon of a gateway: callers, and the upstream for each of their requests.

mod answer;
mod attempt;
mod caller;
mod context;
mod metrics;
mod request;
mod run;
mod send;
mod status;
mod stream;
mod sync;

pub use crate::daemon::Error;
pub use run::Daemon;
pub use run::run;
