//! Messages between the system's own processes.
//!
//! The types in `generated` are generated from `proto/heatherramp.proto` by `prost` and are
//! committed, so the build needs no protobuf compiler.

#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
mod generated;

pub use generated::*;

/// Largest encoded message that a process accepts, without the length prefix of the frame.
pub const MAX_FRAME_BYTES: usize = 64 << 20;
