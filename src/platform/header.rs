//! Header names on requests and answers.

use std::borrow::Cow;
use std::time::Duration;

use http::HeaderMap;
use xxhash_rust::xxh3::xxh3_128;

use crate::domain::limit::Rate;
use crate::domain::reuse::Part;

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
/// Present on every answer of an upstream that is shutting down.
pub const LEAVING: &str = "server-leaving";
/// On a 503 of an upstream: seconds for which it wants no request from this gateway.
pub const RETRY_AFTER: &str = "retry-after";
/// On an answer of an upstream: requests per second that it takes from all gateways together.
pub const LIMIT: &str = "server-limit";
/// On an answer to a health check: identifier of the upstream.
pub const REPLICA_ID: &str = "x-replica-id";
/// On an answer to a health check: remaining time of the upstream's cold start, in milliseconds.
pub const COLD_REMAINING_MS: &str = "x-cold-remaining-ms";
/// Model that the request asks for.
pub const MODEL: &str = "x-model";
/// Prompt tokens and maximum answer tokens, separated by a comma.
pub const TOKEN_USAGE: &str = "x-token-usage";
/// Caller's estimate of the length of the answer, in tokens.
pub const ANSWER_LENGTH_HINT: &str = "x-length-hint";
/// Identifier of the last stream event that the caller received.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// Parts of the prompt in order, as entries `ID:TOKENS` separated by commas; the last part belongs to this
/// request alone.
pub const PROMPT_PARTS: &str = "x-prefix-hash";
/// Priority of the request at the engine, 0 to [`MAX_PRIORITY`], 0 first; engines take 5 without it. Set by the
/// gateway where the settings say so; callers' values are removed.
pub const PRIORITY: &str = "x-request-priority";
/// Least urgent value of [`PRIORITY`].
pub const MAX_PRIORITY: u8 = 9;

/// Longest identifier of a prompt part that is kept as it stands, in bytes; a longer one is known by its hash.
const MAX_PROMPT_PART_BYTES: usize = 64;

/// Value of [`PROMPT_PARTS`]; that of a header given several times is one list.
pub fn prompt(headers: &HeaderMap) -> Option<String> {
    let mut values = headers
        .get_all(PROMPT_PARTS)
        .iter()
        .map(|v| String::from_utf8_lossy(v.as_bytes()));
    let first = values.next()?.into_owned();
    Some(values.fold(first, |all, value| all + "," + &value))
}

/// Identifiers in the value of [`PROMPT_PARTS`], in lower case, without that of the last part.
///
/// Empty entries, and those whose identifier is not hexadecimal, name no part.
pub fn prompt_parts(value: &str) -> impl Iterator<Item = Cow<'_, str>> {
    let shared = value.trim_end_matches([',', ' ']).rsplit_once(',');
    let entries = shared.into_iter().flat_map(|(shared, _)| shared.split(','));
    entries.filter_map(|entry| part_id(entry.split(':').next()?))
}

/// Parses the value of [`PROMPT_PARTS`] into all parts with their numbers of tokens, up to the first entry that is
/// not valid: what follows an unknown part cannot be reused.
pub fn parse_prompt(value: &str) -> Vec<Part> {
    let parse_part = |entry: &str| {
        let (id, tokens) = entry.split_once(':')?;
        Some(Part {
            id: part_id(id)?.into_owned(),
            tokens: tokens.trim().parse().ok()?,
        })
    };
    let entries = value.split(',').filter(|entry| !entry.trim().is_empty());
    entries.map_while(parse_part).collect()
}

/// Identifier of a prompt part, equal for all spellings; none for what is not hexadecimal.
fn part_id(text: &str) -> Option<Cow<'_, str>> {
    let id = text.trim();
    if id.is_empty() || !id.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    let id = match id.bytes().any(|b| b.is_ascii_uppercase()) {
        true => Cow::Owned(id.to_ascii_lowercase()),
        false => Cow::Borrowed(id),
    };
    match id.len() > MAX_PROMPT_PART_BYTES {
        true => Some(Cow::Owned(format!("{:032x}", xxh3_128(id.as_bytes())))),
        false => Some(id),
    }
}

/// Parses the value of [`TOKEN_USAGE`] into prompt tokens and maximum answer tokens.
pub fn parse_token_usage(value: &str) -> Option<(u64, u64)> {
    let (prompt, answer) = value.split_once(',')?;
    Some((prompt.trim().parse().ok()?, answer.trim().parse().ok()?))
}

/// Parses the value of [`LIMIT`]; none for what is not a rate.
pub fn parse_limit(value: &str) -> Option<Rate> {
    let per_second: f64 = value.trim().parse().ok()?;
    Rate::try_from(per_second).ok()
}

/// Parses the value of [`RETRY_AFTER`]; none for a date or an unreadable number.
pub fn parse_retry_after(value: &str) -> Option<Duration> {
    let seconds: f64 = value.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
