//! Client of the fleet controllers.

mod client;

pub use client::Client;
