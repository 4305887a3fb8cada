//! HTTP/1.1 towards callers and upstreams of a gateway, by `hyper`.
//!
//! A gateway has to know at once that a caller has left, to keep whole control over each
//! upstream connection, and to run on one thread. `xitca-web` starts threads of its own and
//! does not tell a handler that its caller has left, so its nearest kin serves here.

mod body;
mod client;
mod server;

pub use body::Abort;
pub use body::Body;
pub use client::Client;
pub use client::Connection;
pub use client::Failure;
pub use server::Server;
pub use server::serve;
