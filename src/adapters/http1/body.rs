//! Bodies of responses.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

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

/// Part of a streamed body.
#[derive(Clone, Debug)]
pub enum Part {
    /// Bytes to send.
    Chunk(Bytes),
    /// The body is complete.
    End,
}

/// Body of a response.
#[derive(Debug)]
pub enum Body {
    /// All bytes at once; `None` after they are sent.
    Whole(Option<Bytes>),
    /// Chunks, each sent as soon as it is received. If the producer goes away before the end, for whatever
    /// reason, the connection is closed.
    Stream(mpsc::Receiver<Part>),
    /// Stream whose producer has gone away before the end.
    Aborted,
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
        let parts = match &mut *self {
            Body::Whole(bytes) => {
                let bytes = bytes.take().filter(|b| !b.is_empty());
                return Poll::Ready(bytes.map(|b| Ok(Frame::data(b))));
            }
            Body::Stream(parts) => parts,
            Body::Aborted => return Poll::Ready(Some(Err(Abort))),
        };
        match ready!(parts.poll_recv(cx)) {
            Some(Part::Chunk(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Some(Part::End) => {
                *self = Body::Whole(None);
                Poll::Ready(None)
            }
            None => {
                // The chunks so far are sent while the body is pending, and would be dropped by an error.
                *self = Body::Aborted;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Whole(bytes) if bytes.as_ref().is_none_or(Bytes::is_empty))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Body::Stream(_) | Body::Aborted => SizeHint::default(),
        }
    }
}
