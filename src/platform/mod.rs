//! Names, formats and calls of the platform on which a deployment runs.
//!
//! Everything here translates between the platform's wire forms and the product's
//! own types; nothing here decides, and nothing outside knows the wire names.

pub mod beat;
pub mod header;
pub mod manifest;
pub mod order;
pub mod path;
