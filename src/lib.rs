//! Serving system for language models that span several VMs.
//!
//! [`domain`] holds the decision logic, [`adapters`] and [`platform`] the I/O and the wire
//! formats, and [`control`], [`entry`], [`fleet`] and [`gateway`] the daemons that connect
//! them. docs/ARCHITECTURE.md describes the architecture.

pub mod adapters;
pub mod bench;
pub mod cli;
pub mod control;
pub mod daemon;
pub mod domain;
pub mod entry;
pub mod fleet;
pub mod gateway;
pub mod logging;
pub mod platform;
pub mod settings;
pub mod standin;
