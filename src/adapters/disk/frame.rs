//! Framing of stored items: length and CRC-32 (4 bytes each, little-endian), then the item.

/// Length and checksum before each item.
const HEADER_BYTES: usize = 8;

/// Result of decoding the first item of some bytes.
#[derive(Debug, Eq, PartialEq)]
pub enum Decoded<'a> {
    /// A valid item and the bytes after its frame.
    Valid(&'a [u8], &'a [u8]),
    /// No bytes are left.
    End,
    /// The bytes end before the item does, the item is empty, or its checksum does not match.
    Torn,
}

/// Appends an item with its header to `out`.
pub fn encode(out: &mut Vec<u8>, item: &[u8]) {
    out.extend_from_slice(&(item.len() as u32).to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(item).to_le_bytes());
    out.extend_from_slice(item);
}

/// Decodes the first item of `bytes`.
pub fn decode(bytes: &[u8]) -> Decoded<'_> {
    if bytes.is_empty() {
        return Decoded::End;
    }
    let Some((header, rest)) = bytes.split_at_checked(HEADER_BYTES) else {
        return Decoded::Torn;
    };
    let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
    let checksum = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
    let Some((item, rest)) = rest.split_at_checked(length) else {
        return Decoded::Torn;
    };
    // A crash can leave bytes of value 0 at the end of the file. They decode as an empty item
    // whose checksum matches.
    if item.is_empty() || crc32fast::hash(item) != checksum {
        return Decoded::Torn;
    }
    Decoded::Valid(item, rest)
}
