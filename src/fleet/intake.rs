//! Limits of a controller's HTTP ports: connections, heartbeats and configurations.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use tokio::time::timeout;

use crate::adapters::http1::Incoming;
use crate::adapters::http1::Incomplete;
use crate::adapters::http1::Limits;
use crate::adapters::http1::collect_held;
use crate::adapters::memory::Memory;
use crate::domain::memory::Kind;
use crate::platform::configuration;

/// Largest HTTP request head.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time from the first byte of a request head to its last one.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without a byte taken by the caller after which an answer is broken off.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without a byte of a body after which the call is refused, and the longest time for a body.
const BODY_PAUSE: Duration = Duration::from_secs(5);
const BODY_TIME: Duration = Duration::from_secs(30);
/// Largest catalog or heartbeat that is accepted.
const MAX_BODY_BYTES: usize = configuration::MAX_BYTES;
/// What is read of an unread body after a refusal.
const DRAIN_BYTES: usize = 4 << 20;
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Part of the VM's memory, in sixteenths, that HTTP callers may make a controller hold. A controller itself
/// has taken up to 216 MB of 256 MB, at 300 gateways.
const CALLER_SIXTEENTHS: usize = 3;

/// Limits of the ports, with a budget for a VM of `memory_mb`.
pub(super) fn limits(memory_mb: f64) -> (Limits, Memory) {
    let bytes = (memory_mb * 1e6) as usize / 16 * CALLER_SIXTEENTHS;
    // Most callers are VMs that keep a connection for small heartbeats: 1,464 of them at 256 MB.
    let memory = Memory::new(bytes, bytes / 4 * 3);
    let limits = Limits {
        head_timeout: HEAD_TIMEOUT,
        write_timeout: WRITE_TIMEOUT,
        drain_bytes: DRAIN_BYTES,
        drain_timeout: DRAIN_TIMEOUT,
        memory: Some(memory.clone()),
        ..Limits::new(MAX_HEAD_BYTES, IDLE_TIMEOUT)
    };
    (limits, memory)
}

/// Reads the body of a call; `owner` is the address that it counts against.
///
/// # Errors
///
/// Status and reason of the refusal. Nothing of the call has run.
pub(super) async fn read_body(
    memory: &Memory,
    mut body: Incoming,
    owner: String,
) -> Result<Bytes, (StatusCode, &'static str)> {
    let hold = memory.open(Kind::Body, Some(owner));
    let reading = collect_held(&mut body, MAX_BODY_BYTES, BODY_PAUSE, hold);
    match timeout(BODY_TIME, reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(Incomplete::TooLarge | Incomplete::Truncated)) => {
            Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is too large or was cut"))
        }
        Ok(Err(Incomplete::Shortage)) => Err((StatusCode::SERVICE_UNAVAILABLE, "no memory for the body")),
        Ok(Err(Incomplete::Stalled)) | Err(_) => {
            Err((StatusCode::SERVICE_UNAVAILABLE, "the body takes too long"))
        }
    }
}
