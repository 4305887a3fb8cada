//! Names, formats and calls of the platform on which a deployment runs.
//!
//! Everything here translates between the platform's wire forms and the product's
//! own types; nothing here decides, and nothing outside knows the wire names.

pub mod configuration;
pub mod header;
pub mod heartbeat;
pub mod order;
pub mod path;
