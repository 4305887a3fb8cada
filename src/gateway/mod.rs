//! Daemon of a gateway: callers, and the upstream for each of their requests.

mod answer;
mod attempt;
mod caller;
mod context;
mod error;
mod metrics;
mod request;
mod run;
mod status;
mod stream;
mod sync;

pub use error::Error;
pub use run::Daemon;
pub use run::run;
