//! HTTP/1.1 server and client by `hyper`, for all processes that serve HTTP.
//!
//! A gateway must learn immediately that a caller has disconnected, control each upstream
//! connection itself, and run on one thread. Entries and control processes use the server through
//! the `http` module.

mod activity;
mod allowance;
mod body;
mod client;
mod collect;
mod framing;
mod head;
mod incoming;
mod limits;
mod server;

pub use body::Abort;
pub use body::Body;
pub use body::Part;
pub use client::Cause;
pub use client::Client;
pub use client::Connection;
pub use client::Dialer;
pub use client::Failure;
pub use client::Link;
pub use client::Stream;
pub use collect::Incomplete;
pub use collect::collect;
pub use collect::collect_held;
pub use framing::Framing;
pub use head::is_final;
pub use incoming::Incoming;
pub use limits::HeadLimit;
pub use limits::Limits;
pub use limits::max_connections;
pub use server::Peer;
pub use server::Server;
pub use server::UnreadBody;
pub use server::serve;
pub use server::serve_limited;
