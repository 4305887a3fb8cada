//! Search for another target that continues a stream after its last event.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_ENCODING;
use http::header::CONTENT_TYPE;
use tokio::time::timeout;

use super::context::Context;
use super::dial;
use super::dispatch::MAX_UNEXECUTED_SENDS;
use super::evidence;
use super::permit;
use super::request::Request;
use super::send::Classification;
use super::send::Send;
use super::send::classify;
use super::send::upstream_request;
use super::sent;
use super::stream_run::Run;
use crate::adapters::clock;
use crate::adapters::http1::Failure;
use crate::domain::catalog::Repeat;
use crate::domain::catalog::Service;
use crate::domain::fleet::Target;
use crate::domain::gateway::Choice;
use crate::domain::gateway::Criteria;
use crate::domain::gateway::Event;
use crate::domain::gateway::Outcome;
use crate::logging;

/// Longest wait for room to resume a stream. Callers leave after two seconds without an event; the
/// pause before the wait and the time to the first event after it count towards these two seconds.
const MAX_WAIT: Duration = Duration::from_millis(600);
/// Time limit for the head of a resumed run while a further send is possible.
const HEAD_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Delay after a search without a result while the current run may still go on.
const SEARCH_INTERVAL: Duration = Duration::from_millis(200);

/// How far a stream has come.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Position {
    /// Number of events that were passed on.
    pub(super) events: u64,
    /// Identifier of the last one.
    pub(super) last_event_id: Option<u64>,
    /// Whether some of them had no identifier.
    pub(super) has_unidentified: bool,
}

/// What all runs of a stream have in common.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Kind {
    status: StatusCode,
    media_type: Option<String>,
    encoding: Option<HeaderValue>,
}

impl Kind {
    fn of<B>(response: &Response<B>) -> Self {
        let headers = response.headers();
        let content_type = headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
        let media_type = content_type.and_then(|v| v.split(';').next());
        Kind {
            status: response.status(),
            media_type: media_type.map(|v| v.trim().to_ascii_lowercase()),
            encoding: headers.get(CONTENT_ENCODING).cloned(),
        }
    }
}

impl Position {
    /// Whether `event` cannot belong to the rest of this stream, whose events all have identifiers.
    pub(super) fn excludes(&self, event: &Event) -> bool {
        self.events > 0 && !self.has_unidentified && event.lacks_id()
    }

    /// Whether `event` was passed on already; a run that continues a stream may repeat events.
    pub(super) fn includes(&self, event: &Event) -> bool {
        event
            .id
            .is_some_and(|id| self.last_event_id.is_some_and(|last| id <= last))
    }
}

/// Sends of one stream, and the search for a further one.
pub(super) struct Search {
    context: Arc<Context>,
    request: Arc<Request>,
    service: Service,
    kind: Kind,
    /// Identifiers of the targets of the first run and of each send since.
    tried: Vec<String>,
    /// Sends that a target may have executed.
    runs: u32,
    /// Sends that no target executed.
    unexecuted: usize,
}

impl Search {
    /// Search after `runs` sends, of which `send` is the last one and has led to the stream `response`.
    pub(super) fn new<B>(
        request: &Arc<Request>,
        service: Service,
        runs: u32,
        response: &Response<B>,
        send: &Send,
    ) -> Self {
        Search {
            context: send.context.clone(),
            request: request.clone(),
            service,
            kind: Kind::of(response),
            tried: vec![send.target.id.clone()],
            runs,
            unexecuted: 0,
        }
    }

    pub(super) fn context(&self) -> &Arc<Context> {
        &self.context
    }

    /// Number of sends that a target may have executed.
    pub(super) fn runs(&self) -> u32 {
        self.runs
    }

    /// Records the time from the request to its first event.
    pub(super) fn record_first_event(&self) {
        let labels = [self.service.name.as_str()];
        let took_s = (clock::now() - self.request.started).as_secs_f64();
        let first_answer = self.context.metrics.first_answer.with_label_values(&labels);
        first_answer.observe(took_s);
    }

    /// Starts another run while the current one is silent; goes on without a send if none is possible.
    ///
    /// Returns the reason for no run only after `has_ended` was set, when the current run cannot go on, and
    /// no send is in progress. A send in progress when the search is dropped counts as a run.
    pub(super) async fn next_run_beside(
        &mut self,
        position: Position,
        has_ended: &AtomicBool,
    ) -> Result<Run, &'static str> {
        loop {
            let found = self.find_run(position, MAX_UNEXECUTED_SENDS).await;
            if found.is_ok() || has_ended.load(Ordering::Relaxed) {
                return found;
            }
            tokio::time::sleep(SEARCH_INTERVAL).await;
        }
    }

    /// Starts another run after the last event, if the route, the retry budget and the deadline allow;
    /// returns the reason if there is none.
    pub(super) async fn next_run(&mut self, position: Position) -> Result<Run, &'static str> {
        self.find_run(position, usize::MAX).await
    }

    async fn find_run(&mut self, position: Position, max_unexecuted: usize) -> Result<Run, &'static str> {
        // Without an identifier a further run would repeat the events that the caller has.
        let can_continue = position.events == 0 || position.last_event_id.is_some();
        if self.request.route.repeat != Repeat::Resumable || !can_continue {
            return Err("not resumable");
        }
        while self.runs < self.request.route.max_sends && self.unexecuted < max_unexecuted {
            let target = self.wait_for_target(position).await?;
            if let Some(run) = self.send(target, position).await? {
                return Ok(run);
            }
        }
        Err("no send left")
    }

    /// Sends the request to a target; returns none if that leads to no run.
    async fn send(&mut self, target: Target, position: Position) -> Result<Option<Run>, &'static str> {
        let time_left = self.request.deadline.saturating_sub(clock::now());
        let outgoing = upstream_request(&self.request, &target, time_left, position.last_event_id)
            .ok_or("request cannot be encoded")?;
        let address = target
            .address
            .parse()
            .map_err(|_| "invalid address of a target")?;
        self.tried.push(target.id.clone());
        // Counted before its outcome is known, because the search may be dropped meanwhile.
        self.runs += 1;
        let is_last = self.runs >= self.request.route.max_sends;
        let head_timeout = if is_last {
            time_left
        } else {
            HEAD_TIMEOUT.min(time_left)
        };
        let send = Send::start(&self.context, target, &self.service);
        let opening = dial::open(&send, address);
        let sending = self.context.upstreams.send_over(address, outgoing, true, opening);
        let sent = timeout(head_timeout, sending).await;
        let (response, connection) = match sent {
            Ok(Ok(answer)) => answer,
            Ok(Err(Failure::Unsent(_))) => {
                self.runs -= 1;
                self.unexecuted += 1;
                send.end(Outcome::Failed);
                return Ok(None);
            }
            Ok(Err(Failure::Unknown)) => {
                evidence::record_lost_connection(&send, &self.request);
                send.end(Outcome::Failed);
                return Ok(None);
            }
            Ok(Err(Failure::Invalid)) | Err(_) => {
                send.end(Outcome::Failed);
                return Ok(None);
            }
        };
        send.record_notice(&self.request, &response);
        match classify(&self.request, &response, &connection) {
            Classification::NotRun(outcome) => {
                self.runs -= 1;
                self.unexecuted += 1;
                send.end(outcome);
                Ok(None)
            }
            Classification::Own if Kind::of(&response) == self.kind => {
                let run = Run::new(&self.request, response, connection, send, position);
                Ok(Some(run))
            }
            Classification::Own | Classification::Foreign => {
                logging::SEND_FAILED.log_fields(&[
                    ("request", self.request.id.as_str().into()),
                    ("target", send.target.id.as_str().into()),
                    ("reason", "the answer does not continue the stream".into()),
                    ("status", u64::from(response.status().as_u16()).into()),
                ]);
                send.end(Outcome::Failed);
                Ok(None)
            }
        }
    }

    /// Waits for a target with room, and takes a retry out of the budget.
    ///
    /// A group that stops breaks all its streams at the same time, and the other groups rarely have room
    /// for all of them immediately.
    async fn wait_for_target(&self, position: Position) -> Result<Target, &'static str> {
        let wait_end = self.request.deadline.min(clock::now() + MAX_WAIT);
        let mut has_asked = false;
        loop {
            // Created before the check, so that room signalled during it is not missed.
            let room_signal = self.context.room.notified();
            let now = clock::now();
            if now >= self.request.deadline {
                return Err("deadline");
            }
            if let Some(mark) = self.context.quarantined_mark(&self.request.marks) {
                return Err(evidence::reason(&mark));
            }
            let criteria = Criteria {
                service: &self.service,
                model: self.request.model.as_deref(),
                tried: &self.tried,
                reserve: 0,
                draw: rand::random(),
                goal: Duration::from_millis(self.request.route.goal_ms),
                reuse: self.request.plan(),
            };
            let choice = self.context.balancer().choose(now, &criteria);
            match choice {
                Choice::Send { target, load, place } => {
                    let gateways = self.context.balancer().gateways();
                    let (settings, name) = (&self.context.settings, &self.service.name);
                    if !self.context.budget().try_retry(now, settings, name, gateways) {
                        return Err("retry budget used up");
                    }
                    let after = ("after_event", position.last_event_id.unwrap_or(0).into());
                    sent::record(&self.context, &self.request, (&target, load, place), [after]);
                    return Ok(target);
                }
                Choice::Full(_) if now < wait_end && !has_asked => {
                    has_asked = true;
                    permit::ask(&self.context, &criteria, &self.request, wait_end - now).await;
                }
                Choice::Full(_) if now < wait_end => {
                    // Whether room was signalled or the time is up, the targets are checked again.
                    let _ = timeout(wait_end - now, room_signal).await;
                }
                Choice::Unreached(delay) if now + delay < wait_end => tokio::time::sleep(delay).await,
                Choice::Unreached(_) => return Err("no target can be reached"),
                Choice::Full(_) | Choice::NoTarget => return Err("no target with room"),
            }
        }
    }
}
