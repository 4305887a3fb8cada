//! QUIC between the system's processes, with mutual TLS by the deployment keys.
//!
//! Each request has a bidirectional stream of its own: one request frame, then the frames of
//! the answer. A duplex stream goes on with bytes in both directions.

mod error;
mod frame;
mod pool;
mod server;
mod tls;
mod windows;

pub use error::Error;
pub use frame::read_frame;
pub use frame::write_frame;
pub use pool::Pool;
pub use server::Arrival;
pub use server::Duplex;
pub use server::Stream;
pub use server::serve;
pub use server::serve_admitted;
pub use server::serve_duplex;
pub use tls::Credentials;
pub use tls::Keys;
pub use tls::make_keys;
pub use windows::Windows;
