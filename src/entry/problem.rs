//! Error answers, in the form of the chat completion interface.
//!
//! The header `x-heatherramp-outcome` states what is known of the call:
//! `not-run`, `ran` or `unknown`.

use serde_json::Value;
use serde_json::json;

use crate::adapters::http::Response;

/// Header that states the outcome of a call.
pub(super) const OUTCOME: &str = "x-heatherramp-outcome";

/// JSON of an error.
pub(super) fn body(kind: &str, message: &str) -> Value {
    json!({"error": {"message": message, "type": kind, "param": null, "code": kind}})
}

/// Answer to a malformed call; nothing ran.
pub(super) fn invalid(status: u16, message: &str) -> Response {
    Response::json(status, &body("invalid_request_error", message)).with_header(OUTCOME, "not-run")
}

/// Answer to a call that was refused; nothing ran.
pub(super) fn not_run(message: &str, retry_after_ms: u64) -> Response {
    let seconds = retry_after_ms.div_ceil(1000).max(1);
    Response::json(503, &body("overloaded_error", message))
        .with_header(OUTCOME, "not-run")
        .with_header("retry-after", seconds.to_string())
}

/// Answer to a call whose key could not be looked up; a resend with the key is safe.
pub(super) fn undecided(message: &str, retry_after_ms: u64) -> Response {
    let seconds = retry_after_ms.div_ceil(1000).max(1);
    Response::json(503, &body("outcome_unknown", message))
        .with_header(OUTCOME, "unknown")
        .with_header("retry-after", seconds.to_string())
}

/// Answer to a resend of a call that ran, when its answer is not kept any more.
pub(super) fn answer_gone(status: u16) -> Response {
    let message = format!("the call ran once with status {status}; its answer is not kept any more");
    Response::json(410, &body("answer_gone", &message)).with_header(OUTCOME, "ran")
}

/// Answer to a call that may or may not have run.
pub(super) fn unknown(message: &str) -> Response {
    Response::json(502, &body("outcome_unknown", message)).with_header(OUTCOME, "unknown")
}
