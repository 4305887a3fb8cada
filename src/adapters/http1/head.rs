//! Limit on the bytes that an upstream may send before its answer's head is complete.
//!
//! `hyper` limits the size of one head, but skips any number of interim answers and blank lines before it, and hands
//! the processor to nothing else while more of them are ready.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use http::StatusCode;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Largest head of an answer, with the interim answers before it, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Bytes that may still come on a connection before a head is complete; clones share it.
#[derive(Clone, Debug)]
pub(super) struct Allowance(Arc<AtomicUsize>);

impl Default for Allowance {
    fn default() -> Self {
        Allowance(Arc::new(AtomicUsize::new(usize::MAX)))
    }
}

impl Allowance {
    /// Limits the bytes until the next head is complete.
    pub(super) fn limit(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Takes `bytes` that have come, unless the limit has been lifted meanwhile.
    fn take(&self, bytes: usize) {
        let remaining = |left: usize| (left != usize::MAX).then(|| left.saturating_sub(bytes));
        // Fails without a limit.
        let _ = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, remaining);
    }

    /// Ends the limit: what follows is a body, whose reader limits it.
    pub(super) fn lift(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }
}

/// Whether a final answer can have this status; 101 is one only for a caller that has asked for it.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Byte stream whose reads fail once its allowance is used up.
pub(super) struct Limited<T> {
    pub(super) stream: T,
    pub(super) allowance: Allowance,
}

impl<T: AsyncRead + Unpin> AsyncRead for Limited<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let left = self.allowance.0.load(Ordering::Relaxed);
        if left == 0 {
            let reason = "the head of the answer has no end";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        self.allowance.take(buffer.filled().len() - before);
        result
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Limited<T> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
