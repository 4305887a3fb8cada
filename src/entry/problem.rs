//! Error answers, in the format of the chat completion API.
//!
//! The header `x-heatherramp-outcome` states what is known of the call:
//! `not-run`, `ran` or `unknown`.

use serde_json::Value;
use serde_json::json;

use crate::adapters::http::Response;

/// Header that states the outcome of a call.
pub(super) const OUTCOME_HEADER: &str = "x-heatherramp-outcome";

/// JSON body of an error answer.
pub(super) fn error_body(kind: &str, message: &str) -> Value {
    json!({"error": {"message": message, "type": kind, "param": null, "code": kind}})
}

/// Answer with a 4xx status to an invalid call; nothing ran.
pub(super) fn invalid(status: u16, message: &str) -> Response {
    Response::json(status, &error_body("invalid_request_error", message))
        .with_header(OUTCOME_HEADER, "not-run")
}

/// Answer to a call that was refused; nothing ran.
pub(super) fn not_run(message: &str, retry_after_ms: u64) -> Response {
    let seconds = retry_after_ms.div_ceil(1000).max(1);
    Response::json(503, &error_body("overloaded_error", message))
        .with_header(OUTCOME_HEADER, "not-run")
        .with_header("retry-after", seconds.to_string())
}

/// Answer to a call whose claim the ledger did not confirm; a resend with the key is safe.
pub(super) fn ledger_unreachable(message: &str, retry_after_ms: u64) -> Response {
    let seconds = retry_after_ms.div_ceil(1000).max(1);
    Response::json(503, &error_body("outcome_unknown", message))
        .with_header(OUTCOME_HEADER, "unknown")
        .with_header("retry-after", seconds.to_string())
}

/// Answer to a resend of a call that ran and whose answer is no longer kept.
pub(super) fn answer_gone(status: u16) -> Response {
    let message = format!("the call ran once with status {status}; its answer is not kept any more");
    Response::json(410, &error_body("answer_gone", &message)).with_header(OUTCOME_HEADER, "ran")
}

/// Answer to a call that may or may not have run.
pub(super) fn outcome_unknown(message: &str) -> Response {
    Response::json(502, &error_body("outcome_unknown", message)).with_header(OUTCOME_HEADER, "unknown")
}
