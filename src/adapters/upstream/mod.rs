//! Calls to upstreams over HTTP/1.1, by control and entry processes.
//!
//! Gateways and fleet controllers use the client of [`http1`](super::http1) instead.
//!
//! | call | purpose |
//! |---|---|
//! | `GET /report` | [`fetch_report()`]: liveness and load |
//! | `POST /order` | [`send_order()`]: join a replica group and load a model |
//! | `POST /v1/chat/completions` | [`generate()`]: token stream from a given offset |
//! | any other | [`call_service()`]: one call of a service that is no model engine |
//!
//! To support another protocol for one of these, add a module with the same function.

mod client;
mod error;
mod generate;
mod order;
mod report;
mod service;

pub use client::Client;
pub use error::Error;
pub use generate::Generation;
pub use generate::Prompt;
pub use generate::Token;
pub use generate::generate;
pub use order::send_order;
pub use report::fetch_report;
pub use service::Answer;
pub use service::Request;
pub use service::call_service;
