//! The caller's side of a call: chooses the owner, retries and resumes.
//!
//! | what failed | repeatable call | non-repeatable call |
//! |---|---|---|
//! | refused by an owner or an upstream | sent to another owner | sent to another owner |
//! | interrupted before the first token | retried at another replica | outcome unknown |
//! | interrupted after some tokens | resumed at the next token | outcome unknown |

use std::sync::Arc;
use std::time::Duration;

use quinn::RecvStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::account::Caller;
use super::context::Context;
use super::execute::execute;
use crate::adapters::clock;
use crate::adapters::quic;
use crate::adapters::wire;
use crate::adapters::wire::frame::Kind;
use crate::adapters::wire::request;
use crate::domain::dispatch::Budget;
use crate::domain::dispatch::Criteria;
use crate::logging;

/// Owners that are asked for one attempt.
const MAX_OWNERS_PER_ATTEMPT: usize = 4;
/// Failed attempts after which a call is given up.
const MAX_FAILED_ATTEMPTS: usize = 4;
/// Interval at which an interrupted call looks for an owner again.
const OWNER_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Parts buffered for a slow caller; beyond it, reading from the owner pauses.
const MAX_BUFFERED_PARTS: usize = 64;

/// Reason of refusals and errors during a planned stop.
const STOP_REASON: &str = "this entry is shutting down";
/// Time after which a caller may send a call again that was refused for it.
const STOP_RETRY_MS: u64 = 1_000;

/// A call to relay: its caller and the message for the owner.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) caller: Caller,
    pub(super) forward: wire::Forward,
}

/// Part of an answer: tokens from a generation, or one whole answer, and then the end.
#[derive(Clone, Debug)]
pub(super) enum Part {
    Token(String),
    /// Answer of a service, or an engine's rejection of the request.
    Answer(wire::Answer),
    End(Ending),
}

/// How a call ended.
#[derive(Clone, Debug)]
pub(super) enum Ending {
    /// The answer is complete.
    Done,
    /// The call was refused.
    NotRun { reason: String, retry_after_ms: u64 },
    /// The call may have run, but its answer is incomplete for this reason.
    Unknown(String),
}

/// How one attempt ended.
enum Outcome {
    Done,
    /// Nothing of the call has run.
    Refused {
        reason: String,
        retry_after_ms: u64,
    },
    /// The answer was interrupted; the call may have run.
    Failed(String),
    CallerLeft,
}

/// Frames from this entry's own replicas or from another owner.
enum Source {
    Local(mpsc::Receiver<wire::Frame>),
    Remote(RecvStream),
}

impl Source {
    async fn next(&mut self) -> Option<Kind> {
        let frame = match self {
            Source::Local(receiver) => receiver.recv().await,
            Source::Remote(stream) => quic::read_frame(stream).await.ok().flatten(),
        };
        frame.and_then(|f: wire::Frame| f.kind)
    }
}

/// State of a call between its attempts.
struct Relay<'a> {
    context: &'a Arc<Context>,
    job: Job,
    /// Time of [`clock::now`] at which the call's time limit ends.
    deadline: Duration,
    sender: &'a mpsc::Sender<Part>,
    /// Owners that refused the call since the last failed attempt or wait for a replica.
    tried_owners: Vec<String>,
    failed_attempts: usize,
    /// Reason of the last refusal, and the milliseconds after which the caller may retry.
    last_refusal: Option<(String, u64)>,
}

/// Starts a call; its parts come through the returned channel, with `End` as the last.
pub(super) fn start(context: Arc<Context>, job: Job) -> mpsc::Receiver<Part> {
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_PARTS);
    tokio::spawn(async move {
        let _open_call = context.track_open_call();
        let id = job.forward.id.clone();
        let environment = job.caller.environment.clone();
        let mut relay = Relay {
            deadline: clock::now() + Duration::from_millis(job.caller.document.limits.request_ms),
            context: &context,
            job,
            sender: &sender,
            tried_owners: Vec::new(),
            failed_attempts: 0,
            last_refusal: None,
        };
        let ending = if relay.may_begin() {
            tokio::select! {
                ending = relay.run() => ending,
                () = context.shutdown.answers_ended() => Some(Ending::Unknown(STOP_REASON.to_owned())),
            }
        } else {
            Some(Ending::NotRun {
                reason: STOP_REASON.to_owned(),
                retry_after_ms: STOP_RETRY_MS,
            })
        };
        let outcome = match &ending {
            Some(Ending::Done) => "ran",
            Some(Ending::NotRun { .. }) => "not-run",
            Some(Ending::Unknown(_)) => "unknown",
            None => "caller-left",
        };
        context
            .metrics
            .calls
            .with_label_values(&[&environment, outcome])
            .inc();
        logging::CALL_ENDED.log(format_args!(
            "call={id} environment={environment} outcome={outcome}"
        ));
        if let Some(ending) = ending {
            let _ = sender.send(Part::End(ending)).await;
        }
    });
    receiver
}

impl Relay<'_> {
    /// Whether a planned stop of this entry, if it has begun, still accepts the call.
    fn may_begin(&self) -> bool {
        let (deadline, is_repeatable) = (self.deadline, !self.job.forward.non_repeatable);
        let stop = self.context.shutdown.stop();
        stop.is_none_or(|stop| stop.accepts(clock::now(), deadline, is_repeatable))
    }

    async fn run(&mut self) -> Option<Ending> {
        self.with_budget(Budget::deposit);
        loop {
            let Some(owner) = self.choose_owner() else {
                if self.may_wait_for_replica() {
                    self.tried_owners.clear();
                    tokio::time::sleep(OWNER_RETRY_INTERVAL).await;
                    continue;
                }
                return Some(self.ending_without_owner());
            };
            self.set_stall_limit();
            let outcome = match timeout(self.time_left(), self.run_attempt(&owner)).await {
                Ok(outcome) => outcome,
                Err(_) => Outcome::Failed("the call took longer than its limit".to_owned()),
            };
            match outcome {
                Outcome::Done => return Some(Ending::Done),
                Outcome::CallerLeft => return None,
                Outcome::Refused {
                    reason,
                    retry_after_ms,
                } => {
                    self.last_refusal = Some((reason, retry_after_ms));
                    self.tried_owners.push(owner);
                }
                Outcome::Failed(reason) => {
                    if let Some(ending) = self.after_failure(&owner, reason) {
                        return Some(ending);
                    }
                }
            }
        }
    }

    /// Sets the silence after which the next attempt counts as failed. A silent upstream may go on, so
    /// an attempt that no other can follow has the whole time of the call.
    fn set_stall_limit(&mut self) {
        let next = self.failed_attempts + 1;
        let is_last = next >= MAX_FAILED_ATTEMPTS || (next > 1 && !self.with_budget(|b| b.has_retry()));
        let limits = &self.job.caller.document.limits;
        self.job.forward.stall_ms = if is_last {
            limits.request_ms
        } else {
            limits.stall_ms
        };
    }

    /// Records a failed attempt and prepares the next one, under an identity of its own; returns
    /// the ending when none may follow.
    fn after_failure(&mut self, owner: &str, reason: String) -> Option<Ending> {
        let forward = &self.job.forward;
        let (id, offset) = (&forward.id, forward.resume);
        logging::ATTEMPT_FAILED.log(format_args!("call={id} owner={owner} offset={offset}: {reason}"));
        let environment = &self.job.caller.environment;
        self.context
            .metrics
            .attempts_failed
            .with_label_values(&[environment])
            .inc();
        self.failed_attempts += 1;
        let is_exhausted = self.failed_attempts >= MAX_FAILED_ATTEMPTS || self.time_left().is_zero();
        let has_budget = self.failed_attempts == 1 || self.with_budget(Budget::try_withdraw);
        if forward.non_repeatable || is_exhausted || !has_budget {
            return Some(Ending::Unknown(reason));
        }
        self.tried_owners.clear();
        self.job.forward.id = format!("{}~{}", self.base_id(), self.failed_attempts);
        None
    }

    /// Identity of the call without the suffix of a later attempt.
    fn base_id(&self) -> &str {
        self.job.forward.id.split('~').next().unwrap_or_default()
    }

    /// Applies `update` to the retry budget of the environment.
    fn with_budget<T>(&self, update: impl FnOnce(&mut Budget) -> T) -> T {
        let mut core = self.context.lock();
        let budget = core
            .retry_budgets
            .entry(self.job.caller.environment.clone())
            .or_default();
        update(budget)
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(clock::now())
    }

    /// Owner to try next; `None` when none is left or this entry has no valid lease.
    fn choose_owner(&mut self) -> Option<String> {
        if self.tried_owners.len() >= MAX_OWNERS_PER_ATTEMPT {
            return None;
        }
        let now = clock::now();
        let caller = &self.job.caller;
        let mut core = self.context.lock();
        let core = &mut *core;
        if now >= core.lease_expiry {
            self.last_refusal = Some(("this entry has no valid lease".to_owned(), 1_000));
            return None;
        }
        let criteria = Criteria {
            session: &self.context.session,
            environment: &caller.environment,
            stage: caller.stage,
            own_room: core.owner.room(now, &caller.environment, caller.stage),
            tried: &self.tried_owners,
            draw: (rand::random(), rand::random()),
        };
        core.router.choose(now, &criteria)
    }

    /// Whether the call waits until an owner takes it. Only an interrupted call waits here; one
    /// that has not run is refused.
    fn may_wait_for_replica(&self) -> bool {
        let is_interrupted = self.failed_attempts > 0 && !self.job.forward.non_repeatable;
        is_interrupted && !self.time_left().is_zero() && !self.sender.is_closed()
    }

    /// Ending of a call that no owner takes.
    fn ending_without_owner(&mut self) -> Ending {
        let refusal = self.last_refusal.take();
        let (reason, retry_after_ms) =
            refusal.unwrap_or_else(|| ("no replica serves the environment".to_owned(), 1_000));
        if self.failed_attempts > 0 {
            return Ending::Unknown(reason);
        }
        Ending::NotRun {
            reason,
            retry_after_ms,
        }
    }

    /// Sends the call to `owner` and passes its frames on to the caller.
    async fn run_attempt(&mut self, owner: &str) -> Outcome {
        let id = self.job.forward.id.clone();
        logging::CALL_ROUTED.log(format_args!("call={id} owner={owner}"));
        let mut source = match self.open_source(owner).await {
            Ok(source) => source,
            Err(outcome) => return outcome,
        };
        // A non-repeatable call goes on after its caller has left, so that its outcome is known.
        loop {
            let kind = tokio::select! {
                kind = source.next() => kind,
                () = self.sender.closed(), if !self.job.forward.non_repeatable => return Outcome::CallerLeft,
            };
            match kind {
                None => return Outcome::Failed("the owner went away".to_owned()),
                Some(Kind::Refused(refused)) => {
                    return Outcome::Refused {
                        reason: refused.reason,
                        retry_after_ms: refused.retry_after_ms,
                    };
                }
                Some(Kind::Failed(failed)) => return Outcome::Failed(failed.reason),
                Some(Kind::Sent(sent)) => {
                    self.job.forward.avoid = sent.group;
                    self.record_room(owner, sent.room);
                }
                Some(Kind::End(end)) => {
                    self.record_room(owner, end.room);
                    return Outcome::Done;
                }
                Some(Kind::Token(token)) => {
                    if token.offset != self.job.forward.resume {
                        return Outcome::Failed("the text has a gap".to_owned());
                    }
                    self.job.forward.resume += 1;
                    if self.sender.send(Part::Token(token.text)).await.is_err() {
                        return Outcome::CallerLeft;
                    }
                }
                Some(Kind::Answer(answer)) => {
                    let sent = self.sender.send(Part::Answer(answer)).await;
                    if sent.is_err() && !self.job.forward.non_repeatable {
                        return Outcome::CallerLeft;
                    }
                }
            }
        }
    }

    /// Sends the call to `owner` and returns the source of its frames.
    async fn open_source(&self, owner: &str) -> Result<Source, Outcome> {
        let forward = self.job.forward.clone();
        if owner == self.context.session {
            return Ok(Source::Local(execute(self.context.clone(), forward)));
        }
        let address = {
            let core = self.context.lock();
            core.state.entries.get(owner).map(|e| e.address.clone())
        };
        let refused = |reason: &str| Outcome::Refused {
            reason: reason.to_owned(),
            retry_after_ms: 500,
        };
        let Some(address) = address else {
            return Err(refused("the owner has left"));
        };
        let request = wire::Request {
            kind: Some(request::Kind::Forward(forward)),
        };
        match self.context.pool.open_stream(&address, request).await {
            Ok(stream) => Ok(Source::Remote(stream)),
            Err(report) if *report.current_context() == quic::Error::Connect => {
                Err(refused("the owner cannot be reached"))
            }
            Err(report) => Err(Outcome::Failed(report.current_context().to_string())),
        }
    }

    /// Records the room (free slots less queued calls) that another owner reported; that of this
    /// entry's own replicas is read when an owner is chosen.
    fn record_room(&self, owner: &str, room: i64) {
        if owner != self.context.session {
            let caller = &self.job.caller;
            let mut core = self.context.lock();
            core.router
                .record_room(clock::now(), owner, &caller.environment, caller.stage, room);
        }
    }
}
