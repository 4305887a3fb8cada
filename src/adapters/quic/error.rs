//! Errors of the QUIC adapter.

use std::fmt;

/// Failure of the communication between two processes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// A deployment key or certificate is invalid, or its file cannot be read or written.
    Keys,
    /// The local UDP socket cannot be opened.
    Bind,
    /// No connection or stream could be opened, so nothing was sent.
    Connect,
    /// The stream broke off; what was sent may have arrived.
    Broken,
    /// No answer in time; what was sent may have arrived.
    Timeout,
    /// The peer sent a frame that is too long or cannot be decoded.
    Malformed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Error::Keys => "a deployment key or certificate is invalid, or cannot be read or written",
            Error::Bind => "cannot open the QUIC endpoint",
            Error::Connect => "cannot connect to the peer",
            Error::Broken => "the stream to the peer broke",
            Error::Timeout => "the peer did not answer in time",
            Error::Malformed => "the peer sent an unreadable frame",
        })
    }
}

impl std::error::Error for Error {}
