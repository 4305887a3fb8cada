//! Relay of event streams: passes on complete events in order and resumes a stream that breaks.
//!
//! A run is the execution of the request by one target; a stream that is resumed has several.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::dispatch::elapsed_ms;
use super::evidence;
use super::request::Request;
use super::request::strip_hop_by_hop;
use super::send::Classification;
use super::send::Send;
use super::send::classify;
use super::send::upstream_request;
use crate::adapters::clock;
use crate::adapters::http1::Abort;
use crate::adapters::http1::Body;
use crate::adapters::http1::Connection;
use crate::adapters::http1::Failure;
use crate::adapters::http1::Framing;
use crate::domain::catalog::Repeat;
use crate::domain::catalog::Service;
use crate::domain::fleet::Target;
use crate::domain::gateway::Choice;
use crate::domain::gateway::Criteria;
use crate::domain::gateway::Outcome;
use crate::domain::gateway::Splitter;
use crate::logging;

/// Chunks of complete events that are buffered for a slow caller.
const MAX_BUFFERED_CHUNKS: usize = 16;
/// Time without an event after which a stream counts as stalled, in multiples of the route's `gap_ms`.
const STALL_TIMEOUT_GAPS: u32 = 3;
/// Time without an event after which a stream counts as stalled when the route states no `gap_ms`;
/// before the first event, at least this.
const STALL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Bytes of a run that are passed on after the deadline.
const MAX_LATE_BYTES: usize = 1 << 20;
/// Longest wait for room to resume a stream. Callers leave after two seconds without an event; the
/// pause before the wait and the time to the first event after it count towards these two seconds.
const RESUME_MAX_WAIT: Duration = Duration::from_millis(600);
/// Time limit for the head of a resumed stream.
const RESUME_HEAD_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Starts a task that relays a stream, and returns the answer for the caller.
pub(super) fn start_relay(
    request: Arc<Request>,
    service: Service,
    runs: u32,
    response: Response<Incoming>,
    connection: Connection,
    send: Send,
) -> Response<Body> {
    let framing = Framing::of(&response);
    let (head, body) = response.into_parts();
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let mut answer = Response::from_parts(head, Body::Stream(receiver));
    strip_hop_by_hop(answer.headers_mut());
    // The length that the first run announced may not hold for a resumed stream.
    answer.headers_mut().remove(http::header::CONTENT_LENGTH);
    let relay = Relay {
        request,
        service,
        sender,
        runs,
        tried: vec![send.target.id.clone()],
        last_event_id: None,
        events: 0,
        is_streaming: false,
        framing,
        partial_bytes: 0,
        first_ms: 0,
        evidence: evidence::Run::default(),
    };
    tokio::spawn(relay.run(body, connection, send));
    answer
}

/// How one run of a stream, from one target, ended.
enum End {
    Complete,
    CallerLeft,
    Deadline,
    Broken(Outcome),
}

/// Task that relays one stream, over several runs if it is resumed.
struct Relay {
    request: Arc<Request>,
    service: Service,
    sender: mpsc::Sender<Result<Bytes, Abort>>,
    /// Sends that a target may have executed.
    runs: u32,
    /// Identifiers of the targets of the first run and of each send since.
    tried: Vec<String>,
    /// Identifier of the last event that was passed on.
    last_event_id: Option<u64>,
    /// Number of events that were passed on.
    events: u64,
    /// Whether the current run has delivered an event.
    is_streaming: bool,
    /// Framing of the current run's answer.
    framing: Framing,
    /// Bytes after the last complete event with which the current run has ended.
    partial_bytes: usize,
    /// Time from the request to its first event, in milliseconds.
    first_ms: u64,
    /// What the current run shows of the prompt parts.
    evidence: evidence::Run,
}

impl Relay {
    /// Relays runs until the stream ends or cannot be resumed.
    async fn run(mut self, body: Incoming, connection: Connection, send: Send) {
        let mut current = (body, connection, send);
        loop {
            let (body, connection, send) = current;
            let context = send.context.clone();
            let target = send.target.id.clone();
            self.is_streaming = false;
            self.partial_bytes = 0;
            self.evidence = evidence::Run::default();
            let end = self.relay_events(body, &send).await;
            if self.is_streaming {
                context.balancer().end_stream(&target);
            }
            match end {
                End::Complete => {
                    self.evidence.record_end(&context, &self.request);
                    context.upstreams.return_connection(connection);
                    send.end(Outcome::Answered);
                    self.log_run_end(&target, "complete");
                    return;
                }
                End::CallerLeft => {
                    self.log_run_end(&target, "caller left");
                    return;
                }
                End::Deadline => {
                    self.log_run_end(&target, "deadline");
                    self.abort_answer().await;
                    return;
                }
                End::Broken(outcome) => {
                    // Closing the connection makes the upstream stop its work on the request.
                    drop(connection);
                    if outcome == Outcome::Failed {
                        self.evidence.record_lost_connection(&send, &self.request);
                    }
                    send.end(outcome);
                    self.log_run_end(&target, "broken");
                    match self.resume(&context).await {
                        Some(next) => current = next,
                        None => {
                            self.abort_answer().await;
                            return;
                        }
                    }
                }
            }
        }
    }

    /// Passes on the events of one run until it ends.
    async fn relay_events(&mut self, mut body: Incoming, send: &Send) -> End {
        let mut splitter = Splitter::default();
        let mut last_event_at = clock::now();
        let mut late_bytes = 0;
        loop {
            let now = clock::now();
            let until_stall = (last_event_at + self.stall_timeout()).saturating_sub(now);
            let time_left = self.request.deadline.saturating_sub(now);
            let max_pause = until_stall.min(time_left);
            let frame = tokio::select! {
                frame = timeout(max_pause, body.frame()) => frame,
                () = self.sender.closed() => return End::CallerLeft,
            };
            let bytes = match frame {
                Err(_) if max_pause == time_left => return End::Deadline,
                Err(_) => return End::Broken(Outcome::Stalled),
                Ok(None) => return self.end_run(splitter).await,
                Ok(Some(Err(_))) => return End::Broken(Outcome::Failed),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            // Bytes that are ready are passed on late, too, but not without end.
            if time_left.is_zero() {
                late_bytes += bytes.len();
            }
            if late_bytes > MAX_LATE_BYTES {
                return End::Deadline;
            }
            let events = splitter.push(&bytes);
            if events.is_empty() {
                if splitter.is_oversized() {
                    self.partial_bytes = splitter.remainder().len();
                    return End::Broken(Outcome::Failed);
                }
                continue;
            }
            let is_first = !self.is_streaming;
            self.is_streaming = true;
            send.context
                .balancer()
                .record_event(clock::now(), &send.target.id, is_first);
            if self.events == 0 {
                let labels = [self.service.name.as_str()];
                let took_s = (clock::now() - self.request.started).as_secs_f64();
                let first_answer = send.context.metrics.first_answer.with_label_values(&labels);
                first_answer.observe(took_s);
                self.first_ms = elapsed_ms(&self.request);
            }
            send.context.metrics.events.inc_by(events.len() as u64);
            self.evidence
                .record_events(&send.context, &self.request, events.len());
            let mut chunk = Vec::new();
            for event in events {
                // A resumed run may repeat events that the caller already has.
                let is_duplicate = event
                    .id
                    .is_some_and(|id| self.last_event_id.is_some_and(|last| id <= last));
                if is_duplicate {
                    continue;
                }
                self.last_event_id = event.id.or(self.last_event_id);
                self.events += 1;
                chunk.extend_from_slice(&event.bytes);
            }
            if !chunk.is_empty() && self.sender.send(Ok(chunk.into())).await.is_err() {
                return End::CallerLeft;
            }
            // Taken after the caller has read on, so that a slow caller does not count as a stall.
            last_event_at = clock::now();
        }
    }

    /// Ends a run whose body has ended without an error.
    ///
    /// The end of a connection also ends a body without framing, so only the events show whether it is whole.
    async fn end_run(&mut self, splitter: Splitter) -> End {
        let remainder = splitter.remainder();
        self.partial_bytes = remainder.len();
        let is_empty = self.events == 0 && self.framing == Framing::Connection;
        if is_empty || splitter.is_inside_event() {
            return End::Broken(Outcome::Failed);
        }
        if !remainder.is_empty()
            && self
                .sender
                .send(Ok(Bytes::copy_from_slice(remainder)))
                .await
                .is_err()
        {
            return End::CallerLeft;
        }
        End::Complete
    }

    /// Time without an event after which the current run counts as stalled.
    fn stall_timeout(&self) -> Duration {
        let gap = self.request.route.gap_ms.map(Duration::from_millis);
        let gap_limit = gap.map_or(STALL_TIMEOUT, |gap| gap * STALL_TIMEOUT_GAPS);
        if self.events == 0 {
            return STALL_TIMEOUT.max(gap_limit);
        }
        gap_limit
    }

    /// Starts another run after the last event, if the route, the retry budget and the deadline allow.
    async fn resume(
        &mut self,
        context: &Arc<super::context::Context>,
    ) -> Option<(Incoming, Connection, Send)> {
        // Without an identifier a further run would repeat the events that the caller has.
        let can_continue = self.events == 0 || self.last_event_id.is_some();
        let is_resumable = self.request.route.repeat == Repeat::Resumable && can_continue;
        while is_resumable && self.runs < self.request.route.max_sends {
            if context.quarantined_part(&self.request.parts).is_some() {
                return None;
            }
            let now = clock::now();
            let time_left = self.request.deadline.saturating_sub(now);
            let gateways = context.balancer().gateways();
            let name = &self.service.name;
            let is_within_budget = context.budget().try_retry(now, &context.settings, name, gateways);
            if time_left.is_zero() || !is_within_budget {
                return None;
            }
            let (target, load) = self
                .wait_for_target(context, now + RESUME_MAX_WAIT.min(time_left))
                .await?;
            let time_left = self.request.deadline.saturating_sub(clock::now());
            self.tried.push(target.id.clone());
            logging::REQUEST_SENT.log_fields(&[
                ("request", self.request.id.as_str().into()),
                ("target", target.id.as_str().into()),
                ("load", load.into()),
                ("after_event", self.last_event_id.unwrap_or(0).into()),
            ]);
            let outgoing = upstream_request(&self.request, &target, time_left, self.last_event_id)?;
            let address = target.address.parse().ok()?;
            let send = Send::start(context, target, &self.service);
            let sending = context.upstreams.send(address, outgoing, true);
            let sent = timeout(RESUME_HEAD_TIMEOUT.min(time_left), sending).await;
            let (response, connection) = match sent {
                Ok(Ok(answer)) => answer,
                Ok(Err(Failure::Unsent)) => {
                    send.end(Outcome::Failed);
                    continue;
                }
                Ok(Err(Failure::Unknown)) | Err(_) => {
                    if sent.is_ok() {
                        evidence::record_lost_connection(&send, &self.request);
                    }
                    self.runs += 1;
                    send.end(Outcome::Failed);
                    continue;
                }
            };
            send.record_notice(&response);
            match classify(&self.request, &response) {
                Classification::NotRun(outcome) => send.end(outcome),
                Classification::Own if response.status().is_success() => {
                    self.runs += 1;
                    self.framing = Framing::of(&response);
                    return Some((response.into_body(), connection, send));
                }
                Classification::Own | Classification::Foreign => {
                    self.runs += 1;
                    send.end(Outcome::Failed);
                }
            }
        }
        None
    }

    /// Waits for a target with room, at most until `wait_end`.
    ///
    /// A group that stops breaks all its streams at the same time, and the other groups rarely have room
    /// for all of them immediately.
    async fn wait_for_target(
        &self,
        context: &Arc<super::context::Context>,
        wait_end: Duration,
    ) -> Option<(Target, u32)> {
        loop {
            // Created before the check, so that room signalled during it is not missed.
            let room_signal = context.room.notified();
            let now = clock::now();
            let criteria = Criteria {
                service: &self.service,
                model: self.request.model.as_deref(),
                tried: &self.tried,
                reserve: 0,
                draw: rand::random(),
            };
            let choice = context.balancer().choose(now, &criteria);
            match choice {
                Choice::Send { target, load } => return Some((target, load)),
                Choice::Full(_) if now < wait_end => {
                    // Whether room was signalled or the time is up, the targets are checked again.
                    let _ = timeout(wait_end - now, room_signal).await;
                }
                Choice::Full(_) | Choice::NoTarget => return None,
            }
        }
    }

    /// Ends the answer with an error, so that the caller does not take it for complete.
    async fn abort_answer(&self) {
        // Sending fails when the caller has left.
        let _ = self.sender.send(Err(Abort)).await;
    }

    /// Logs the end of one run; `end` says how it ended.
    fn log_run_end(&self, target: &str, end: &str) {
        let event = if end == "broken" {
            logging::SEND_FAILED
        } else {
            logging::REQUEST_ENDED
        };
        let parts = self.request.parts.join(",");
        let mut fields = vec![
            ("request", self.request.id.as_str().into()),
            ("route", self.request.route.name.as_str().into()),
            ("target", target.into()),
            ("end", end.into()),
            ("events", self.events.into()),
            ("runs", self.runs.into()),
            ("framing", self.framing.name().into()),
            ("partial_bytes", (self.partial_bytes as u64).into()),
            ("first_ms", self.first_ms.into()),
            ("after_ms", elapsed_ms(&self.request).into()),
        ];
        if end == "broken" && !parts.is_empty() {
            fields.push(("parts", parts.as_str().into()));
        }
        event.log_fields(&fields);
    }
}
