//! Code that all daemons share: command line, errors, exit codes, signals, planned stops, metrics,
//! mailboxes.

mod error;
mod exit;
mod mailbox;
mod metrics;
mod program;
mod shutdown;
mod signal;
mod tickets;

pub use error::Error;
pub use exit::exit_code;
pub use mailbox::Mailbox;
pub use metrics::Registry;
pub use program::command;
pub use program::load_settings;
pub use program::memory_mb;
pub use program::run;
pub use program::run_single_threaded;
pub use program::with_memory;
pub use shutdown::Shutdown;
pub use signal::shutdown_signal;
pub use tickets::Tickets;
