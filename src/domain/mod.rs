//! Decisions of the system, without I/O, clock or entropy.
//!
//! Every part takes the time and an event and returns actions; adapters and
//! daemons drive them. Times are durations since an arbitrary start of the
//! process, from a monotonic clock.

pub mod catalog;
pub mod consensus;
pub mod control;
pub mod dispatch;
pub mod environment;
pub mod fleet;
pub mod gateway;
pub mod membership;
pub mod placement;
pub mod session;
pub mod state;
