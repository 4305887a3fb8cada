//! Daemon of a fleet controller: the replicated log, VMs, groups and operators.

mod driver;
mod join;
mod messenger;
mod metrics;
mod peer;
mod run;
mod web;

pub use crate::daemon::Error;
pub use driver::Mailbox;
pub use driver::Status;
pub use run::Daemon;
pub use run::run;
