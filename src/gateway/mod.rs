//! Gateway daemon: receives callers' requests and passes each one on to an upstream.

mod answer;
mod attempt;
mod caller;
mod context;
mod delivery;
mod dial;
mod dispatch;
mod evidence;
mod heartbeat;
mod intake;
mod late;
mod marks;
mod metrics;
mod permit;
mod request;
mod reuse;
mod run;
mod search;
mod send;
mod sent;
mod status;
mod stream;
mod stream_run;
mod sync;
mod tunnel;

pub use crate::daemon::Error;
pub use run::Daemon;
pub use run::run;
pub use run::run_with_dialer;
