//! Logic of a control process: the replicated log and state, and the leader's work.
//!
//! [`Core::step`] combines consensus, the replicated state, the sessions of entries
//! and placement. It does no I/O: the daemon passes events to it and executes the
//! actions that it returns, in order.

mod apply;
mod core;
mod event;
mod leader;
mod status;
mod sync;

pub use self::core::Core;
pub use self::core::Settings;
pub use event::Action;
pub use event::Answer;
pub use event::Event;
pub use event::Ticket;
pub use status::Status;
