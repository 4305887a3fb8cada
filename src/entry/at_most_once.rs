//! At-most-once execution of non-repeatable calls with an idempotency key.
//!
//! The ledger in the replicated log records each key. An attempt commits its claim of the
//! key before the first byte can go to an upstream. Resends wait for the running attempt
//! and get the same answer. When the outcome of an attempt cannot be known, the key stays
//! "unknown" and does not run again while the ledger retains it.

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

/// Interval at which a resend asks the ledger again while another attempt runs, and at which a
/// failed commit is retried.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for the ledger to commit one command.
const LEDGER_TIMEOUT: Duration = Duration::from_secs(5);
/// Header that marks an answer which an earlier attempt produced.
const REPLAYED_HEADER: &str = "x-heatherramp-replayed";

/// Answers one non-repeatable call that has the idempotency key `key`.
pub(super) async fn handle(context: Arc<Context>, job: Job, key: &str) -> Response {
    let call = ledger_call(&job, key);
    let attempt = job.forward.id.clone();
    let time_limit = Duration::from_millis(job.caller.document.limits.request_ms);
    let deadline = clock::now() + time_limit;
    loop {
        let claim = Command::Begin {
            call: call.clone(),
            attempt: attempt.clone(),
            session: context.session.clone(),
        };
        match context.control.propose(&claim, LEDGER_TIMEOUT).await {
            Ok(Reply::Ledger(Verdict::Granted)) => return run_granted(context, job, call, attempt).await,
            Ok(Reply::Ledger(Verdict::Running)) => {}
            Ok(Reply::Ledger(verdict)) => return verdict_response(verdict),
            Ok(_) => return problem::not_run("the ledger gave no decision", 1_000),
            Err(e) => {
                // The claim may have been committed. This attempt has not run, so its claim is
                // released. Whether an earlier attempt has run is known only to the ledger.
                tokio::spawn(commit_outcome(context, call, attempt, Outcome::NotRun));
                return problem::ledger_unreachable(&e.to_string(), 1_000);
            }
        }
        if clock::now() + POLL_INTERVAL >= deadline {
            return problem::outcome_unknown("an earlier attempt with this key is still running");
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The call as the ledger records it; the digest covers method, path and body.
fn ledger_call(job: &Job, key: &str) -> Call {
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

/// Runs the granted attempt to its end, even if the caller disconnects.
async fn run_granted(context: Arc<Context>, job: Job, call: Call, attempt: String) -> Response {
    let running = tokio::spawn(async move {
        let end = service::run(context.clone(), job).await;
        let outcome = ledger_outcome(&end);
        if matches!(end, End::NotRun { .. }) {
            // The claim is released before the caller receives "not run", so that a resend
            // can be granted immediately. Other outcomes do not delay the answer: until one is
            // recorded, resends find the attempt running and wait.
            commit_outcome(context, call, attempt, outcome).await;
        } else {
            tokio::spawn(commit_outcome(context, call, attempt, outcome));
        }
        end
    });
    match running.await {
        Ok(end) => service::response(end),
        Err(_) => problem::outcome_unknown("the attempt was given up"),
    }
}

fn ledger_outcome(end: &End) -> Outcome {
    match end {
        End::NotRun { .. } => Outcome::NotRun,
        End::Unknown(_) => Outcome::Unknown,
        End::Answer(answer) => Outcome::Answer {
            status: u16::try_from(answer.status).unwrap_or(502),
            body: String::from_utf8_lossy(&answer.body).into_owned(),
        },
    }
}

/// Commits the outcome of an attempt; retries until the ledger has recorded it.
async fn commit_outcome(context: Arc<Context>, call: Call, attempt: String, outcome: Outcome) {
    let record = Command::Finish {
        call,
        attempt,
        outcome,
    };
    // A shutdown waits until the outcome is recorded.
    let _open_call = context.track_open_call();
    while context.control.propose(&record, LEDGER_TIMEOUT).await.is_err() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Answer to a call that the ledger does not let run.
///
/// `Granted` and `Running` are handled before, and `Recorded` replies only to the end of an
/// attempt.
fn verdict_response(verdict: Verdict) -> Response {
    match verdict {
        Verdict::Ended(Outcome::Answer { status, body }) => Response::new(status, "application/json", body)
            .with_header(problem::OUTCOME_HEADER, "ran")
            .with_header(REPLAYED_HEADER, "true"),
        Verdict::Ended(Outcome::Ran { status }) => problem::answer_gone(status),
        Verdict::Ended(_) => {
            problem::outcome_unknown("an earlier attempt with this key may or may not have run")
        }
        Verdict::Mismatch => problem::invalid(422, "the key was used with another method, path or body"),
        Verdict::Full => problem::not_run("the ledger has no room for new keys", 60_000),
        Verdict::Granted | Verdict::Running | Verdict::Recorded => problem::not_run("no decision", 1_000),
    }
}
