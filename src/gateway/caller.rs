//! Requests of callers: route, key, limits, and what the answer is logged as.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http::header;
use http::uri::PathAndQuery;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;

use super::answer;
use super::attempt;
use super::context::Context;
use super::request::Request;
use super::request::bearer;
use super::request::upstream_headers;
use crate::adapters::clock;
use crate::adapters::http1::Body;
use crate::domain::catalog::Grant;
use crate::domain::catalog::Route;
use crate::logging;
use crate::platform::header as wire;

/// Time to come back after a refusal for want of a controller or a target.
const COME_BACK: Duration = Duration::from_millis(400);

/// Why a request is not passed on.
struct Refusal {
    status: StatusCode,
    reason: &'static str,
}

/// Answers one request.
pub(super) async fn handle(context: Arc<Context>, request: http::Request<Incoming>) -> Response<Body> {
    let started = clock::now();
    let id = text(request.headers(), wire::ATTEMPT_ID)
        .unwrap_or_default()
        .to_owned();
    match check(&context, &id, started, request).await {
        Ok(request) => attempt::run(context, request).await,
        Err(refusal) => {
            let Refusal { status, reason } = refusal;
            context.metrics.refusals.with_label_values(&[reason]).inc();
            logging::REQUEST_REFUSED.log_fields(&[
                ("request", id.as_str().into()),
                ("status", u64::from(status.as_u16()).into()),
                ("reason", reason.into()),
                ("version", context.version().into()),
            ]);
            match status {
                StatusCode::SERVICE_UNAVAILABLE => answer::refused(reason, COME_BACK),
                status => answer::own(status, reason),
            }
        }
    }
}

async fn check(
    context: &Context,
    id: &str,
    started: Duration,
    request: http::Request<Incoming>,
) -> Result<Request, Refusal> {
    let refuse = |status, reason| Err(Refusal { status, reason });
    if context.is_closed() {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "shutting down");
    }
    let Some(catalog) = context.catalog() else {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "no configuration in force");
    };
    let (head, body) = request.into_parts();
    let host = text(&head.headers, header::HOST.as_str()).unwrap_or_default();
    let Some(route) = catalog.route(host, head.uri.path()).cloned() else {
        return refuse(StatusCode::NOT_FOUND, "no route");
    };
    let account = match catalog.grant(&route, bearer(&head.headers)) {
        Grant::Account(account) => Some(account.name.clone()),
        Grant::Public => None,
        Grant::Denied => return refuse(StatusCode::UNAUTHORIZED, "unknown key"),
    };
    let limits = &catalog.definition().limits;
    if head_size(&head.headers) > limits.head_bytes {
        return refuse(
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "the request head is too large",
        );
    }
    let body = match Limited::new(body, limits.body_bytes).collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return refuse(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large or cut"),
    };
    let service = share(&route);
    let path = head.uri.path_and_query().cloned();
    let model = text(&head.headers, wire::MODEL).map(str::to_owned);
    let tokens = text(&head.headers, wire::TOKEN_USAGE).and_then(wire::parse_token_usage);
    let expected = text(&head.headers, wire::ANSWER_LENGTH_HINT).and_then(|v| v.trim().parse().ok());
    let tokens = tokens.map(|(prompt, most)| (prompt, expected.unwrap_or(most).min(most)));
    Ok(Request {
        id: id.to_owned(),
        deadline: deadline(&head.headers, &route, started),
        model,
        tokens,
        service,
        method: head.method,
        path: path.unwrap_or_else(|| PathAndQuery::from_static("/")),
        headers: upstream_headers(head.headers, account.as_deref()),
        account,
        body,
        started,
        route,
        catalog,
    })
}

/// When the caller or the route gives the request up.
fn deadline(headers: &HeaderMap, route: &Route, started: Duration) -> Duration {
    let asked = text(headers, wire::DEADLINE_MS).and_then(|v| v.trim().parse::<f64>().ok());
    let asked = asked.map_or(route.timeout_ms, |ms| ms.max(0.0) as u64);
    started + Duration::from_millis(asked.min(route.timeout_ms))
}

/// Service for one request, drawn by the weights of the route's shares.
fn share(route: &Route) -> String {
    let total: u64 = route.shares.iter().map(|s| s.weight).sum();
    let mut draw = rand::random_range(0..total.max(1));
    for share in &route.shares {
        if draw < share.weight {
            return share.service.clone();
        }
        draw -= share.weight;
    }
    route.shares[0].service.clone()
}

fn head_size(headers: &HeaderMap) -> usize {
    let size = |(name, value): (&http::HeaderName, &http::HeaderValue)| name.as_str().len() + value.len() + 4;
    headers.iter().map(size).sum()
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
