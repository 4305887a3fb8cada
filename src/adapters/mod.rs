//! Adapters: the border between the decisions and the outside.

pub mod clock;
pub mod control;
pub mod disk;
pub mod fleet;
pub mod http;
pub mod http1;
pub mod quic;
pub mod upstream;
pub mod wire;
