//! HTTP server for control and entry processes, on top of the `http1` module and reduced to plain
//! requests and responses.
//!
//! A handler runs in a task of its own and goes on when its caller disconnects. It responds with a whole body or
//! with a stream of chunks, which is dropped when the caller disconnects.

mod intake;
mod request;
mod response;
mod server;

pub use intake::Intake;
pub use request::Request;
pub use response::Body;
pub use response::Response;
pub use server::Server;
pub use server::serve;
