//! Input and output: clock, disk, network protocols and clients of other processes.
//!
//! The modules of `domain` decide without doing any I/O; the daemons execute their
//! decisions through these adapters.

pub mod clock;
pub mod control;
pub mod disk;
pub mod fleet;
pub mod http;
pub mod http1;
pub mod memory;
pub mod quic;
pub mod upstream;
pub mod wire;
