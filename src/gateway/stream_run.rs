//! One run of a stream: the events of one target's answer.

use std::sync::Arc;

use bytes::Bytes;
use http::Response;
use hyper::body::Frame;

use super::evidence;
use super::request::Request;
use super::reuse;
use super::search::Position;
use super::send::Send;
use crate::adapters::clock;
use crate::adapters::http1::Connection;
use crate::adapters::http1::Framing;
use crate::adapters::http1::Incoming;
use crate::domain::gateway::Event;
use crate::domain::gateway::Outcome;
use crate::domain::gateway::Splitter;

/// Bytes of a run that are passed on after the deadline.
const MAX_LATE_BYTES: usize = 1 << 20;

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum End {
    Complete,
    CallerLeft,
    /// The caller reads too slowly for the memory that its stream may take.
    CallerSlow,
    Deadline,
    /// The upstream has ended it too early; with the reason for the log.
    Broken(&'static str),
}

/// What a run has brought.
pub(super) enum Progress {
    /// Complete events, at least one.
    Events(Vec<Event>),
    /// No event came for too long; the run may still go on.
    Silent,
    /// The run has ended.
    Ended(End),
}

/// Run of a stream by one target; dropping it closes the connection, which makes the target stop.
pub(super) struct Run {
    pub(super) body: Incoming,
    pub(super) framing: Framing,
    connection: Connection,
    send: Send,
    request: Arc<Request>,
    /// What the run shows of the request's prompt parts.
    evidence: evidence::Run,
    splitter: Splitter,
    /// How far the stream had come when this run started.
    start: Position,
    /// Whether this run has delivered an event.
    is_streaming: bool,
    /// Whether this run has delivered an event that earlier runs had not.
    has_new_event: bool,
    late_bytes: usize,
}

impl Run {
    /// Run whose answer has this head, of a stream that has come to `start`.
    pub(super) fn new(
        request: &Arc<Request>,
        response: Response<Incoming>,
        connection: Connection,
        send: Send,
        start: Position,
    ) -> Self {
        Run {
            framing: Framing::of(&response),
            body: response.into_body(),
            connection,
            send,
            request: request.clone(),
            evidence: evidence::Run::default(),
            splitter: Splitter::default(),
            start,
            is_streaming: false,
            has_new_event: false,
            late_bytes: 0,
        }
    }

    /// Whether the link to the target is at fault, so that no further event may come.
    pub(super) fn is_link_suspect(&self) -> bool {
        self.send.is_link_suspect()
    }

    /// Identifier of the target.
    pub(super) fn target(&self) -> &str {
        &self.send.target.id
    }

    /// Bytes after the last complete event.
    pub(super) fn remainder(&self) -> &[u8] {
        self.splitter.remainder()
    }

    /// Handles the next frame of the body, or its end; returns none if the frame completes no event.
    pub(super) fn receive(&mut self, frame: Option<Result<Frame<Bytes>, hyper::Error>>) -> Option<Progress> {
        let bytes = match frame {
            None => return Some(Progress::Ended(self.end_of_body())),
            Some(Err(_)) => return Some(Progress::Ended(End::Broken("connection lost"))),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        let now = clock::now();
        // Bytes that are ready are passed on late, too, but not without end.
        if now >= self.request.deadline {
            self.late_bytes += bytes.len();
        }
        if self.late_bytes > MAX_LATE_BYTES {
            return Some(Progress::Ended(End::Deadline));
        }
        let events = self.splitter.push(&bytes);
        if events.is_empty() {
            let is_oversized = self.splitter.is_oversized();
            return is_oversized.then_some(Progress::Ended(End::Broken("event too large")));
        }
        if events.iter().any(|event| self.start.excludes(event)) {
            return Some(Progress::Ended(End::Broken("event of another stream")));
        }
        self.send.record_heard();
        let is_first = !self.is_streaming;
        self.is_streaming = true;
        self.has_new_event |= events.iter().any(|event| !self.start.includes(event));
        if is_first {
            reuse::record_first_event(&self.request, &self.send, self.start.events > 0);
        }
        let context = &self.send.context;
        context
            .balancer()
            .record_event(now, &self.send.target.id, is_first);
        context.metrics.events.inc_by(events.len() as u64);
        self.evidence.record_events(context, &self.request, events.len());
        Some(Progress::Events(events))
    }

    /// End of a run whose body has ended without an error.
    ///
    /// The end of a connection also ends a body without framing, so only the events show whether it is whole.
    /// A run that continues a stream was started because more was to follow, however it is framed.
    fn end_of_body(&self) -> End {
        let lacks_event = match self.start.events {
            0 => !self.is_streaming && self.framing == Framing::Connection,
            _ => !self.has_new_event,
        };
        if lacks_event {
            return End::Broken("ended before an event");
        }
        if self.splitter.is_inside_event() {
            return End::Broken("ended inside an event");
        }
        End::Complete
    }

    /// Ends a run that is complete, and keeps its connection for further requests.
    pub(super) fn complete(mut self) {
        self.end_stream();
        self.evidence.record_end(&self.send.context, &self.request);
        self.send.context.upstreams.return_connection(self.connection);
        self.send.end(Outcome::Answered);
    }

    /// Ends a run that is not complete, and closes its connection.
    pub(super) fn abandon(self, outcome: Outcome) {
        self.end_stream();
        drop(self.connection);
        if outcome == Outcome::Failed {
            self.evidence.record_lost_connection(&self.send, &self.request);
        }
        self.send.end(outcome);
    }

    fn end_stream(&self) {
        if self.is_streaming {
            self.send.context.balancer().end_stream(&self.send.target.id);
        }
    }
}
