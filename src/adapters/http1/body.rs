//! Bodies of answers.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc;

/// The answer ends here without being complete; the connection is closed.
#[derive(Clone, Copy, Debug)]
pub struct Abort;

impl fmt::Display for Abort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer was cut")
    }
}

impl std::error::Error for Abort {}

impl From<Infallible> for Abort {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Body of an answer.
#[derive(Debug)]
pub enum Body {
    /// All bytes at once.
    Whole(Option<Bytes>),
    /// Parts as they come.
    Stream(mpsc::Receiver<Result<Bytes, Abort>>),
}

impl Body {
    /// Body with these bytes.
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
            Body::Stream(parts) => parts
                .poll_recv(cx)
                .map(|part| part.map(|bytes| bytes.map(Frame::data))),
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
