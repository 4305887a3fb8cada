//! Windows of a connection: what a peer may make this process hold.
//!
//! By default, `quinn` bounds the bytes of each stream that have not been read, but not those of a connection: 2,048
//! streams with 1.25 MB each. The window of a connection is a part of the VM's memory. It is many times that of a
//! stream, since streams that are not read block the others on their connection once they have filled it.

use quinn::TransportConfig;

/// Largest window of a stream, the default of `quinn`: 100 Mbit/s at a round trip of 100 ms.
const MAX_STREAM_BYTES: usize = 1_250_000;
/// Part of the VM's memory that the bytes of one connection may take in each direction.
const MEMORY_PARTS: usize = 8;
/// Streams that may be filled and not read before they block others on their connection.
const UNREAD_STREAMS: usize = 16;
/// Largest number of streams, and so requests, that a peer may have open on a connection.
const MAX_STREAMS: usize = 2_048;
/// Memory per stream beside its bytes for which the number of streams is derived; a stream and the task of
/// its request are assumed to take less.
const STREAM_OVERHEAD: usize = 8 << 10;

/// Windows of each connection of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Windows {
    /// Bytes of a stream that the peer may send before they are read.
    pub stream: u32,
    /// The same for all streams of a connection.
    pub connection: u32,
    /// Bytes to the peer that it has not acknowledged.
    pub send: u32,
    /// Streams that the peer may have open.
    pub streams: u32,
}

impl Windows {
    /// Windows of a process on a VM with `memory_mb` of memory.
    pub fn new(memory_mb: f64) -> Self {
        let connection = (memory_mb * 1e6) as usize / MEMORY_PARTS;
        let connection = connection.clamp(1 << 20, 1 << 30);
        let stream = (connection / UNREAD_STREAMS).min(MAX_STREAM_BYTES);
        Windows {
            stream: stream as u32,
            connection: connection as u32,
            send: (8 * stream) as u32,
            streams: (connection / STREAM_OVERHEAD).min(MAX_STREAMS) as u32,
        }
    }

    /// Windows with this one for streams, and eight times that for bytes to the peer.
    pub fn with_stream(self, stream: u32) -> Self {
        Windows {
            stream,
            send: stream * 8,
            ..self
        }
    }

    /// Windows of a connection on which the peer opens no streams.
    pub(super) fn without_streams(self) -> Self {
        Windows { streams: 0, ..self }
    }

    pub(super) fn apply(self, config: &mut TransportConfig) {
        config.stream_receive_window(self.stream.into());
        config.receive_window(self.connection.into());
        config.send_window(self.send.into());
        config.max_concurrent_bidi_streams(self.streams.into());
        // Neither is used, and what arrives would be held without being read.
        config.max_concurrent_uni_streams(0_u32.into());
        config.datagram_receive_buffer_size(None);
    }
}
