//! Framing of response bodies.

use http::Response;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;

/// What marks the end of a response's body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// The announced number of bytes.
    Length,
    /// The last chunk.
    Chunks,
    /// The end of the connection, which does not tell a complete body from one that was broken off.
    Connection,
}

impl Framing {
    /// Framing that the head of a response announces.
    pub fn of<B>(response: &Response<B>) -> Self {
        let headers = response.headers();
        if headers.contains_key(TRANSFER_ENCODING) {
            return Framing::Chunks;
        }
        if headers.contains_key(CONTENT_LENGTH) {
            return Framing::Length;
        }
        Framing::Connection
    }

    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Framing::Length => "length",
            Framing::Chunks => "chunks",
            Framing::Connection => "connection",
        }
    }
}
