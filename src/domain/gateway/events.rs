//! Splitting of a byte stream into server-sent events.

use bytes::Bytes;
use bytes::BytesMut;

/// Largest event of a stream, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One event, including the blank line that ends it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Bytes as received.
    pub bytes: Bytes,
    /// Value of the `id` field, if there is a numeric one.
    pub id: Option<u64>,
}

impl Event {
    /// Whether the event says something without an identifier; comments need none.
    pub fn lacks_id(&self) -> bool {
        let is_field = |line: &[u8]| !matches!(line.first(), None | Some(b':' | b'\r'));
        self.id.is_none() && self.bytes.split(|b| *b == b'\n').any(is_field)
    }
}

/// Splits a byte stream into complete events and holds back an incomplete one.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

impl Splitter {
    /// Adds received bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        // The blank line is at most 4 bytes long, so up to 3 of them may be in the buffer already.
        let mut search_from = self.buffer.len().saturating_sub(3);
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = find_end(&self.buffer, search_from) {
            let bytes = self.buffer.split_to(end).freeze();
            let id = find_id(&bytes);
            events.push(Event { bytes, id });
            search_from = 0;
        }
        events
    }

    /// Bytes received after the last complete event.
    pub fn remainder(&self) -> &[u8] {
        &self.buffer
    }

    /// Whether the bytes after the last complete event are too many for one event.
    pub fn is_oversized(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Whether a stream that ends here is broken off: blank lines between events may follow the last one,
    /// and nothing else.
    pub fn is_inside_event(&self) -> bool {
        self.buffer.iter().any(|b| !matches!(b, b'\r' | b'\n'))
    }
}

/// Offset just after the first blank line, which ends an event; searches from offset `from`.
fn find_end(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len()).find_map(|start| match &bytes[start..] {
        [b'\n', b'\n', ..] => Some(start + 2),
        [b'\r', b'\n', b'\r', b'\n', ..] => Some(start + 4),
        _ => None,
    })
}

fn find_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let line = lines.find_map(|l| l.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
