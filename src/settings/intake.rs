//! Limits of what a gateway takes from callers.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Limits of what a gateway takes from callers, whatever the catalog allows.
///
/// The defaults leave room for callers that send a head within 3 s and reuse a connection within 12 s.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Intake {
    /// Buffer of a request head, in bytes; larger if the catalog allows larger heads.
    pub head_bytes: usize,
    /// Longest time from the first byte of a request head to its last one, in milliseconds.
    pub head_ms: u64,
    /// Time without a whole request head after which a connection is closed, in milliseconds.
    pub idle_ms: u64,
    /// Time without a byte of a body after which the request is refused, in milliseconds.
    pub body_pause_ms: u64,
    /// Longest time for a body, in milliseconds; at most until the caller stops waiting.
    pub body_ms: u64,
    /// Time without a byte taken by the caller after which an answer is broken off, in milliseconds.
    pub write_pause_ms: u64,
    /// Longest time for sending a whole answer, in milliseconds; streams have the deadlines of their requests.
    pub answer_ms: u64,
    /// Longest wait of a stream for a caller that does not read, in milliseconds; upstreams break a stream
    /// off that is not read for some seconds.
    pub stream_wait_ms: u64,
    /// Largest number of connections of callers; 0 derives it from the limit of descriptors.
    pub max_connections: usize,
    /// Size of each of the two socket buffers of a caller's connection, in bytes.
    pub socket_bytes: usize,
    /// Bytes of an unread body that are read after a refusal.
    pub drain_bytes: usize,
    /// Longest time for that, in milliseconds.
    pub drain_ms: u64,
}

impl Default for Intake {
    fn default() -> Self {
        Intake {
            head_bytes: 32 << 10,
            head_ms: 5_000,
            idle_ms: 15_000,
            body_pause_ms: 5_000,
            body_ms: 30_000,
            write_pause_ms: 10_000,
            // 1.1 Mbit/s for the largest answer.
            answer_ms: 60_000,
            stream_wait_ms: 1_500,
            max_connections: 0,
            // Bounds what the kernel holds for all connections: it accounts up to twice this in each direction.
            socket_bytes: 32 << 10,
            drain_bytes: 4 << 20,
            drain_ms: 2_000,
        }
    }
}

impl Intake {
    /// Field that is too small to serve any caller, if there is one.
    pub(super) fn invalid_field(&self) -> Option<&'static str> {
        let fields = [
            (
                "intake.head_bytes: must be at least 8192",
                self.head_bytes < 8_192,
            ),
            ("intake.head_ms: must be at least 100", self.head_ms < 100),
            ("intake.idle_ms: must be at least 100", self.idle_ms < 100),
            (
                "intake.body_pause_ms: must be at least 100",
                self.body_pause_ms < 100,
            ),
            ("intake.body_ms: must be at least 100", self.body_ms < 100),
            (
                "intake.write_pause_ms: must be at least 100",
                self.write_pause_ms < 100,
            ),
            ("intake.answer_ms: must be at least 100", self.answer_ms < 100),
            (
                "intake.socket_bytes: must be at least 4096",
                self.socket_bytes < 4_096,
            ),
        ];
        fields
            .into_iter()
            .find(|(_, is_bad)| *is_bad)
            .map(|(text, _)| text)
    }

    /// Longest pause of a body.
    pub fn body_pause(&self) -> Duration {
        Duration::from_millis(self.body_pause_ms)
    }

    /// Longest time for a body.
    pub fn body_time(&self) -> Duration {
        Duration::from_millis(self.body_ms)
    }

    /// Longest wait of a stream for its caller.
    pub fn stream_wait(&self) -> Duration {
        Duration::from_millis(self.stream_wait_ms)
    }
}
