//! Readiness and metrics, served to load balancers and monitoring.

use std::sync::Arc;

use http::Request;
use http::Response;
use http::StatusCode;

use super::context::Context;
use super::heartbeat;
use crate::adapters::http1::Body;
use crate::adapters::http1::Incoming;
use crate::adapters::http1::Incomplete;
use crate::adapters::http1::UnreadBody;
use crate::adapters::http1::collect_held;
use crate::domain::memory::Kind;
use crate::platform::path;

/// Largest heartbeat that is accepted.
const MAX_HEARTBEAT_BYTES: usize = 64 << 10;

/// Answers one request to the port for readiness or the one for metrics; both serve the same paths.
pub(super) async fn handle(context: Arc<Context>, request: Request<Incoming>) -> Response<Body> {
    match path::parse(request.method(), request.uri().path()) {
        path::Call::Heartbeat(id) => {
            let id = id.into_owned();
            let hold = context.budgets.status.open(Kind::Body, None);
            let max_pause = context.intake.body_pause();
            let mut body = request.into_body();
            let body = collect_held(&mut body, MAX_HEARTBEAT_BYTES, max_pause, hold).await;
            let (status, text) = match body {
                Ok(body) => heartbeat::handle(&context, &id, &body).await,
                Err(Incomplete::TooLarge) => (StatusCode::PAYLOAD_TOO_LARGE, String::new()),
                Err(_) => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
            };
            let mut response = answer(status, text);
            response.extensions_mut().insert(UnreadBody);
            return response;
        }
        path::Call::Leave(id) => {
            let (status, text) = heartbeat::handle_leave(&context, &id).await;
            return answer(status, text);
        }
        path::Call::Invalid(reason) => return answer(StatusCode::BAD_REQUEST, reason.to_owned()),
        _ => {}
    }
    let (status, text) = match request.uri().path() {
        "/readyz" if context.is_ready() => (StatusCode::OK, "ready\n".to_owned()),
        "/readyz" => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        "/metrics" => (StatusCode::OK, context.metrics.text()),
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    answer(status, text)
}

fn answer(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(Body::whole(text));
    *response.status_mut() = status;
    response
}
