//! What the daemons share: command line, errors, exit codes, signals, metrics, mailboxes.

mod error;
mod exit;
mod mailbox;
mod metrics;
mod program;
mod signal;

pub use error::Error;
pub use exit::code;
pub use mailbox::Mailbox;
pub use metrics::Registry;
pub use program::command;
pub use program::load;
pub use program::run;
pub use program::run_single;
pub use signal::terminated;
