//! Bodies that are received.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::allowance::Allowance;

/// Body that is received, whose bytes between two parts are limited.
#[derive(Debug)]
pub struct Incoming {
    body: hyper::body::Incoming,
    allowance: Allowance,
}

impl Incoming {
    /// Body on a connection with this allowance, whose head has just been read.
    pub(super) fn new(body: hyper::body::Incoming, allowance: Allowance) -> Self {
        allowance.limit_gap();
        Incoming { body, allowance }
    }
}

impl Body for Incoming {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if matches!(frame, Some(Ok(_))) {
            self.allowance.limit_gap();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
