//! The control daemon: a voter of the replicated log, which runs
//! [`crate::domain::control::Core`] and serves entries, VMs and operators.

mod driver;
mod messenger;
mod metrics;
mod operator;
mod peer;
mod run;
mod web;

pub use crate::daemon::Error;
pub use driver::Mailbox;
pub use run::Daemon;
pub use run::create_data_folder;
pub use run::run;
