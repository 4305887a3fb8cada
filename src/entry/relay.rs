//! The caller's side of a call: choice of the owner, retries and resumes.
//!
//! | what failed | repeatable | non-repeatable |
//! |---|---|---|
//! | refused by an owner or an upstream | other owner | other owner |
//! | broke off before the first token | other replica | unknown |
//! | broke off within the text | resumed at its offset | unknown |

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

/// Owners asked for one attempt.
const MAX_OWNERS: usize = 4;
/// Attempts that may break off.
const MAX_ATTEMPTS: usize = 4;
/// Pause of a broken answer while no replica takes it.
const PAUSE: Duration = Duration::from_millis(100);
/// Parts that wait for a slow caller.
const BUFFER: usize = 64;

/// A call on its way.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) caller: Caller,
    pub(super) forward: wire::Forward,
}

/// What a caller receives.
#[derive(Clone, Debug)]
pub(super) enum Part {
    Token(String),
    Answer(wire::Answer),
    End(Ending),
}

/// How a call ended.
#[derive(Clone, Debug)]
pub(super) enum Ending {
    Done,
    NotRun { reason: String, retry_after_ms: u64 },
    Unknown(String),
}

/// How one attempt ended.
enum Attempt {
    Done,
    Refused {
        reason: String,
        retry_after_ms: u64,
    },
    Broken(String),
    /// The caller left.
    Left,
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

/// State of a relay between attempts.
struct Relay<'a> {
    context: &'a Arc<Context>,
    job: Job,
    deadline: Duration,
    sender: &'a mpsc::Sender<Part>,
    tried: Vec<String>,
    failures: usize,
    last_refusal: Option<(String, u64)>,
}

/// Starts a call; its parts come through the returned channel, `End` last.
pub(super) fn start(context: Arc<Context>, job: Job) -> mpsc::Receiver<Part> {
    let (sender, receiver) = mpsc::channel(BUFFER);
    tokio::spawn(async move {
        let _open = context.open_call();
        let id = job.forward.id.clone();
        let environment = job.caller.environment.clone();
        let mut relay = Relay {
            deadline: clock::now() + Duration::from_millis(job.caller.document.limits.request_ms),
            context: &context,
            job,
            sender: &sender,
            tried: Vec::new(),
            failures: 0,
            last_refusal: None,
        };
        let ending = relay.run().await;
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
    async fn run(&mut self) -> Option<Ending> {
        self.budget(Budget::deposit);
        loop {
            let Some(owner) = self.choose_owner() else {
                if self.may_wait() {
                    self.tried.clear();
                    tokio::time::sleep(PAUSE).await;
                    continue;
                }
                return Some(self.give_up());
            };
            let attempt = match timeout(self.left(), self.attempt(&owner)).await {
                Ok(attempt) => attempt,
                Err(_) => Attempt::Broken("the call took longer than its limit".to_owned()),
            };
            match attempt {
                Attempt::Done => return Some(Ending::Done),
                Attempt::Left => return None,
                Attempt::Refused {
                    reason,
                    retry_after_ms,
                } => {
                    self.last_refusal = Some((reason, retry_after_ms));
                    self.tried.push(owner);
                }
                Attempt::Broken(reason) => {
                    if let Some(ending) = self.after_failure(&owner, reason) {
                        return Some(ending);
                    }
                }
            }
        }
    }

    /// Decides whether a broken attempt is followed by another one.
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
        self.failures += 1;
        let exhausted = self.failures >= MAX_ATTEMPTS || self.left().is_zero();
        let allowed = self.failures == 1 || self.budget(Budget::try_withdraw);
        if forward.non_repeatable || exhausted || !allowed {
            return Some(Ending::Unknown(reason));
        }
        self.tried.clear();
        self.job.forward.id = format!("{}~{}", self.base_id(), self.failures);
        None
    }

    fn base_id(&self) -> &str {
        self.job.forward.id.split('~').next().unwrap_or_default()
    }

    fn budget<T>(&self, with: impl FnOnce(&mut Budget) -> T) -> T {
        let mut core = self.context.lock();
        let budget = core
            .budgets
            .entry(self.job.caller.environment.clone())
            .or_default();
        with(budget)
    }

    fn left(&self) -> Duration {
        self.deadline.saturating_sub(clock::now())
    }

    fn choose_owner(&mut self) -> Option<String> {
        if self.tried.len() >= MAX_OWNERS {
            return None;
        }
        let now = clock::now();
        let caller = &self.job.caller;
        let mut core = self.context.lock();
        let core = &mut *core;
        if now >= core.permit {
            self.last_refusal = Some(("this entry has no valid lease".to_owned(), 1_000));
            return None;
        }
        let criteria = Criteria {
            session: &self.context.session,
            environment: &caller.environment,
            stage: caller.stage,
            own_room: core.owner.room(now, &caller.environment, caller.stage),
            tried: &self.tried,
            draw: (rand::random(), rand::random()),
        };
        core.route.choose(now, &criteria)
    }

    /// Whether a broken answer is worth waiting for a replica; a new call is not.
    fn may_wait(&self) -> bool {
        let broken = self.failures > 0 && !self.job.forward.non_repeatable;
        broken && !self.left().is_zero() && !self.sender.is_closed()
    }

    fn give_up(&mut self) -> Ending {
        let refusal = self.last_refusal.take();
        let (reason, retry_after_ms) =
            refusal.unwrap_or_else(|| ("no replica serves the environment".to_owned(), 1_000));
        if self.failures > 0 {
            return Ending::Unknown(reason);
        }
        Ending::NotRun {
            reason,
            retry_after_ms,
        }
    }

    async fn attempt(&mut self, owner: &str) -> Attempt {
        let id = self.job.forward.id.clone();
        logging::CALL_ROUTED.log(format_args!("call={id} owner={owner}"));
        let mut source = match self.open(owner).await {
            Ok(source) => source,
            Err(attempt) => return attempt,
        };
        loop {
            let kind = tokio::select! {
                kind = source.next() => kind,
                () = self.sender.closed(), if !self.job.forward.non_repeatable => return Attempt::Left,
            };
            match kind {
                None => return Attempt::Broken("the owner went away".to_owned()),
                Some(Kind::Refused(refused)) => {
                    return Attempt::Refused {
                        reason: refused.reason,
                        retry_after_ms: refused.retry_after_ms,
                    };
                }
                Some(Kind::Failed(failed)) => return Attempt::Broken(failed.reason),
                Some(Kind::Sent(sent)) => {
                    self.job.forward.avoid = sent.group;
                    self.state_room(owner, sent.room);
                }
                Some(Kind::End(end)) => {
                    self.state_room(owner, end.room);
                    return Attempt::Done;
                }
                Some(Kind::Token(token)) => {
                    if token.offset != self.job.forward.resume {
                        return Attempt::Broken("the text has a gap".to_owned());
                    }
                    self.job.forward.resume += 1;
                    if self.sender.send(Part::Token(token.text)).await.is_err() {
                        return Attempt::Left;
                    }
                }
                Some(Kind::Answer(answer)) => {
                    let sent = self.sender.send(Part::Answer(answer)).await;
                    if sent.is_err() && !self.job.forward.non_repeatable {
                        return Attempt::Left;
                    }
                }
            }
        }
    }

    async fn open(&self, owner: &str) -> Result<Source, Attempt> {
        let forward = self.job.forward.clone();
        if owner == self.context.session {
            return Ok(Source::Local(execute(self.context.clone(), forward)));
        }
        let address = {
            let core = self.context.lock();
            core.state.entries.get(owner).map(|e| e.address.clone())
        };
        let refused = |reason: &str| Attempt::Refused {
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
            Err(report) => Err(Attempt::Broken(report.current_context().to_string())),
        }
    }

    fn state_room(&self, owner: &str, room: i64) {
        if owner != self.context.session {
            let caller = &self.job.caller;
            let mut core = self.context.lock();
            core.route
                .record_room(clock::now(), owner, &caller.environment, caller.stage, room);
        }
    }
}
