//! Client of the fleet controllers, of which one leads and answers calls.

mod client;

pub use client::Client;
