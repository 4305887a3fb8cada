//! The control daemon: drives [`crate::domain::control::Core`].

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
