//! HTTP server side by `xitca-web`, reduced to plain requests and responses.
//!
//! The server's worker threads only move bytes. A handler runs on the process's
//! main runtime and answers with a whole body or with a stream of
//! chunks, which is dropped when the caller leaves.

mod request;
mod response;
mod server;

pub use request::Request;
pub use response::Body;
pub use response::Response;
pub use server::Server;
pub use server::serve;
