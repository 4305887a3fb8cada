//! Sends of one request, until an answer, a refusal or the deadline.

use std::sync::Arc;
use std::time::Duration;

use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::answer;
use super::context::Context;
use super::request::Request;
use super::request::strip_connection;
use super::send::Send;
use super::send::Verdict;
use super::send::judge;
use super::send::outgoing;
use super::stream;
use crate::adapters::clock;
use crate::adapters::http1::Body;
use crate::adapters::http1::Failure;
use crate::adapters::http1::Link;
use crate::domain::catalog::Repeat;
use crate::domain::catalog::Service;
use crate::domain::fleet::Target;
use crate::domain::gateway::Choice;
use crate::domain::gateway::Demand;
use crate::domain::gateway::Need;
use crate::domain::gateway::Outcome;
use crate::domain::gateway::Patience;
use crate::domain::gateway::come_back;
use crate::domain::gateway::patience;
use crate::domain::gateway::work;
use crate::logging;

/// Sends that were refused unrun after which a request is refused too.
const MAX_REFUSED: usize = 3;
/// Objectives after which a first event counts as overdue.
const OVERDUE_GOALS: u32 = 4;
/// Shortest time after which a first event counts as overdue.
const OVERDUE_LEAST: Duration = Duration::from_millis(1_200);
/// Least time for which a send is worth its cost.
const LEAST_LEFT: Duration = Duration::from_millis(20);

/// What one send brought.
pub(super) enum Sent {
    /// Final answer.
    Answer(Response<Body>),
    /// Start of an event stream.
    Stream(Response<Incoming>, Link, Send),
    /// The request did not run there.
    NotRun,
    /// The request may have run there.
    Unknown(Option<Response<Body>>),
}

/// Runs a request to its answer.
pub(super) async fn run(context: Arc<Context>, request: Request) -> Response<Body> {
    let Some(service) = request.catalog.service(&request.service).cloned() else {
        return answer::own(StatusCode::BAD_GATEWAY, "the route's service is gone");
    };
    let request = Arc::new(request);
    context
        .budget()
        .request(clock::now(), &context.settings, &service.name);
    count_demand(&context, &request, &service);
    let mut attempts = Attempts::new(&context, &request, &service);
    let response = attempts.run().await;
    log_end(&request, &attempts, response.status());
    let label = response.status().as_str().to_owned();
    let labels = [service.name.as_str(), label.as_str()];
    context.metrics.requests.with_label_values(&labels).inc();
    response
}

fn count_demand(context: &Context, request: &Request, service: &Service) {
    let Some((engine, name)) = service.engine.as_ref().zip(request.model.as_deref()) else {
        return;
    };
    let Some(model) = engine.model(name) else {
        return;
    };
    let usual = (engine.mean_prompt as u64, engine.mean_answer as u64);
    let (prompt, answer) = request.tokens.unwrap_or(usual);
    let work = work(engine, model, prompt as f64, answer as f64);
    let key = Demand::key(&service.name, name);
    context.demand().add(clock::now(), key, work);
}

struct Attempts<'a> {
    context: &'a Arc<Context>,
    request: &'a Arc<Request>,
    service: &'a Service,
    tried: Vec<String>,
    /// Sends that may have run.
    runs: u32,
    refused: usize,
}

impl<'a> Attempts<'a> {
    fn new(context: &'a Arc<Context>, request: &'a Arc<Request>, service: &'a Service) -> Self {
        Attempts {
            context,
            request,
            service,
            tried: Vec::new(),
            runs: 0,
            refused: 0,
        }
    }

    async fn run(&mut self) -> Response<Body> {
        let mut failure = None;
        loop {
            if clock::now() + LEAST_LEFT >= self.request.deadline {
                return self.give_up(failure, StatusCode::GATEWAY_TIMEOUT, "deadline");
            }
            let is_repeat = !self.tried.is_empty();
            if is_repeat && !self.may_repeat() {
                return self.give_up(failure, StatusCode::BAD_GATEWAY, "no repeat left");
            }
            let target = match self.choose().await {
                Ok(target) => target,
                Err((reason, after)) => {
                    if self.runs > 0 {
                        return self.give_up(failure, StatusCode::BAD_GATEWAY, reason);
                    }
                    return self.refuse(reason, after);
                }
            };
            match self.send(target).await {
                Sent::Answer(response) => return response,
                Sent::Stream(response, link, send) => {
                    return stream::pass(
                        self.request.clone(),
                        self.service.clone(),
                        self.runs,
                        response,
                        link,
                        send,
                    );
                }
                Sent::NotRun => self.refused += 1,
                Sent::Unknown(response) => {
                    failure = response;
                    if !self.request.may_repeat() {
                        return self.give_up(failure, StatusCode::BAD_GATEWAY, "unknown outcome");
                    }
                }
            }
        }
    }

    /// Whether another send is allowed and paid for.
    fn may_repeat(&self) -> bool {
        if self.runs >= self.request.route.max_sends || self.refused >= MAX_REFUSED {
            return false;
        }
        let gateways = self.context.balancer().gateways();
        let mut budget = self.context.budget();
        budget.repeat(clock::now(), &self.context.settings, &self.service.name, gateways)
    }

    /// Waits for room at a target, as long as the objective allows.
    async fn choose(&self) -> Result<Target, (&'static str, Duration)> {
        let route = &self.request.route;
        let Patience { wait, reserve } = patience(
            &self.context.settings,
            Duration::from_millis(route.goal_ms),
            Duration::from_millis(route.timeout_ms),
            self.request.deadline.saturating_sub(self.request.started),
        );
        let from = clock::now();
        loop {
            let room = self.context.room.notified();
            let choice = self.context.balancer().choose(
                clock::now(),
                &Need {
                    service: self.service,
                    model: self.request.model.as_deref(),
                    tried: &self.tried,
                    reserve,
                    draw: rand::random(),
                },
            );
            let waited = clock::now() - from;
            match choice {
                Choice::Send { target, load } => {
                    self.context.metrics.waits.observe(waited.as_secs_f64());
                    self.log_sent(&target, load, waited);
                    return Ok(target);
                }
                Choice::Nothing => return Err(("no target serves this", Duration::from_millis(500))),
                Choice::Full(after) if waited >= wait => return Err(("all targets are full", after)),
                Choice::Full(_) => {
                    // The end of the wait is the next look.
                    let _ = timeout(wait - waited, room).await;
                }
            }
        }
    }

    async fn send(&mut self, target: Target) -> Sent {
        self.tried.push(target.id.clone());
        let Ok(address) = target.address.parse() else {
            return Sent::NotRun;
        };
        let left = self.request.deadline.saturating_sub(clock::now());
        let Some(outgoing) = outgoing(self.request, &target, left, None) else {
            return Sent::NotRun;
        };
        let send = Send::start(self.context, target, self.service);
        let fresh = self.request.route.repeat == Repeat::Once;
        let patience = self.patience(left);
        let sent = timeout(patience, self.context.upstreams.send(address, outgoing, fresh)).await;
        match sent {
            Err(_) => {
                self.runs += 1;
                self.fail(send, Outcome::Stalled, "no answer in time");
                Sent::Unknown(None)
            }
            Ok(Err(Failure::Unsent)) => {
                self.fail(send, Outcome::Failed, "no connection");
                Sent::NotRun
            }
            Ok(Err(Failure::Unknown)) => {
                self.runs += 1;
                self.fail(send, Outcome::Failed, "connection lost");
                Sent::Unknown(None)
            }
            Ok(Ok((response, link))) => self.read(response, link, send).await,
        }
    }

    /// Longest wait for the head of an answer.
    fn patience(&self, left: Duration) -> Duration {
        let route = &self.request.route;
        if !self.request.may_repeat() || self.runs + 1 >= route.max_sends {
            return left;
        }
        let goal = Duration::from_millis(route.goal_ms);
        left.min((goal * OVERDUE_GOALS).max(OVERDUE_LEAST))
    }

    async fn read(&mut self, response: Response<Incoming>, link: Link, send: Send) -> Sent {
        match judge(self.request, &response) {
            Verdict::NotRun(outcome) => {
                self.fail(send, outcome, "refused by the target");
                return Sent::NotRun;
            }
            Verdict::Foreign => {
                self.runs += 1;
                self.fail(send, Outcome::Failed, "answer of another request");
                return Sent::Unknown(None);
            }
            Verdict::Own => self.runs += 1,
        }
        if self.request.route.streams && response.status().is_success() {
            return Sent::Stream(response, link, send);
        }
        self.read_whole(response, link, send).await
    }

    async fn read_whole(&mut self, response: Response<Incoming>, link: Link, send: Send) -> Sent {
        let (head, body) = response.into_parts();
        let left = self.request.deadline.saturating_sub(clock::now());
        let body = match timeout(left, body.collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => {
                self.fail(send, Outcome::Failed, "answer cut");
                return Sent::Unknown(None);
            }
            Err(_) => {
                self.fail(send, Outcome::Stalled, "answer incomplete");
                return Sent::Unknown(None);
            }
        };
        self.context.upstreams.keep(link);
        let labels = [self.service.name.as_str()];
        let took = (clock::now() - self.request.started).as_secs_f64();
        self.context
            .metrics
            .first
            .with_label_values(&labels)
            .observe(took);
        let mut response = Response::from_parts(head, Body::whole(body));
        strip_connection(response.headers_mut());
        send.end(Outcome::Answered);
        if response.status().is_server_error() && self.request.may_repeat() {
            return Sent::Unknown(Some(response));
        }
        Sent::Answer(response)
    }

    fn fail(&self, send: Send, outcome: Outcome, reason: &str) {
        let outcome_text = format!("{outcome:?}");
        logging::SEND_FAILED.log_fields(&[
            ("request", self.request.id.as_str().into()),
            ("target", send.target.id.as_str().into()),
            ("outcome", outcome_text.as_str().into()),
            ("reason", reason.into()),
            ("sends", (self.tried.len() as u64).into()),
            ("after_ms", elapsed(self.request).into()),
        ]);
        send.end(outcome);
    }

    /// Final answer of a request that may have run: the upstream's failure, or the own one.
    fn give_up(&self, failure: Option<Response<Body>>, status: StatusCode, reason: &str) -> Response<Body> {
        if let Some(failure) = failure {
            return failure;
        }
        if self.runs == 0 {
            return self.refuse("not sent in time", Duration::ZERO);
        }
        answer::own(status, reason)
    }

    fn refuse(&self, reason: &str, after: Duration) -> Response<Body> {
        let back = come_back(after, rand::random());
        self.context.metrics.refusals.with_label_values(&[reason]).inc();
        logging::REQUEST_REFUSED.log_fields(&[
            ("request", self.request.id.as_str().into()),
            ("route", self.request.route.name.as_str().into()),
            ("reason", reason.into()),
            ("version", self.request.catalog.version().into()),
            ("back_ms", (back.as_millis() as u64).into()),
            ("after_ms", elapsed(self.request).into()),
        ]);
        answer::refused(reason, back)
    }

    fn log_sent(&self, target: &Target, load: u32, waited: Duration) {
        logging::REQUEST_SENT.log_fields(&[
            ("request", self.request.id.as_str().into()),
            ("target", target.id.as_str().into()),
            ("load", load.into()),
            ("slots", target.slots.into()),
            ("waited_ms", (waited.as_millis() as u64).into()),
            ("version", self.request.catalog.version().into()),
        ]);
    }
}

pub(super) fn elapsed(request: &Request) -> u64 {
    (clock::now() - request.started).as_millis() as u64
}

fn log_end(request: &Request, attempts: &Attempts, status: StatusCode) {
    logging::REQUEST_ENDED.log_fields(&[
        ("request", request.id.as_str().into()),
        ("route", request.route.name.as_str().into()),
        ("account", request.account.as_deref().unwrap_or("").into()),
        ("status", u64::from(status.as_u16()).into()),
        ("sends", (attempts.tried.len() as u64).into()),
        ("after_ms", elapsed(request).into()),
    ]);
}
