//! Decision logic of the system, without I/O, clocks or random numbers of its own.
//!
//! Callers pass in the time, random draws and events; the state machines return
//! actions, which adapters and daemons execute. Times are durations since an
//! arbitrary point, from a monotonic clock, unless their names or docs say otherwise.

pub mod catalog;
pub mod consensus;
pub mod control;
pub mod dispatch;
pub mod environment;
pub mod fleet;
pub mod gateway;
pub mod limit;
pub mod membership;
pub mod memory;
pub mod pace;
pub mod placement;
pub mod quarantine;
pub mod reuse;
pub mod session;
pub mod state;
pub mod stop;
