//! Daemon of a fleet controller: runs the decision core and serves VMs, gateways, operators and
//! other controllers.

mod driver;
mod gate;
mod health;
mod heartbeat;
mod intake;
mod join;
mod leader;
mod messenger;
mod metrics;
mod orders;
mod peer;
mod probes;
mod relay;
mod run;
mod text;
mod web;

pub use crate::daemon::Error;
pub use driver::Mailbox;
pub use driver::Status;
pub use run::Daemon;
pub use run::run;
