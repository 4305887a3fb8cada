//! Limits of the connections of an entry's or control process's HTTP port.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::adapters::http1::Limits;
use crate::adapters::http1::max_connections;
use crate::adapters::memory::Memory;

/// What is read of an unread body after a refusal.
const DRAIN_BYTES: usize = 4 << 20;
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Limits of the connections of callers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Connections {
    /// Largest number of connections; 0 derives it from the limit of descriptors.
    pub max: usize,
    /// Largest buffer of a request head, in bytes.
    pub head_bytes: usize,
    /// Longest time from the first byte of a request head to its last one, in milliseconds.
    pub head_ms: u64,
    /// Time without a whole request head after which a connection is closed, in milliseconds.
    pub idle_ms: u64,
    /// Time without a byte taken by the caller after which an answer is broken off, in milliseconds.
    pub write_pause_ms: u64,
    /// Longest time for sending an answer that is no stream, in milliseconds.
    pub answer_ms: u64,
    /// Size of each of the two socket buffers of a connection, in bytes.
    pub socket_bytes: usize,
}

impl Default for Connections {
    fn default() -> Self {
        Connections {
            max: 0,
            head_bytes: 32 << 10,
            head_ms: 5_000,
            idle_ms: 15_000,
            // Longer than at a gateway, whose upstreams break a stream off that is not read.
            write_pause_ms: 30_000,
            answer_ms: 120_000,
            socket_bytes: 32 << 10,
        }
    }
}

impl Connections {
    /// Field that is too small to serve any caller, if there is one.
    pub(super) fn invalid_field(&self) -> Option<&'static str> {
        let fields = [
            (
                "connections.head_bytes: must be at least 8192",
                self.head_bytes < 8_192,
            ),
            ("connections.head_ms: must be at least 100", self.head_ms < 100),
            ("connections.idle_ms: must be at least 100", self.idle_ms < 100),
            (
                "connections.write_pause_ms: must be at least 100",
                self.write_pause_ms < 100,
            ),
            (
                "connections.answer_ms: must be at least 100",
                self.answer_ms < 100,
            ),
            (
                "connections.socket_bytes: must be at least 4096",
                self.socket_bytes < 4_096,
            ),
        ];
        fields
            .into_iter()
            .find(|(_, is_bad)| *is_bad)
            .map(|(text, _)| text)
    }

    /// Limits of the port and the budget of `bytes` for all that callers make the process hold. Connections may
    /// take `connection_bytes` of it, and each takes `descriptors`.
    pub fn limits(&self, bytes: usize, connection_bytes: usize, descriptors: usize) -> (Limits, Memory) {
        let limits = Limits {
            head_timeout: Duration::from_millis(self.head_ms),
            write_timeout: Duration::from_millis(self.write_pause_ms),
            answer_timeout: Duration::from_millis(self.answer_ms),
            socket_bytes: Some(self.socket_bytes),
            drain_bytes: DRAIN_BYTES,
            drain_timeout: DRAIN_TIMEOUT,
            ..Limits::new(self.head_bytes, Duration::from_millis(self.idle_ms))
        };
        let connections = max_connections(self.max, descriptors).saturating_mul(limits.connection_bytes());
        let memory = Memory::new(bytes, connections.min(connection_bytes));
        let limits = Limits {
            memory: Some(memory.clone()),
            ..limits
        };
        (limits, memory)
    }
}
