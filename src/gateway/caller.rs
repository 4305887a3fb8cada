//! Validation of callers' requests: route, key and limits.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http::uri::PathAndQuery;

use super::answer;
use super::context::Context;
use super::dispatch;
use super::intake;
use super::marks::Marks;
use super::request::Request;
use super::request::bearer_token;
use super::request::upstream_headers;
use super::reuse::Reuse;
use crate::adapters::clock;
use crate::adapters::http1::Body;
use crate::adapters::http1::Incoming;
use crate::adapters::http1::Peer;
use crate::adapters::http1::UnreadBody;
use crate::domain::catalog::Access;
use crate::domain::catalog::Repeat;
use crate::domain::catalog::Route;
use crate::domain::quarantine::fingerprint;
use crate::logging;
use crate::platform::header as platform_header;

/// Delay before a caller should retry when no catalog is in force or the gateway shuts down.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Status and reason of the answer to a request that is not sent to upstreams.
struct Refusal {
    status: StatusCode,
    reason: &'static str,
    /// Whether the connection cannot be used again, since the rest of the body is not read.
    must_close: bool,
}

/// Answers one request of a caller.
pub(super) async fn handle(context: Arc<Context>, request: http::Request<Incoming>) -> Response<Body> {
    let started = clock::now();
    let id = header_text(request.headers(), platform_header::ATTEMPT_ID)
        .unwrap_or_default()
        .to_owned();
    match validate(&context, &id, started, request).await {
        Ok(request) => dispatch::run(context, request).await,
        Err(refusal) => {
            let Refusal { status, reason, .. } = refusal;
            context.metrics.refusals.with_label_values(&[reason]).inc();
            logging::REQUEST_REFUSED.log_fields(&[
                ("request", id.as_str().into()),
                ("status", u64::from(status.as_u16()).into()),
                ("reason", reason.into()),
                ("version", logging::optional(context.catalog_version())),
            ]);
            let retry_after = match refusal.must_close {
                true => intake::RETRY_AFTER,
                false => UNAVAILABLE_RETRY_AFTER,
            };
            let mut response = match status {
                StatusCode::SERVICE_UNAVAILABLE => answer::unavailable(reason, retry_after),
                status => answer::plain_text(status, reason),
            };
            response.extensions_mut().insert(UnreadBody);
            if refusal.must_close {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            response
        }
    }
}

/// Checks a request, reads its body and draws its service.
async fn validate(
    context: &Context,
    id: &str,
    started: Duration,
    request: http::Request<Incoming>,
) -> Result<Request, Refusal> {
    let refuse = |status, reason| {
        Err(Refusal {
            status,
            reason,
            must_close: false,
        })
    };
    let Some(catalog) = context.catalog() else {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "no configuration in force");
    };
    let (head, body) = request.into_parts();
    let host = header_text(&head.headers, header::HOST.as_str()).unwrap_or_default();
    let Some(route) = catalog.route(host, head.uri.path()).cloned() else {
        return refuse(StatusCode::NOT_FOUND, "no route");
    };
    let (account, rank) = match catalog.authorize(&route, bearer_token(&head.headers)) {
        Access::Account(account) => (Some(account.name.clone()), account.rank.unwrap_or(route.rank)),
        Access::Public => (None, route.rank),
        Access::Denied => return refuse(StatusCode::UNAUTHORIZED, "unknown key"),
    };
    let limits = &catalog.definition().limits;
    if header_bytes(&head.headers) > limits.head_bytes {
        return refuse(
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "the request head is too large",
        );
    }
    let deadline = deadline(&head.headers, &route, started);
    let is_repeatable = route.repeat != Repeat::Once;
    let is_accepted = || {
        let stop = context.shutdown.stop();
        stop.is_none_or(|stop| stop.accepts(clock::now(), deadline, is_repeatable))
    };
    if !is_accepted() {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, dispatch::STOP_REASON);
    }
    let peer = head.extensions.get::<Peer>().map(|peer| peer.0.to_string());
    let owner = account.clone().or(peer).unwrap_or_default();
    let body = intake::read_body(context, body, limits.body_bytes, owner, deadline).await;
    let body = body.map_err(|(status, reason)| Refusal {
        status,
        reason,
        must_close: true,
    })?;
    if !is_accepted() {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, dispatch::STOP_REASON);
    }
    let deadline = context
        .shutdown
        .stop()
        .map_or(deadline, |stop| deadline.min(stop.answers_end));
    let service = draw_service(&route);
    let path = head.uri.path_and_query().cloned();
    let model = header_text(&head.headers, platform_header::MODEL).map(str::to_owned);
    let stated_tokens =
        header_text(&head.headers, platform_header::TOKEN_USAGE).and_then(platform_header::parse_token_usage);
    let answer_hint =
        header_text(&head.headers, platform_header::ANSWER_LENGTH_HINT).and_then(|v| v.trim().parse().ok());
    let tokens =
        stated_tokens.map(|(prompt, max_answer)| (prompt, answer_hint.unwrap_or(max_answer).min(max_answer)));
    let path = path.unwrap_or_else(|| PathAndQuery::from_static("/"));
    let marks = Marks::new(
        platform_header::prompt(&head.headers).unwrap_or_default(),
        fingerprint(path.as_str(), account.as_deref(), &body),
    );
    let service_entry = catalog.service(&service).filter(|_| route.session_affinity);
    let reuse =
        service_entry.and_then(|service| Reuse::new(context, service, model.as_deref()?, &marks, tokens));
    let priority = context.settings.engine_priority.then_some(rank);
    Ok(Request {
        id: id.to_owned(),
        marks,
        deadline,
        rank,
        model,
        tokens,
        reuse,
        service,
        method: head.method,
        path,
        headers: upstream_headers(head.headers, account.as_deref(), priority),
        account,
        body,
        started,
        route,
        catalog,
    })
}

/// Time at which the caller stops waiting, at most the route's timeout after `started`.
fn deadline(headers: &HeaderMap, route: &Route, started: Duration) -> Duration {
    let requested_ms =
        header_text(headers, platform_header::DEADLINE_MS).and_then(|v| v.trim().parse::<f64>().ok());
    let requested_ms = requested_ms.map_or(route.timeout_ms, |ms| ms.max(0.0) as u64);
    started + Duration::from_millis(requested_ms.min(route.timeout_ms))
}

/// Draws the service for one request at random, by the weights of the route's shares.
fn draw_service(route: &Route) -> String {
    let total: u64 = route.shares.iter().map(|s| s.weight).sum();
    let mut draw = rand::random_range(0..total.max(1));
    for share in &route.shares {
        if draw < share.weight {
            return share.service.clone();
        }
        draw -= share.weight;
    }
    // Not reached with a validated route, whose weights do not add up to 0.
    route.shares[0].service.clone()
}

/// Size of the headers as sent in HTTP/1.1, in bytes.
fn header_bytes(headers: &HeaderMap) -> usize {
    let header_line_bytes =
        |(name, value): (&http::HeaderName, &http::HeaderValue)| name.as_str().len() + value.len() + 4;
    headers.iter().map(header_line_bytes).sum()
}

/// Value of a header, if it is present and visible ASCII.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
