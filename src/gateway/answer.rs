//! Answers that the gateway generates itself.

use std::time::Duration;

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;

use crate::adapters::http1::Body;

/// Answer with a reason in plain text.
pub(super) fn plain_text(status: StatusCode, reason: &str) -> Response<Body> {
    let mut response = Response::new(Body::whole(format!("{reason}\n")));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

/// Refusal of a request that was not executed and will not be, with the delay before a retry.
pub(super) fn unavailable(reason: &str, retry_after: Duration) -> Response<Body> {
    let mut response = plain_text(StatusCode::SERVICE_UNAVAILABLE, reason);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
