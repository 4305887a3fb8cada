//! Calls that may run at most once, by the ledger of the replicated log.
//!
//! The claim is committed before the first byte can go to an upstream. Resends
//! wait for the running attempt and share its answer. When the end of an attempt
//! cannot be known, the key stays "unknown" and never runs again.

use std::sync::Arc;
use std::time::Duration;

use super::context::Context;
use super::problem;
use super::relay::Job;
use super::service;
use super::service::End;
use crate::adapters::clock;
use crate::adapters::http::Response;
use crate::domain::state::Call;
use crate::domain::state::Command;
use crate::domain::state::Outcome;
use crate::domain::state::Reply;
use crate::domain::state::Verdict;

/// Pause of a resend between two looks at the running attempt.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Longest wait for one decision of the ledger.
const DECIDE: Duration = Duration::from_secs(5);
/// Header that marks an answer which an earlier attempt produced.
const REPLAYED: &str = "x-heatherramp-replayed";

/// Answers one non-repeatable call with a key.
pub(super) async fn handle(context: Arc<Context>, job: Job, key: &str) -> Response {
    let call = call(&job, key);
    let attempt = job.forward.id.clone();
    let limit = Duration::from_millis(job.caller.document.limits.request_ms);
    let deadline = clock::now() + limit;
    loop {
        let begin = Command::Begin {
            call: call.clone(),
            attempt: attempt.clone(),
            session: context.session.clone(),
        };
        match context.control.propose(&begin, DECIDE).await {
            Ok(Reply::Ledger(Verdict::Granted)) => return run(context, job, call, attempt).await,
            Ok(Reply::Ledger(Verdict::Running)) => {}
            Ok(Reply::Ledger(verdict)) => return settled(verdict),
            Ok(_) => return problem::not_run("the ledger gave no decision", 1_000),
            Err(e) => {
                // The claim may have been committed; this attempt has not run, so it is
                // given back. An earlier attempt may have run, which only the ledger knows.
                tokio::spawn(record(context, call, attempt, Outcome::NotRun));
                return problem::undecided(&e.to_string(), 1_000);
            }
        }
        if clock::now() + LOOK_EVERY >= deadline {
            return problem::unknown("an earlier attempt with this key is still running");
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

fn call(job: &Job, key: &str) -> Call {
    let forward = &job.forward;
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    for part in [forward.method.as_bytes(), forward.path.as_bytes(), &forward.body] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    Call {
        client_account: forward.client_account.clone(),
        environment: forward.environment.clone(),
        key: key.to_owned(),
        digest: hash.digest(),
        arrived_ms: clock::wall_ms(),
    }
}

/// Runs the granted attempt to its end, also when the caller leaves.
async fn run(context: Arc<Context>, job: Job, call: Call, attempt: String) -> Response {
    let running = tokio::spawn(async move {
        let end = service::run(context.clone(), job).await;
        let outcome = outcome(&end);
        if matches!(end, End::NotRun { .. }) {
            // "Not run" is said only once a resend can be granted again.
            record(context, call, attempt, outcome).await;
        } else {
            tokio::spawn(record(context, call, attempt, outcome));
        }
        end
    });
    match running.await {
        Ok(end) => service::response(end),
        Err(_) => problem::unknown("the attempt was given up"),
    }
}

fn outcome(end: &End) -> Outcome {
    match end {
        End::NotRun { .. } => Outcome::NotRun,
        End::Unknown(_) => Outcome::Unknown,
        End::Answer(answer) => Outcome::Answer {
            status: u16::try_from(answer.status).unwrap_or(502),
            body: String::from_utf8_lossy(&answer.body).into_owned(),
        },
    }
}

/// Commits the end of an attempt, for as long as it takes.
async fn record(context: Arc<Context>, call: Call, attempt: String, outcome: Outcome) {
    let finish = Command::Finish {
        call,
        attempt,
        outcome,
    };
    let _open = context.open_call();
    while context.control.propose(&finish, DECIDE).await.is_err() {
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

fn settled(verdict: Verdict) -> Response {
    match verdict {
        Verdict::Ended(Outcome::Answer { status, body }) => Response::new(status, "application/json", body)
            .with_header(problem::OUTCOME, "ran")
            .with_header(REPLAYED, "true"),
        Verdict::Ended(Outcome::Ran { status }) => problem::answer_gone(status),
        Verdict::Ended(_) => problem::unknown("an earlier attempt with this key may or may not have run"),
        Verdict::Mismatch => problem::invalid(422, "the key was used with another method, path or body"),
        Verdict::Full => problem::not_run("the ledger has no room for new keys", 60_000),
        Verdict::Granted | Verdict::Running | Verdict::Recorded => problem::not_run("no decision", 1_000),
    }
}
