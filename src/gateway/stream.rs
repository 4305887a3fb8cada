//! Event streams: whole events in order, and a resume after a break.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::attempt::elapsed;
use super::request::Request;
use super::request::strip_connection;
use super::send::Send;
use super::send::Verdict;
use super::send::judge;
use super::send::outgoing;
use crate::adapters::clock;
use crate::adapters::http1::Body;
use crate::adapters::http1::Cut;
use crate::adapters::http1::Failure;
use crate::adapters::http1::Link;
use crate::domain::catalog::Repeat;
use crate::domain::catalog::Service;
use crate::domain::fleet::Target;
use crate::domain::gateway::Choice;
use crate::domain::gateway::Need;
use crate::domain::gateway::Outcome;
use crate::domain::gateway::Splitter;
use crate::logging;

/// Events that may wait for a slow caller.
const WAITING: usize = 16;
/// Allowed pauses after which a stream counts as stopped.
const STOPPED_GAPS: u32 = 3;
/// Pause after which a stream counts as stopped when the route allows any.
const STOPPED: Duration = Duration::from_millis(2_000);
/// Longest wait for room to resume a stream: with the pause before and the first event after it,
/// callers still wait less than the two seconds after which they leave.
const RESUME_PATIENCE: Duration = Duration::from_millis(600);
/// Longest wait for the head of a resumed stream.
const RESUME_WAIT: Duration = Duration::from_millis(1_200);

/// Passes a stream on as it comes.
pub(super) fn pass(
    request: Arc<Request>,
    service: Service,
    runs: u32,
    response: Response<Incoming>,
    link: Link,
    send: Send,
) -> Response<Body> {
    let (head, body) = response.into_parts();
    let (sender, receiver) = mpsc::channel(WAITING);
    let mut answer = Response::from_parts(head, Body::Parts(receiver));
    strip_connection(answer.headers_mut());
    // A resumed stream may have another length than its first run announced.
    answer.headers_mut().remove(http::header::CONTENT_LENGTH);
    let pump = Pump {
        request,
        service,
        sender,
        runs,
        tried: vec![send.target.id.clone()],
        last: None,
        events: 0,
        is_streaming: false,
        first_ms: 0,
    };
    tokio::spawn(pump.run(body, link, send));
    answer
}

/// How one run of a stream ended.
enum End {
    Complete,
    CallerLeft,
    Deadline,
    Broken(Outcome),
}

struct Pump {
    request: Arc<Request>,
    service: Service,
    sender: mpsc::Sender<Result<Bytes, Cut>>,
    runs: u32,
    tried: Vec<String>,
    /// Identifier of the last event that was passed on.
    last: Option<u64>,
    events: u64,
    /// Whether the current run has sent an event.
    is_streaming: bool,
    /// Time from the request to its first event, in milliseconds.
    first_ms: u64,
}

impl Pump {
    async fn run(mut self, body: Incoming, link: Link, send: Send) {
        let mut current = (body, link, send);
        loop {
            let (body, link, send) = current;
            let context = send.context.clone();
            let target = send.target.id.clone();
            self.is_streaming = false;
            let end = self.copy(body, &send).await;
            if self.is_streaming {
                context.balancer().end_stream(&target);
            }
            match end {
                End::Complete => {
                    context.upstreams.keep(link);
                    send.end(Outcome::Answered);
                    self.log(&target, "complete");
                    return;
                }
                End::CallerLeft => {
                    self.log(&target, "caller left");
                    return;
                }
                End::Deadline => {
                    self.log(&target, "deadline");
                    self.cut().await;
                    return;
                }
                End::Broken(outcome) => {
                    // Dropping the connection stops the work at the upstream.
                    drop(link);
                    send.end(outcome);
                    self.log(&target, "broken");
                    match self.resume(&context).await {
                        Some(next) => current = next,
                        None => {
                            self.cut().await;
                            return;
                        }
                    }
                }
            }
        }
    }

    /// Passes events on until the run ends.
    async fn copy(&mut self, mut body: Incoming, send: &Send) -> End {
        let mut splitter = Splitter::default();
        loop {
            let left = self.request.deadline.saturating_sub(clock::now());
            let pause = self.longest_pause().min(left);
            let frame = tokio::select! {
                frame = timeout(pause, body.frame()) => frame,
                () = self.sender.closed() => return End::CallerLeft,
            };
            let bytes = match frame {
                Err(_) if pause == left => return End::Deadline,
                Err(_) => return End::Broken(Outcome::Stalled),
                Ok(None) => return self.finish(splitter).await,
                Ok(Some(Err(_))) => return End::Broken(Outcome::Failed),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            let events = splitter.push(&bytes);
            if events.is_empty() {
                continue;
            }
            let is_first = !self.is_streaming;
            self.is_streaming = true;
            send.context
                .balancer()
                .progress(clock::now(), &send.target.id, is_first);
            if self.events == 0 {
                let labels = [self.service.name.as_str()];
                let took = (clock::now() - self.request.started).as_secs_f64();
                let first = send.context.metrics.first.with_label_values(&labels);
                first.observe(took);
                self.first_ms = elapsed(&self.request);
            }
            send.context.metrics.events.inc_by(events.len() as u64);
            let mut part = Vec::new();
            for event in events {
                // A new run repeats nothing that the caller has.
                let is_old = event
                    .id
                    .is_some_and(|id| self.last.is_some_and(|last| id <= last));
                if is_old {
                    continue;
                }
                self.last = event.id.or(self.last);
                self.events += 1;
                part.extend_from_slice(&event.bytes);
            }
            if !part.is_empty() && self.sender.send(Ok(part.into())).await.is_err() {
                return End::CallerLeft;
            }
        }
    }

    /// Passes on what follows the last event of a run that ended by itself.
    async fn finish(&mut self, splitter: Splitter) -> End {
        let rest = splitter.rest();
        if !rest.is_empty() && self.sender.send(Ok(Bytes::copy_from_slice(rest))).await.is_err() {
            return End::CallerLeft;
        }
        End::Complete
    }

    /// Pause after which the target counts as stopped.
    fn longest_pause(&self) -> Duration {
        let gap = self.request.route.gap_ms.map(Duration::from_millis);
        let between = gap.map_or(STOPPED, |gap| gap * STOPPED_GAPS);
        if self.events == 0 {
            return STOPPED.max(between);
        }
        between
    }

    /// Starts another run after the last event, if the route, the budget and time allow.
    async fn resume(&mut self, context: &Arc<super::context::Context>) -> Option<(Incoming, Link, Send)> {
        let is_allowed = self.request.route.repeat == Repeat::Resumable;
        while is_allowed && self.runs < self.request.route.max_sends {
            let now = clock::now();
            let left = self.request.deadline.saturating_sub(now);
            let gateways = context.balancer().gateways();
            let name = &self.service.name;
            let is_paid = context.budget().repeat(now, &context.settings, name, gateways);
            if left.is_zero() || !is_paid {
                return None;
            }
            let (target, load) = self.choose(context, now + RESUME_PATIENCE.min(left)).await?;
            let left = self.request.deadline.saturating_sub(clock::now());
            self.tried.push(target.id.clone());
            logging::REQUEST_SENT.log_fields(&[
                ("request", self.request.id.as_str().into()),
                ("target", target.id.as_str().into()),
                ("load", load.into()),
                ("after_event", self.last.unwrap_or(0).into()),
            ]);
            let outgoing = outgoing(&self.request, &target, left, self.last)?;
            let address = target.address.parse().ok()?;
            let send = Send::start(context, target, &self.service);
            let sending = context.upstreams.send(address, outgoing, true);
            let sent = timeout(RESUME_WAIT.min(left), sending).await;
            let (response, link) = match sent {
                Ok(Ok(answer)) => answer,
                Ok(Err(Failure::Unsent)) => {
                    send.end(Outcome::Failed);
                    continue;
                }
                Ok(Err(Failure::Unknown)) | Err(_) => {
                    self.runs += 1;
                    send.end(Outcome::Failed);
                    continue;
                }
            };
            match judge(&self.request, &response) {
                Verdict::NotRun(outcome) => send.end(outcome),
                Verdict::Own if response.status().is_success() => {
                    self.runs += 1;
                    return Some((response.into_body(), link, send));
                }
                Verdict::Own | Verdict::Foreign => {
                    self.runs += 1;
                    send.end(Outcome::Failed);
                }
            }
        }
        None
    }

    /// Waits for room at another target until `until`.
    ///
    /// A group that stops breaks all its streams at once, so the others rarely have room for
    /// all of them in the same moment.
    async fn choose(&self, context: &Arc<super::context::Context>, until: Duration) -> Option<(Target, u32)> {
        loop {
            let room = context.room.notified();
            let now = clock::now();
            let need = Need {
                service: &self.service,
                model: self.request.model.as_deref(),
                tried: &self.tried,
                reserve: 0,
                draw: rand::random(),
            };
            let choice = context.balancer().choose(now, &need);
            match choice {
                Choice::Send { target, load } => return Some((target, load)),
                Choice::Full(_) if now < until => {
                    // The end of the wait is the next look.
                    let _ = timeout(until - now, room).await;
                }
                Choice::Full(_) | Choice::Nothing => return None,
            }
        }
    }

    /// Ends the answer so that it does not look complete.
    async fn cut(&self) {
        // The caller may have left.
        let _ = self.sender.send(Err(Cut)).await;
    }

    fn log(&self, target: &str, end: &str) {
        let event = if end == "broken" {
            logging::SEND_FAILED
        } else {
            logging::REQUEST_ENDED
        };
        event.log_fields(&[
            ("request", self.request.id.as_str().into()),
            ("route", self.request.route.name.as_str().into()),
            ("target", target.into()),
            ("end", end.into()),
            ("events", self.events.into()),
            ("runs", self.runs.into()),
            ("first_ms", self.first_ms.into()),
            ("after_ms", elapsed(&self.request).into()),
        ]);
    }
}
