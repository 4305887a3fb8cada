//! Answers that the gateway gives itself.

use std::time::Duration;

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;

use crate::adapters::http1::Body;

/// Answer of the gateway's own, with a reason in plain text.
pub(super) fn own(status: StatusCode, reason: &str) -> Response<Body> {
    let mut response = Response::new(Body::whole(format!("{reason}\n")));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// Refusal of a request that did not run and never will, with when to come back.
pub(super) fn refused(reason: &str, after: Duration) -> Response<Body> {
    let mut response = own(StatusCode::SERVICE_UNAVAILABLE, reason);
    let seconds = format!("{:.3}", after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
