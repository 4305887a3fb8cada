//! A validated request of a caller.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::header;
use http::uri::PathAndQuery;

use super::marks::Marks;
use super::reuse::Reuse;
use crate::domain::catalog::Catalog;
use crate::domain::catalog::Repeat;
use crate::domain::catalog::Route;
use crate::domain::reuse::Plan;
use crate::platform::header as platform_header;

/// Headers that apply to a single connection and must not be forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Headers that the gateway sets itself, or that upstreams must not receive from callers.
const STRIPPED_HEADERS: [&str; 6] = [
    platform_header::DEADLINE_MS,
    platform_header::ACCOUNT,
    platform_header::TARGET,
    platform_header::PRIORITY,
    platform_header::NOT_RUN,
    "expect",
];

/// Request that may be sent to upstreams.
pub(super) struct Request {
    /// Value of the caller's `x-attempt-id` header; empty if it sent none.
    pub(super) id: String,
    /// Catalog in force when the request arrived; a later one does not affect the request.
    pub(super) catalog: Arc<Catalog>,
    pub(super) route: Route,
    /// Name of the service, drawn by the weights of the route's shares.
    pub(super) service: String,
    /// Name of the client account, if the caller presented a known key.
    pub(super) account: Option<String>,
    /// Priority of the account, or else of the route; 0 is the most urgent.
    pub(super) rank: u8,
    pub(super) model: Option<String>,
    /// Prompt and expected answer lengths, in tokens, if the caller stated them.
    pub(super) tokens: Option<(u64, u64)>,
    /// What the request may be quarantined for.
    pub(super) marks: Marks,
    /// Expected reuse of the prompt; none where that does not count.
    pub(super) reuse: Option<Reuse>,
    pub(super) method: Method,
    pub(super) path: PathAndQuery,
    /// Headers for upstreams, without those that differ between sends.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// When the request's head was read.
    pub(super) started: Duration,
    /// Time at which the caller stops waiting.
    pub(super) deadline: Duration,
}

impl Request {
    /// Expected reuse of the prompt, if that counts.
    pub(super) fn plan(&self) -> Option<&Plan> {
        self.reuse.as_ref().map(Reuse::plan)
    }

    /// Whether the request may be sent again when its outcome at an upstream is unknown.
    pub(super) fn is_repeatable(&self) -> bool {
        self.route.repeat != Repeat::Once
    }
}

/// Removes the hop-by-hop headers, including those that the `connection` header names.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let connection_options: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP_HEADERS.iter().chain(&connection_options) {
        headers.remove(name);
    }
}

/// Headers for upstreams: those of the caller that may be forwarded, the client account, and the priority if
/// upstreams are to be told.
pub(super) fn upstream_headers(
    mut headers: HeaderMap,
    account: Option<&str>,
    priority: Option<u8>,
) -> HeaderMap {
    strip_hop_by_hop(&mut headers);
    for name in STRIPPED_HEADERS {
        headers.remove(name);
    }
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::CONTENT_LENGTH);
    if let Some(value) = account.and_then(|a| HeaderValue::from_str(a).ok()) {
        headers.insert(HeaderName::from_static(platform_header::ACCOUNT), value);
    }
    if let Some(priority) = priority {
        let value = HeaderValue::from(u16::from(priority.min(platform_header::MAX_PRIORITY)));
        headers.insert(HeaderName::from_static(platform_header::PRIORITY), value);
    }
    headers
}

/// Key that a caller presents as a bearer token.
pub(super) fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}
