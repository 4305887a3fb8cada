//! Limits of what a server takes from its callers.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::timeout;

use crate::adapters::http1;
use crate::adapters::http1::Incoming;
use crate::adapters::http1::Limits;
use crate::adapters::memory::Memory;
use crate::domain::memory::Kind;

/// Limits of the bodies of requests, and of the connections that they arrive on.
#[derive(Clone, Debug)]
pub struct Intake {
    /// Largest body, in bytes.
    pub max_bytes: usize,
    /// Time without a byte after which a body is given up.
    pub max_pause: Duration,
    /// Longest time for a body.
    pub max_time: Duration,
    /// Limits of connections.
    pub limits: Limits,
    /// Budget that bodies are charged to.
    pub memory: Memory,
}

/// Why a body was not collected.
pub(super) enum Incomplete {
    /// The body is larger than allowed, or broke off.
    Invalid,
    /// There is no room for it, or it came too slowly.
    Refused,
}

impl Intake {
    /// Reads a whole body, which is held until its last clone is dropped.
    pub(super) async fn collect(
        &self,
        mut body: Incoming,
        caller: Option<String>,
    ) -> Result<Bytes, Incomplete> {
        let hold = self.memory.open(Kind::Body, caller);
        let reading = http1::collect_held(&mut body, self.max_bytes, self.max_pause, hold);
        match timeout(self.max_time, reading).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(http1::Incomplete::TooLarge | http1::Incomplete::Truncated)) => Err(Incomplete::Invalid),
            Ok(Err(http1::Incomplete::Stalled | http1::Incomplete::Shortage)) | Err(_) => {
                Err(Incomplete::Refused)
            }
        }
    }
}
