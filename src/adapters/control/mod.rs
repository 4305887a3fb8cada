//! Client of the control group (the control processes that share one replicated log).
//!
//! It finds the leader among them and sends it the requests.

mod client;
mod error;

pub use client::Client;
pub use error::Error;
