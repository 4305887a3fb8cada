//! Collection of whole bodies.
//!
//! The bytes are copied together, since a body of many small chunks would take a multiple of its size
//! otherwise.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::timeout;

use super::Incoming;
use crate::adapters::memory::Buffer;
use crate::adapters::memory::Hold;

/// Why a body was not collected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Incomplete {
    /// The connection broke before the end of the body, or the framing of the body is not valid.
    Truncated,
    /// The body is larger than allowed.
    TooLarge,
    /// No byte came for too long.
    Stalled,
    /// The memory budget has no room for the body.
    Shortage,
}

/// Collects a body of at most `max_bytes`.
///
/// # Errors
///
/// [`Incomplete`] with the reason.
pub async fn collect<B>(mut body: B, max_bytes: usize) -> Result<Bytes, Incomplete>
where
    B: Body<Data = Bytes> + Unpin,
{
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

/// Collects a body of at most `max_bytes` that sends a byte at least every `max_pause`, and charges `hold`
/// for it before the memory is taken. The holding is released with the last clone of the result.
///
/// # Errors
///
/// [`Incomplete`] with the reason; an announced length that is too large is refused before a byte is read.
pub async fn collect_held(
    body: &mut Incoming,
    max_bytes: usize,
    max_pause: Duration,
    hold: Hold,
) -> Result<Bytes, Incomplete> {
    let announced = body.size_hint().exact();
    if announced.is_some_and(|length| length > max_bytes as u64) {
        return Err(Incomplete::TooLarge);
    }
    let most = announced.map_or(max_bytes, |length| length as usize);
    let mut whole = Buffer::new(most, hold);
    loop {
        let frame = tokio::select! {
            frame = timeout(max_pause, body.frame()) => frame.map_err(|_| Incomplete::Stalled)?,
            () = whole.dropped() => return Err(Incomplete::Shortage),
        };
        let Some(frame) = frame else { break };
        let chunk = frame.map_err(|_| Incomplete::Truncated)?.into_data();
        let chunk = chunk.unwrap_or_default();
        if chunk.len() > max_bytes - whole.len() {
            return Err(Incomplete::TooLarge);
        }
        whole.push(&chunk).await.map_err(|_| Incomplete::Shortage)?;
    }
    whole.finish().await.map_err(|_| Incomplete::Shortage)
}
