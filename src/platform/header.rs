//! Header names on requests and answers.

/// Identifier of one attempt of a caller; upstreams echo it.
pub const ATTEMPT_ID: &str = "x-attempt-id";
/// Milliseconds that the caller waits, or that an upstream may work.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Signature of the upstream on its answer.
pub const SIGNATURE: &str = "x-replica-signature";
/// Upstream for which a request is meant; any other one answers 421.
pub const TARGET: &str = "x-target-replica";
/// Client account of the request.
pub const ACCOUNT: &str = "x-tenant";
/// Mark of an answer whose request was not run.
pub const NOT_RUN: &str = "x-not-executed";
/// Model that the request asks for.
pub const MODEL: &str = "x-model";
/// Prompt tokens and most answer tokens, joined by a comma.
pub const TOKEN_USAGE: &str = "x-token-usage";
/// Caller's estimate of the answer, in tokens.
pub const ANSWER_LENGTH_HINT: &str = "x-length-hint";
/// Identifier of the last event that the caller has.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// Urgency at the engine, 0 to 9.
pub const PRIORITY: &str = "x-request-priority";

/// Prompt tokens and most answer tokens of a request.
pub fn parse_token_usage(value: &str) -> Option<(u64, u64)> {
    let (prompt, answer) = value.split_once(',')?;
    Some((prompt.trim().parse().ok()?, answer.trim().parse().ok()?))
}
