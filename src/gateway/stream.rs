//! Relay of event streams: passes on complete events in order and resumes a stream that breaks.
//!
//! A run is the execution of the request by one target; a stream that is resumed has several. A run that
//! is silent may go on, so it is kept until another one has answered.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Response;
use http_body_util::BodyExt;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;

use super::dispatch::elapsed_ms;
use super::request::Request;
use super::request::strip_hop_by_hop;
use super::search::Position;
use super::search::Search;
use super::send::Send;
use super::stream_run::End;
use super::stream_run::Progress;
use super::stream_run::Run;
use crate::adapters::clock;
use crate::adapters::http1::Body;
use crate::adapters::http1::Connection;
use crate::adapters::http1::Incoming;
use crate::adapters::http1::Part;
use crate::adapters::memory::Shortage;
use crate::domain::catalog::Service;
use crate::domain::gateway::Event;
use crate::domain::gateway::Outcome;
use crate::domain::memory::Kind;
use crate::logging;

/// Chunks of complete events that are buffered for a slow caller.
const MAX_BUFFERED_CHUNKS: usize = 16;
/// Time without an event after which a run counts as silent, in multiples of the route's `gap_ms`.
const SILENCE_GAPS: u32 = 3;
/// Time without an event after which a run counts as silent when the route states no `gap_ms`;
/// before the first event, at least this.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_000);

/// Time without an event after which a run on a suspect link counts as silent.
const SUSPECT_SILENCE_LIMIT: Duration = Duration::from_millis(200);

/// Starts a task that relays a stream, and returns the answer for the caller.
pub(super) fn start_relay(
    request: Arc<Request>,
    service: Service,
    runs: u32,
    response: Response<Incoming>,
    connection: Connection,
    send: Send,
) -> Response<Body> {
    let search = Search::new(&request, service, runs, &response, &send);
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let mut answer = Response::new(Body::Stream(receiver));
    *answer.status_mut() = response.status();
    answer.headers_mut().clone_from(response.headers());
    strip_hop_by_hop(answer.headers_mut());
    // The length that the first run announced may not hold for a resumed stream.
    answer.headers_mut().remove(http::header::CONTENT_LENGTH);
    let relay = Relay {
        search,
        request,
        sender,
        position: Position::default(),
        first_ms: 0,
    };
    let run = Run::new(&relay.request, response, connection, send, Position::default());
    tokio::spawn(relay.run(run));
    answer
}

/// Task that relays one stream, over several runs if it is resumed.
struct Relay {
    request: Arc<Request>,
    sender: mpsc::Sender<Part>,
    search: Search,
    position: Position,
    /// Time from the request to its first event, in milliseconds.
    first_ms: u64,
}

impl Relay {
    /// Relays runs until the stream ends or cannot be resumed.
    async fn run(mut self, mut run: Run) {
        loop {
            let mut progress = self.receive(&mut run).await;
            let is_silent = matches!(progress, Progress::Silent);
            if is_silent {
                progress = self.outlast_silence(&mut run).await;
            }
            // A silence until the end is evidence against the target, whoever ends it.
            let early_outcome = match progress {
                Progress::Ended(_) if is_silent => Outcome::Stalled,
                _ => Outcome::Abandoned,
            };
            let end = match progress {
                Progress::Silent => continue,
                Progress::Events(events) => match self.pass_on(&events).await {
                    Ok(()) => continue,
                    Err(end) => end,
                },
                Progress::Ended(End::Complete) => self.pass_on_remainder(&run).await,
                Progress::Ended(end) => end,
            };
            self.log_run_end(&run, end);
            match end {
                End::Complete => {
                    run.complete();
                    // Sending fails when the caller has left.
                    let _ = self.sender.send(Part::End).await;
                    return;
                }
                End::CallerLeft => return run.abandon(early_outcome),
                End::CallerSlow => {
                    run.abandon(early_outcome);
                    return self.log_abort("the caller reads too slowly");
                }
                End::Deadline => {
                    run.abandon(early_outcome);
                    return self.log_abort("deadline");
                }
                End::Broken(_) => run.abandon(Outcome::Failed),
            }
            let next = tokio::select! {
                next = self.search.next_run(self.position) => next,
                () = self.sender.closed() => return,
            };
            match next {
                Ok(next) => run = next,
                Err(reason) => return self.log_abort(reason),
            }
        }
    }

    /// Waits until a run brings events, ends, or has been silent for too long.
    async fn receive(&self, run: &mut Run) -> Progress {
        let context = self.search.context().clone();
        let started = clock::now();
        loop {
            // Created before the check, so that a change during it is not missed.
            let links_changed = context.links_changed.notified();
            let silence_limit = match run.is_link_suspect() {
                true => self.silence_limit().min(SUSPECT_SILENCE_LIMIT),
                false => self.silence_limit(),
            };
            let silent_at = started + silence_limit;
            let now = clock::now();
            let time_left = self.request.deadline.saturating_sub(now);
            let max_pause = silent_at.saturating_sub(now).min(time_left);
            let frame = tokio::select! {
                frame = timeout(max_pause, run.body.frame()) => frame,
                () = links_changed => continue,
                () = self.sender.closed() => return Progress::Ended(End::CallerLeft),
            };
            match frame {
                Err(_) if max_pause == time_left => return Progress::Ended(End::Deadline),
                Err(_) => return Progress::Silent,
                Ok(frame) => {
                    if let Some(progress) = run.receive(frame) {
                        return progress;
                    }
                }
            }
        }
    }

    /// Waits for a silent run to go on while another one is sought, and takes what brings an event first.
    ///
    /// Returns `Silent` after `run` was replaced by another one that has not brought an event yet.
    async fn outlast_silence(&mut self, run: &mut Run) -> Progress {
        let deadline = self.request.deadline;
        'search: loop {
            let mut next = match self.seek_beside(run).await {
                Ok((next, None)) => next,
                Ok((next, Some(cause))) => {
                    self.replace(run, next, cause, Outcome::Failed);
                    return Progress::Silent;
                }
                Err(progress) => return progress,
            };
            // A head alone does not replace a run that may go on.
            loop {
                let time_left = deadline.saturating_sub(clock::now());
                let (progress, is_of_next) = tokio::select! {
                    frame = run.body.frame() => (run.receive(frame), false),
                    frame = next.body.frame() => (next.receive(frame), true),
                    () = sleep(time_left) => return Progress::Ended(End::Deadline),
                    () = self.sender.closed() => return Progress::Ended(End::CallerLeft),
                };
                match (progress, is_of_next) {
                    (None, _) => {}
                    (Some(Progress::Ended(end @ End::Broken(_))), true) => {
                        self.log_run_end(&next, end);
                        next.abandon(Outcome::Failed);
                        continue 'search;
                    }
                    (Some(Progress::Ended(End::Broken(cause))), false) => {
                        self.replace(run, next, cause, Outcome::Failed);
                        return Progress::Silent;
                    }
                    (Some(progress), true) => {
                        self.replace(run, next, "silent", Outcome::Stalled);
                        return progress;
                    }
                    (Some(progress), false) => {
                        next.abandon(Outcome::Abandoned);
                        return progress;
                    }
                }
            }
        }
    }

    /// Seeks another run beside a silent one; returns the progress of the silent one if that comes first.
    ///
    /// With the other run comes the reason why the silent one has broken, if it has.
    async fn seek_beside(&mut self, run: &mut Run) -> Result<(Run, Option<&'static str>), Progress> {
        let deadline = self.request.deadline;
        let has_ended = AtomicBool::new(false);
        let mut next_run = pin!(self.search.next_run_beside(self.position, &has_ended));
        loop {
            let time_left = deadline.saturating_sub(clock::now());
            let progress = tokio::select! {
                frame = timeout(time_left, run.body.frame()) => match frame {
                    Err(_) => return Err(Progress::Ended(End::Deadline)),
                    Ok(frame) => run.receive(frame),
                },
                () = self.sender.closed() => return Err(Progress::Ended(End::CallerLeft)),
                next = &mut next_run => match next {
                    Ok(next) => return Ok((next, None)),
                    // Only after the run has ended, which this loop does not outlast.
                    Err(reason) => return Err(Progress::Ended(End::Broken(reason))),
                },
            };
            match progress {
                None => {}
                // A send that is in progress may still lead to another run.
                Some(Progress::Ended(End::Broken(cause))) => {
                    has_ended.store(true, Ordering::Relaxed);
                    tokio::select! {
                        next = &mut next_run => {
                            let ended = Progress::Ended(End::Broken(cause));
                            return next.map(|next| (next, Some(cause))).map_err(|_| ended);
                        }
                        () = self.sender.closed() => return Err(Progress::Ended(End::CallerLeft)),
                    }
                }
                Some(progress) => return Err(progress),
            }
        }
    }

    /// Replaces a run by the next one, and ends it with `cause` and `outcome`.
    fn replace(&self, run: &mut Run, next: Run, cause: &'static str, outcome: Outcome) {
        self.log_run_end(run, End::Broken(cause));
        std::mem::replace(run, next).abandon(outcome);
    }

    /// Passes events on to the caller.
    ///
    /// # Errors
    ///
    /// End of the stream if the caller has left or does not read.
    async fn pass_on(&mut self, events: &[Event]) -> Result<(), End> {
        if self.position.events == 0 {
            self.search.record_first_event();
            self.first_ms = elapsed_ms(&self.request);
        }
        let mut chunk = Vec::new();
        for event in events {
            let position = &mut self.position;
            if position.includes(event) {
                continue;
            }
            position.last_event_id = event.id.or(position.last_event_id);
            position.has_unidentified |= event.lacks_id();
            position.events += 1;
            chunk.extend_from_slice(&event.bytes);
        }
        match chunk.is_empty() {
            true => Ok(()),
            false => self.send_chunk(chunk).await,
        }
    }

    /// Sends bytes to the caller, for which an upstream must not wait for seconds: it would break its stream off.
    async fn send_chunk(&self, chunk: Vec<u8>) -> Result<(), End> {
        let context = self.search.context();
        let sending = async {
            let memory = &context.budgets.callers;
            let chunk = memory.hold_chunk(Kind::Stream, chunk).await;
            let chunk = chunk.map_err(|Shortage| End::CallerSlow)?;
            let sent = self.sender.send(Part::Chunk(chunk)).await;
            sent.map_err(|_| End::CallerLeft)
        };
        let wait = context.intake.stream_wait();
        timeout(wait, sending).await.unwrap_or(Err(End::CallerSlow))
    }

    /// Passes on what follows the last event of a complete run, such as blank lines.
    async fn pass_on_remainder(&self, run: &Run) -> End {
        let remainder = run.remainder();
        if remainder.is_empty() {
            return End::Complete;
        }
        match self.send_chunk(remainder.to_vec()).await {
            Ok(()) => End::Complete,
            Err(end) => end,
        }
    }

    /// Time without an event after which the current run counts as silent.
    fn silence_limit(&self) -> Duration {
        let gap = self.request.route.gap_ms.map(Duration::from_millis);
        let gap_limit = gap.map_or(SILENCE_LIMIT, |gap| gap * SILENCE_GAPS);
        if self.position.events == 0 {
            return SILENCE_LIMIT.max(gap_limit);
        }
        gap_limit
    }

    /// Logs that the answer ends here. Without [`Part::End`] the caller does not take it for complete.
    fn log_abort(&self, reason: &str) {
        logging::STREAM_ABORTED.log_fields(&[
            ("request", self.request.id.as_str().into()),
            ("route", self.request.route.name.as_str().into()),
            ("reason", reason.into()),
            ("events", self.position.events.into()),
            ("runs", self.search.runs().into()),
            ("version", self.request.catalog.version().into()),
            ("after_ms", elapsed_ms(&self.request).into()),
        ]);
    }

    /// Logs how one run ended.
    fn log_run_end(&self, run: &Run, end: End) {
        let (event, end, cause) = match end {
            End::Complete => (logging::REQUEST_ENDED, "complete", ""),
            End::CallerLeft => (logging::REQUEST_ENDED, "caller left", ""),
            End::CallerSlow => (logging::REQUEST_ENDED, "caller too slow", ""),
            End::Deadline => (logging::REQUEST_ENDED, "deadline", ""),
            End::Broken(cause) => (logging::SEND_FAILED, "broken", cause),
        };
        let parts = self.request.marks.parts_text();
        let mut fields = vec![
            ("request", self.request.id.as_str().into()),
            ("route", self.request.route.name.as_str().into()),
            ("target", run.target().into()),
            ("end", end.into()),
            ("cause", cause.into()),
            ("events", self.position.events.into()),
            ("runs", self.search.runs().into()),
            ("framing", run.framing.name().into()),
            ("partial_bytes", (run.remainder().len() as u64).into()),
            ("first_ms", self.first_ms.into()),
            ("after_ms", elapsed_ms(&self.request).into()),
        ];
        if end == "broken" {
            fields.push(("fingerprint", self.request.marks.fingerprint().into()));
            if !parts.is_empty() {
                fields.push(("parts", parts.as_str().into()));
            }
        }
        event.log_fields(&fields);
    }
}
