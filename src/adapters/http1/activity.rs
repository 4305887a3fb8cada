//! Activity of a server's connection, from which its time limits are derived.
//!
//! `hyper` limits the time for a head only together with the idle time before it, and the time for writing a
//! response not at all, so both are observed at the socket. So is the size of a head, which may be allowed meanwhile
//! although it is too large for the connection.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::io::Take;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::sleep;

use super::Abort;
use super::Body;
use super::HeadLimit;
use super::Limits;
use super::allowance::Allowance;
use crate::adapters::clock;
use crate::adapters::memory::Hold;

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Phase {
    /// Nothing of the next request has arrived.
    #[default]
    Idle,
    /// A request head has begun to arrive at this time.
    Head(Duration),
    /// A request is being answered.
    Busy,
}

/// Why a connection ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum End {
    /// It has exceeded a time limit, or was dropped in favour of another one.
    Expired,
    /// A request head is larger than the connection's limit, and not larger than that of new connections.
    Outdated,
}

#[derive(Debug, Default)]
struct State {
    phase: Phase,
    /// Bytes of the request head that has begun to arrive.
    head_bytes: usize,
    /// Time since which the caller has taken no byte although some are ready.
    blocked_since: Option<Duration>,
    /// Time since which a whole answer is being sent.
    answering_since: Option<Duration>,
}

/// Activity of one connection.
#[derive(Debug)]
pub(super) struct Activity {
    state: Mutex<State>,
    /// Charge for the connection, which may be dropped in favour of another one unless it is busy.
    hold: Option<Hold>,
    /// Largest request head of this connection, in bytes.
    pub(super) max_head_bytes: usize,
    /// The same for new connections.
    head_limit: HeadLimit,
    /// Limit on what comes between the parts of a request's body.
    pub(super) allowance: Allowance,
    /// Notified when a request head is larger than the connection's limit, and allowed on new ones.
    outdated: Notify,
}

impl Activity {
    pub(super) fn new(hold: Option<Hold>, max_head_bytes: usize, head_limit: HeadLimit) -> Self {
        let activity = Activity {
            state: Mutex::default(),
            hold,
            max_head_bytes,
            head_limit,
            allowance: Allowance::new(max_head_bytes),
            outdated: Notify::new(),
        };
        activity.allowance.lift();
        activity.set_droppable(true);
        activity
    }

    /// Records that a request has arrived, until the returned guard is dropped.
    pub(super) fn start_request(self: &Arc<Self>) -> Busy {
        let mut state = self.state();
        state.phase = Phase::Busy;
        state.head_bytes = 0;
        drop(state);
        self.set_droppable(false);
        Busy(self.clone())
    }

    pub(super) fn is_busy(&self) -> bool {
        self.state().phase == Phase::Busy
    }

    /// Whether the caller has not taken all of an answer that is ready.
    pub(super) fn is_write_blocked(&self) -> bool {
        self.state().blocked_since.is_some()
    }

    /// Returns when the connection has exceeded a limit or was dropped in favour of another one.
    pub(super) async fn ended(&self, limits: &Limits) -> End {
        let dropped = async {
            match &self.hold {
                Some(hold) => hold.dropped().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = self.expired(limits) => End::Expired,
            () = dropped => End::Expired,
            () = self.outdated.notified() => End::Outdated,
        }
    }

    async fn expired(&self, limits: &Limits) {
        // Nothing that begins during a sleep expires before its end.
        let interval = limits.head_timeout.min(limits.write_timeout);
        let interval = interval.min(limits.answer_timeout);
        loop {
            let now = clock::now();
            let expiry = self.expiry(limits);
            if expiry <= now {
                return;
            }
            sleep((expiry - now).min(interval)).await;
        }
    }

    /// Time at which the connection exceeds a limit if nothing changes.
    fn expiry(&self, limits: &Limits) -> Duration {
        let state = self.state();
        let head = match state.phase {
            Phase::Head(since) => since.saturating_add(limits.head_timeout),
            Phase::Idle | Phase::Busy => Duration::MAX,
        };
        let after = |since: Option<Duration>, limit| {
            since.map_or(Duration::MAX, |since: Duration| since.saturating_add(limit))
        };
        let write = after(state.blocked_since, limits.write_timeout);
        let answer = after(state.answering_since, limits.answer_timeout);
        head.min(write).min(answer)
    }

    fn set_droppable(&self, is_droppable: bool) {
        if let Some(hold) = &self.hold {
            hold.set_droppable(is_droppable);
        }
    }

    /// Bytes that the next read may take; none if the request head has to be sent again on a new connection.
    fn readable_bytes(&self) -> Option<usize> {
        let state = self.state();
        if state.phase == Phase::Busy {
            return Some(usize::MAX);
        }
        // `hyper` reads on only while the head is not complete, and refuses it at the next byte after the limit.
        let left = self.max_head_bytes.saturating_sub(state.head_bytes);
        if left == 0 && self.head_limit.get() > self.max_head_bytes {
            self.outdated.notify_one();
            return None;
        }
        Some(left.max(1))
    }

    fn record_read(&self, bytes: usize) {
        let mut state = self.state();
        if state.phase == Phase::Busy {
            return;
        }
        state.head_bytes += bytes;
        if state.phase == Phase::Idle {
            state.phase = Phase::Head(clock::now());
        }
    }

    fn record_write<T>(&self, result: &Poll<io::Result<T>>) {
        let mut state = self.state();
        state.blocked_since = match result {
            Poll::Pending => state.blocked_since.or_else(|| Some(clock::now())),
            Poll::Ready(_) => None,
        };
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under this lock")
    }
}

/// Guard of a request that is being answered.
pub(super) struct Busy(Arc<Activity>);

impl Drop for Busy {
    fn drop(&mut self) {
        let mut state = self.0.state();
        state.phase = Phase::Idle;
        state.answering_since = None;
        drop(state);
        self.0.allowance.lift();
        self.0.set_droppable(true);
    }
}

/// Body whose connection is busy until it is sent.
pub(super) struct Answer {
    body: Body,
    _busy: Busy,
}

impl Answer {
    pub(super) fn new(body: Body, busy: Busy) -> Self {
        // A stream takes as long as its producer.
        if matches!(body, Body::Whole(_)) {
            busy.0.state().answering_since = Some(clock::now());
        }
        Answer { body, _busy: busy }
    }
}

impl hyper::body::Body for Answer {
    type Data = Bytes;
    type Error = Abort;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Abort>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Socket whose activity is recorded.
pub(super) struct Observed {
    stream: Take<TcpStream>,
    activity: Arc<Activity>,
}

impl Observed {
    pub(super) fn new(stream: TcpStream, activity: Arc<Activity>) -> Self {
        Observed {
            stream: stream.take(0),
            activity,
        }
    }

    pub(super) fn into_stream(self) -> TcpStream {
        self.stream.into_inner()
    }
}

impl AsyncRead for Observed {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Some(readable) = self.activity.readable_bytes() else {
            return Poll::Pending;
        };
        self.stream.set_limit(readable as u64);
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let read = buffer.filled().len() - before;
        if read > 0 {
            self.activity.record_read(read);
        }
        result
    }
}

impl AsyncWrite for Observed {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(self.stream.get_mut()).poll_write(cx, bytes);
        self.activity.record_write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(self.stream.get_mut()).poll_write_vectored(cx, buffers);
        self.activity.record_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_shutdown(cx)
    }
}
