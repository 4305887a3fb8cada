//! Header names, paths and JSON documents that the platform prescribes.
//!
//! This module translates between the platform's wire formats and the types of
//! [`crate::domain`], so that no other module depends on the platform's field names.
//! It makes no decisions.

pub mod configuration;
pub mod header;
pub mod heartbeat;
pub mod order;
pub mod path;
