//! Serving system for language models that span several VMs.
//!
//! [`domain`] holds the decisions, [`adapters`] the border to the outside, and
//! [`entry`] and [`control`] the daemons that join them. docs/ARCHITECTURE.md has
//! the map.

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
