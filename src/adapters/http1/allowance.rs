//! Limit on the bytes that a peer may send without getting on with its message.
//!
//! `hyper` limits the size of one head, but skips any number of interim answers and blank lines before it. In a body
//! it takes any number of leading zeros of a chunk's size, and of blanks after it. It hands the processor to nothing
//! else while more of them are ready.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Largest head of an answer, with the interim answers before it, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Most bytes between two parts of a body, in buffers of the connection: it reads ahead of the parts that it hands out.
const MAX_GAP_BUFFERS: usize = 4;

/// Bytes that may still come on a connection before its message gets on; clones share it.
#[derive(Clone, Debug)]
pub(super) struct Allowance {
    bytes: Arc<AtomicUsize>,
    max_gap_bytes: usize,
}

impl Allowance {
    /// Allowance of a connection whose buffer holds at most `buffer_bytes`.
    pub(super) fn new(buffer_bytes: usize) -> Self {
        let max_gap_bytes = MAX_GAP_BUFFERS * buffer_bytes;
        Allowance {
            bytes: Arc::new(AtomicUsize::new(max_gap_bytes)),
            max_gap_bytes,
        }
    }

    /// Limits the bytes until the head of an answer is complete.
    pub(super) fn limit_head(&self) {
        self.bytes.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Limits the bytes until the next part of a body, or the next head.
    pub(super) fn limit_gap(&self) {
        self.bytes.store(self.max_gap_bytes, Ordering::Relaxed);
    }

    /// Ends the limit until the next part of a message sets one.
    pub(super) fn lift(&self) {
        self.bytes.store(usize::MAX, Ordering::Relaxed);
    }

    fn take(&self, bytes: usize) {
        let left = self.bytes.load(Ordering::Relaxed);
        self.bytes.store(left.saturating_sub(bytes), Ordering::Relaxed);
    }
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
        let left = self.allowance.bytes.load(Ordering::Relaxed);
        if left == 0 {
            let reason = "the head or the framing of the message has no end";
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
