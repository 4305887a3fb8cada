//! What the daemons' programs share: command line, exit codes, signals.

mod exit;
mod mailbox;
mod program;
mod signal;

pub use exit::code;
pub use mailbox::Mailbox;
pub use program::command;
pub use program::load;
pub use program::run;
pub use program::run_single;
pub use signal::terminated;
