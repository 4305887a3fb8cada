//! Readiness and metrics, served to load balancers and monitoring.

use std::sync::Arc;

use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;

use super::context::Context;
use crate::adapters::http1::Body;

/// Answers one request to the status address.
pub(super) async fn handle(context: Arc<Context>, request: Request<Incoming>) -> Response<Body> {
    let (status, text) = match request.uri().path() {
        "/readyz" if context.is_ready() => (StatusCode::OK, "ready\n".to_owned()),
        "/readyz" => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        "/metrics" => (StatusCode::OK, context.metrics.text()),
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut response = Response::new(Body::whole(text));
    *response.status_mut() = status;
    response
}
