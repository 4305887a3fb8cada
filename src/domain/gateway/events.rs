//! Whole events of an event stream.

/// One event with its blank line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Bytes as they came.
    pub bytes: Vec<u8>,
    /// Identifier, if the event has a numeric one.
    pub id: Option<u64>,
}

/// Splits a byte stream into events, so that a cut never leaves half of one.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    rest: Vec<u8>,
}

impl Splitter {
    /// Takes bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        let mut searched = self.rest.len().saturating_sub(3);
        self.rest.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = find_end(&self.rest, searched) {
            let tail = self.rest.split_off(end);
            let bytes = std::mem::replace(&mut self.rest, tail);
            let id = find_id(&bytes);
            events.push(Event { bytes, id });
            searched = 0;
        }
        events
    }

    /// Bytes of an event that is not complete.
    pub fn rest(&self) -> &[u8] {
        &self.rest
    }
}

/// End of the first event: after an empty line.
fn find_end(bytes: &[u8], from: usize) -> Option<usize> {
    let unix = bytes[from..].windows(2).position(|w| w == b"\n\n");
    let dos = bytes[from..].windows(4).position(|w| w == b"\r\n\r\n");
    match (unix, dos) {
        (Some(a), Some(b)) if b < a => Some(from + b + 4),
        (Some(a), _) => Some(from + a + 2),
        (None, Some(b)) => Some(from + b + 4),
        (None, None) => None,
    }
}

fn find_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let line = lines.find_map(|l| l.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
