//! A caller's request after its checks.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::header;
use http::uri::PathAndQuery;

use crate::domain::catalog::Catalog;
use crate::domain::catalog::Repeat;
use crate::domain::catalog::Route;
use crate::platform::header as wire;

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Headers that this system sets itself, or that are not for upstreams.
const OWN: [&str; 6] = [
    wire::DEADLINE_MS,
    wire::ACCOUNT,
    wire::TARGET,
    wire::PRIORITY,
    wire::NOT_RUN,
    "expect",
];

/// Request that may be sent to upstreams.
pub(super) struct Request {
    /// Identifier that the caller gave it.
    pub(super) id: String,
    pub(super) catalog: Arc<Catalog>,
    pub(super) route: Route,
    /// Service that the route's shares gave it.
    pub(super) service: String,
    pub(super) account: Option<String>,
    pub(super) model: Option<String>,
    /// Prompt and expected answer, in tokens.
    pub(super) tokens: Option<(u64, u64)>,
    pub(super) method: Method,
    pub(super) path: PathAndQuery,
    /// Headers for the upstream, without those of a single send.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// When its head was read.
    pub(super) started: Duration,
    /// When the caller or the route gives it up.
    pub(super) deadline: Duration,
}

impl Request {
    /// Whether a send whose fate is unknown may be followed by another one.
    pub(super) fn may_repeat(&self) -> bool {
        self.route.repeat != Repeat::Once
    }
}

/// Removes the headers that concern one connection only.
pub(super) fn strip_connection(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
}

/// Headers for the upstream.
pub(super) fn upstream_headers(mut headers: HeaderMap, account: Option<&str>) -> HeaderMap {
    strip_connection(&mut headers);
    for name in OWN {
        headers.remove(name);
    }
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::CONTENT_LENGTH);
    if let Some(value) = account.and_then(|a| HeaderValue::from_str(a).ok()) {
        headers.insert(HeaderName::from_static(wire::ACCOUNT), value);
    }
    headers
}

/// Key that a caller presents.
pub(super) fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}
