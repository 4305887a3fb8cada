//! Collection of whole bodies.

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Why a body was not collected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Incomplete {
    /// The connection broke before the end of the body.
    Truncated,
    /// The body is larger than allowed.
    TooLarge,
}

/// Collects a body of at most `max_bytes`.
///
/// The bytes are copied together, since a body of many small chunks would take a multiple of its size
/// otherwise.
///
/// # Errors
///
/// [`Incomplete`] with the reason.
pub async fn collect(mut body: Incoming, max_bytes: usize) -> Result<Bytes, Incomplete> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let chunk = frame.map_err(|_| Incomplete::Truncated)?.into_data();
        let chunk = chunk.unwrap_or_default();
        if chunk.len() > max_bytes - whole.len() {
            return Err(Incomplete::TooLarge);
        }
        whole.extend_from_slice(&chunk);
    }
    Ok(whole.freeze())
}
