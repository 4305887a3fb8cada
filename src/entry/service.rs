//! Calls of plain services, which are upstreams without a model engine, under
//! `/v1/services/{environment}/...`.

use std::sync::Arc;

use super::account;
use super::at_most_once;
use super::chat;
use super::context::Context;
use super::problem;
use super::relay;
use super::relay::Ending;
use super::relay::Job;
use super::relay::Part;
use crate::adapters::http::Request;
use crate::adapters::http::Response;
use crate::adapters::wire;

/// Start of the path of every service call.
pub(super) const PATH_PREFIX: &str = "/v1/services/";
/// Longest idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// Answers one service call.
pub(super) async fn handle(context: Arc<Context>, request: Request) -> Response {
    let rest = request.path.strip_prefix(PATH_PREFIX).unwrap_or_default();
    let (environment, path) = match rest.split_once('/') {
        Some((environment, path)) => (environment, format!("/{path}")),
        None => (rest, "/".to_owned()),
    };
    let key = request.bearer_token().unwrap_or("");
    let caller = match account::authenticate(&context, environment, key) {
        Ok(caller) => caller,
        Err(error) => return chat::authentication_error(error, environment),
    };
    let Some(body) = request.body.clone() else {
        return problem::invalid(413, "the body is too large");
    };
    if body.len() > caller.document.limits.body_bytes {
        return problem::invalid(413, "the body is larger than the environment allows");
    }
    let is_safe_method = matches!(request.method.as_str(), "GET" | "HEAD");
    let mut forward = chat::base_forward(&caller);
    forward.service = true;
    forward.non_repeatable = !is_safe_method && caller.document.is_non_repeatable(&path);
    forward.method = request.method.to_string();
    forward.content_type = request
        .header("content-type")
        .unwrap_or("application/json")
        .to_owned();
    forward.path = path;
    forward.body = body.to_vec();
    let job = Job { caller, forward };
    if !job.forward.non_repeatable {
        return response(run(context, job).await);
    }
    match request.header("idempotency-key") {
        // Without a key a resend by the client cannot be recognized; the entry itself still does
        // not retry an attempt that may have run.
        None => response(run(context, job).await),
        Some(key) if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES => {
            problem::invalid(400, "idempotency-key: must be 1 to 256 bytes")
        }
        Some(key) => at_most_once::handle(context, job, key).await,
    }
}

/// How a service call ended: a [`relay::Ending`] together with the answer.
#[derive(Clone, Debug)]
pub(super) enum End {
    Answer(wire::Answer),
    /// The call was refused.
    NotRun {
        reason: String,
        retry_after_ms: u64,
    },
    /// The call may have run, but there is no answer for this reason.
    Unknown(String),
}

/// Runs a call to its end and collects its answer.
pub(super) async fn run(context: Arc<Context>, job: Job) -> End {
    let mut parts = relay::start(context, job);
    let mut answer = None;
    while let Some(part) = parts.recv().await {
        match part {
            Part::Answer(whole) => answer = Some(whole),
            Part::Token(_) => {}
            Part::End(Ending::Done) => break,
            Part::End(Ending::NotRun {
                reason,
                retry_after_ms,
            }) => {
                return End::NotRun {
                    reason,
                    retry_after_ms,
                };
            }
            Part::End(Ending::Unknown(reason)) => return End::Unknown(reason),
        }
    }
    answer.map_or_else(|| End::Unknown("the answer broke off".to_owned()), End::Answer)
}

/// HTTP answer for the way in which a call ended.
pub(super) fn response(end: End) -> Response {
    match end {
        End::Answer(answer) => {
            let status = u16::try_from(answer.status).unwrap_or(502);
            Response::new(status, &answer.content_type, answer.body)
                .with_header(problem::OUTCOME_HEADER, "ran")
        }
        End::NotRun {
            reason,
            retry_after_ms,
        } => problem::not_run(&reason, retry_after_ms),
        End::Unknown(reason) => problem::outcome_unknown(&reason),
    }
}
