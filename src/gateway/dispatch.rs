//! Dispatch of one request: sends and retries until an answer, a refusal or the deadline.
//!
//! A request here is one attempt of its caller (`x-attempt-id`), which may be sent several times.

use std::sync::Arc;
use std::time::Duration;

use http::Response;
use http::StatusCode;
use tokio::time::timeout;

use super::answer;
use super::attempt;
use super::attempt::Head;
use super::context::Context;
use super::delivery::Delivery;
use super::delivery::Reader;
use super::evidence;
use super::permit;
use super::request::Request;
use super::send::Send;
use super::sent;
use super::stream;
use crate::adapters::clock;
use crate::adapters::http1::Body;
use crate::domain::catalog::Service;
use crate::domain::fleet::Target;
use crate::domain::gateway::Admission;
use crate::domain::gateway::Choice;
use crate::domain::gateway::Criteria;
use crate::domain::gateway::Demand;
use crate::domain::gateway::Place;
use crate::domain::gateway::admission_limits;
use crate::domain::gateway::group_time;
use crate::domain::gateway::retry_after;
use crate::logging;

/// Number of sends that no target executed after which the request is not sent again.
pub(super) const MAX_UNEXECUTED_SENDS: usize = 3;
/// Asks for a permit by a request that waits: another request of this gateway may use the permit that was issued.
const MAX_ASKS: u32 = 3;
/// Shortest time to the deadline for which a send is worth the work that it causes.
pub(super) const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Reason of refusals and errors during a planned stop.
pub(super) const STOP_REASON: &str = "shutting down";

/// Sends a request to targets until there is a final answer.
pub(super) async fn run(context: Arc<Context>, request: Request) -> Response<Body> {
    let Some(service) = request.catalog.service(&request.service).cloned() else {
        return answer::plain_text(StatusCode::BAD_GATEWAY, "the route's service is gone");
    };
    let request = Arc::new(request);
    if context.quarantined_mark(&request.marks).is_none() {
        context
            .budget()
            .record_request(clock::now(), &context.settings, &service.name);
        record_demand(&context, &request, &service);
    }
    let mut dispatch = Dispatch::new(&context, &request, &service);
    let response = tokio::select! {
        response = dispatch.run() => response,
        () = context.shutdown.answers_ended() => dispatch.end_early(),
    };
    log_request_ended(&request, &dispatch, response.status());
    let label = response.status().as_str().to_owned();
    let labels = [service.name.as_str(), label.as_str()];
    context.metrics.requests.with_label_values(&labels).inc();
    response
}

/// Adds the request's work to the demand; its numbers of tokens are the engine's mean ones if the caller
/// stated none.
fn record_demand(context: &Context, request: &Request, service: &Service) {
    let Some((engine, name)) = service.engine.as_ref().zip(request.model.as_deref()) else {
        return;
    };
    let Some(model) = engine.model(name) else {
        return;
    };
    let mean_tokens = (engine.mean_prompt as u64, engine.mean_answer as u64);
    let (prompt, answer) = request.tokens.unwrap_or(mean_tokens);
    let work = group_time(engine, model, prompt as f64, answer as f64);
    let key = Demand::key(&service.name, name);
    context.demand().add(clock::now(), key, work);
}

/// Sends of one request so far.
pub(super) struct Dispatch<'a> {
    pub(super) context: &'a Arc<Context>,
    pub(super) request: &'a Arc<Request>,
    pub(super) service: &'a Service,
    /// Identifier of each send's target.
    pub(super) tried: Vec<String>,
    /// Sends that a target may have executed.
    pub(super) runs: u32,
    /// Sends that no target executed.
    unexecuted: usize,
    /// Server error with which an upstream has answered.
    upstream_failure: Option<Response<Body>>,
    /// Whether a target may have executed the request without an answer.
    has_lost_answer: bool,
}

impl<'a> Dispatch<'a> {
    fn new(context: &'a Arc<Context>, request: &'a Arc<Request>, service: &'a Service) -> Self {
        Dispatch {
            context,
            request,
            service,
            tried: Vec::new(),
            runs: 0,
            unexecuted: 0,
            upstream_failure: None,
            has_lost_answer: false,
        }
    }

    async fn run(&mut self) -> Response<Body> {
        loop {
            if clock::now() + MIN_TIME_LEFT >= self.request.deadline {
                return self.give_up(StatusCode::GATEWAY_TIMEOUT, "deadline");
            }
            if let Some(mark) = self.context.quarantined_mark(&self.request.marks) {
                if self.runs > 0 {
                    return self.give_up(StatusCode::BAD_GATEWAY, evidence::reason(&mark));
                }
                return evidence::refuse(self.context, self.request, &mark);
            }
            let is_retry = !self.tried.is_empty();
            if is_retry && !self.may_send_again() {
                return self.give_up(StatusCode::BAD_GATEWAY, "no repeat left");
            }
            let target = match self.wait_for_target().await {
                Ok(target) => target,
                Err((reason, until_room)) => {
                    if self.runs > 0 {
                        return self.give_up(StatusCode::BAD_GATEWAY, reason);
                    }
                    return self.refuse(reason, until_room);
                }
            };
            if !self.may_begin() {
                return self.refuse(STOP_REASON, Duration::ZERO);
            }
            match self.send(target).await {
                Delivery::Answer(response) => return response,
                Delivery::Stream(response, connection, send) => {
                    return stream::start_relay(
                        self.request.clone(),
                        self.service.clone(),
                        self.runs,
                        response,
                        connection,
                        *send,
                    );
                }
                failed @ (Delivery::NotRun | Delivery::Unknown(_)) => {
                    let is_unknown = matches!(failed, Delivery::Unknown(_));
                    self.record_failure(failed);
                    if is_unknown && !self.request.is_repeatable() {
                        return self.give_up(StatusCode::BAD_GATEWAY, "unknown outcome");
                    }
                }
            }
        }
    }

    /// Whether the planned stop of this gateway, if it has begun, leaves time for another send.
    fn may_begin(&self) -> bool {
        let (deadline, is_repeatable) = (self.request.deadline, self.request.is_repeatable());
        let stop = self.context.shutdown.stop();
        stop.is_none_or(|stop| stop.may_begin(deadline, is_repeatable))
    }

    /// Final answer to a request that is in progress when the process is about to end.
    fn end_early(&mut self) -> Response<Body> {
        if self.tried.len() == self.unexecuted {
            return self.refuse(STOP_REASON, Duration::ZERO);
        }
        // Sends in progress are counted only once they have ended.
        self.runs = self.runs.max(1);
        self.give_up(StatusCode::GATEWAY_TIMEOUT, STOP_REASON)
    }

    /// Whether limits allow another send; if so, takes a retry out of the budget.
    pub(super) fn may_send_again(&self) -> bool {
        if self.runs >= self.request.route.max_sends || self.unexecuted >= MAX_UNEXECUTED_SENDS {
            return false;
        }
        let gateways = self.context.balancer().gateways();
        let mut budget = self.context.budget();
        budget.try_retry(clock::now(), &self.context.settings, &self.service.name, gateways)
    }

    /// Waits for a target with room; returns a reason and the expected time until room on failure.
    async fn wait_for_target(&self) -> Result<Target, (&'static str, Duration)> {
        let route = &self.request.route;
        let Admission { max_wait, reserve } = admission_limits(
            &self.context.settings,
            Duration::from_millis(route.goal_ms),
            Duration::from_millis(route.timeout_ms),
            self.request.deadline.saturating_sub(self.request.started),
        );
        let wait_start = clock::now();
        let mut asks = 0;
        loop {
            // Created before the check, so that room signalled during it is not missed.
            let room_signal = self.context.room.notified();
            if let Some(mark) = self.context.quarantined_mark(&self.request.marks) {
                return Err((evidence::reason(&mark), evidence::RETRY_AFTER));
            }
            let criteria = self.criteria(reserve);
            let choice = self.context.balancer().choose(clock::now(), &criteria);
            let waited = clock::now() - wait_start;
            match choice {
                Choice::Send { target, load, place } => {
                    self.context.metrics.wait.observe(waited.as_secs_f64());
                    self.record_sent((&target, load, place), waited);
                    return Ok(target);
                }
                Choice::Unreached(delay) => return Err(("no target can be reached", delay)),
                Choice::NoTarget => return Err(("no target serves this", Duration::from_millis(500))),
                Choice::Full(until_room) if waited >= max_wait => {
                    return Err(("all targets are full", until_room));
                }
                Choice::Full(_) if asks < MAX_ASKS => {
                    asks += 1;
                    permit::ask(self.context, &criteria, self.request, max_wait - waited).await;
                }
                Choice::Full(_) => {
                    // Whether room was signalled or the time is up, the targets are checked again.
                    let _ = timeout(max_wait - waited, room_signal).await;
                }
            }
        }
    }

    /// Criteria of a target that leaves `reserve` slots free.
    pub(super) fn criteria(&self, reserve: u32) -> Criteria<'_> {
        Criteria {
            service: self.service,
            model: self.request.model.as_deref(),
            tried: &self.tried,
            reserve,
            draw: rand::random(),
            goal: Duration::from_millis(self.request.route.goal_ms),
            reuse: self.request.plan(),
        }
    }

    pub(super) fn reader(&self) -> Reader<'a> {
        Reader {
            context: self.context,
            request: self.request,
            service: self.service,
            sends: self.tried.len(),
        }
    }

    /// Counts a send that has ended, if its target may have executed the request.
    pub(super) fn count(&mut self, delivery: Delivery) -> Delivery {
        self.runs += u32::from(!matches!(delivery, Delivery::NotRun));
        delivery
    }

    pub(super) fn start(&mut self, target: Target) -> Option<impl Future<Output = (Send, Head)> + use<>> {
        self.tried.push(target.id.clone());
        attempt::start(self.context, self.request, self.service, target)
    }

    /// Keeps what a send that did not lead to an answer leaves behind.
    pub(super) fn record_failure(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::NotRun => self.unexecuted += 1,
            Delivery::Unknown(None) => self.has_lost_answer = true,
            Delivery::Unknown(response) => self.upstream_failure = response,
            Delivery::Answer(_) | Delivery::Stream(..) => {}
        }
    }

    /// Final answer after the sends have failed: the upstream's error if there is one, else a refusal
    /// if no target executed the request, else `status` with `reason`.
    ///
    /// A 503 tells the caller that the request was not executed, which one target cannot know of another.
    fn give_up(&mut self, status: StatusCode, reason: &str) -> Response<Body> {
        let failure = self.upstream_failure.take();
        let is_misleading =
            |r: &Response<Body>| self.has_lost_answer && r.status() == StatusCode::SERVICE_UNAVAILABLE;
        if let Some(failure) = failure.filter(|r| !is_misleading(r)) {
            return failure;
        }
        if self.runs == 0 {
            return self.refuse("not sent in time", Duration::ZERO);
        }
        answer::plain_text(status, reason)
    }

    /// Counts, logs and builds the refusal of a request.
    fn refuse(&self, reason: &str, until_room: Duration) -> Response<Body> {
        let delay = retry_after(until_room, rand::random());
        self.context.metrics.refusals.with_label_values(&[reason]).inc();
        logging::REQUEST_REFUSED.log_fields(&[
            ("request", self.request.id.as_str().into()),
            ("route", self.request.route.name.as_str().into()),
            ("reason", reason.into()),
            ("version", self.request.catalog.version().into()),
            ("back_ms", (delay.as_millis() as u64).into()),
            ("after_ms", elapsed_ms(self.request).into()),
        ]);
        answer::unavailable(reason, delay)
    }

    pub(super) fn record_sent(&self, choice: (&Target, u32, Place), waited: Duration) {
        let fields = [
            ("waited_ms", (waited.as_millis() as u64).into()),
            ("version", self.request.catalog.version().into()),
        ];
        sent::record(self.context, self.request, choice, fields);
    }
}

/// Time since the request arrived, in milliseconds.
pub(super) fn elapsed_ms(request: &Request) -> u64 {
    (clock::now() - request.started).as_millis() as u64
}

fn log_request_ended(request: &Request, dispatch: &Dispatch, status: StatusCode) {
    logging::REQUEST_ENDED.log_fields(&[
        ("request", request.id.as_str().into()),
        ("route", request.route.name.as_str().into()),
        ("account", request.account.as_deref().unwrap_or("").into()),
        ("status", u64::from(status.as_u16()).into()),
        ("sends", (dispatch.tried.len() as u64).into()),
        ("after_ms", elapsed_ms(request).into()),
    ]);
}
