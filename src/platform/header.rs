//! Header names on requests and answers.

/// Identifier of one attempt, set by the caller; its echo shows which request an answer belongs to.
pub const ATTEMPT_ID: &str = "x-attempt-id";
/// Time that the caller waits, or, from the gateway to an upstream, the time left, in milliseconds.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Signature that an upstream adds to its answer; only its presence is checked.
pub const SIGNATURE: &str = "x-replica-signature";
/// Identifier of the upstream for which a request is meant; any other one answers 421.
pub const TARGET: &str = "x-target-replica";
/// Client account of the request, set by the gateway; callers' values are removed.
pub const ACCOUNT: &str = "x-tenant";
/// Present on an answer if the upstream did not run the request.
pub const NOT_RUN: &str = "x-not-executed";
/// Model that the request asks for.
pub const MODEL: &str = "x-model";
/// Prompt tokens and maximum answer tokens, separated by a comma.
pub const TOKEN_USAGE: &str = "x-token-usage";
/// Caller's estimate of the length of the answer, in tokens.
pub const ANSWER_LENGTH_HINT: &str = "x-length-hint";
/// Identifier of the last stream event that the caller received.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// Priority of the request at the engine, 0 to 9; callers' values are removed and none is set.
pub const PRIORITY: &str = "x-request-priority";

/// Parses the value of [`TOKEN_USAGE`] into prompt tokens and maximum answer tokens.
pub fn parse_token_usage(value: &str) -> Option<(u64, u64)> {
    let (prompt, answer) = value.split_once(',')?;
    Some((prompt.trim().parse().ok()?, answer.trim().parse().ok()?))
}
