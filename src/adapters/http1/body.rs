//! Bodies of responses.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc;

/// Aborts a response before it is complete, by closing the connection.
#[derive(Clone, Copy, Debug)]
pub struct Abort;

impl fmt::Display for Abort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response was aborted before it was complete")
    }
}

impl std::error::Error for Abort {}

impl From<Infallible> for Abort {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Body of a response.
#[derive(Debug)]
pub enum Body {
    /// All bytes at once; `None` after they are sent.
    Whole(Option<Bytes>),
    /// Chunks, each sent as soon as it is received; an error closes the connection.
    Stream(mpsc::Receiver<Result<Bytes, Abort>>),
}

impl Body {
    /// Body of known length.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Body::Whole(Some(bytes.into()))
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Abort;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Abort>>> {
        match &mut *self {
            Body::Whole(bytes) => {
                let bytes = bytes.take().filter(|b| !b.is_empty());
                Poll::Ready(bytes.map(|b| Ok(Frame::data(b))))
            }
            Body::Stream(chunks) => chunks
                .poll_recv(cx)
                .map(|chunk| chunk.map(|bytes| bytes.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Whole(bytes) if bytes.as_ref().is_none_or(Bytes::is_empty))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Body::Stream(_) => SizeHint::default(),
        }
    }
}
