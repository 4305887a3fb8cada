//! HTTP routes of the entry daemon.
//!
//! | path | method | purpose |
//! |---|---|---|
//! | `/v1/chat/completions` | POST | chat completion, buffered or streamed |
//! | `/v1/models` | GET | environments that the key may call |
//! | `/v1/services/{environment}/...` | any | call of a plain service |
//! | `/live`, `/ready`, `/metrics` | GET | liveness, readiness and metrics, for the platform |

use std::sync::Arc;

use serde_json::json;

use super::account;
use super::chat;
use super::context::Context;
use super::problem;
use super::service;
use crate::adapters::http::Request;
use crate::adapters::http::Response;

/// Answers one request.
pub(super) async fn handle(context: Arc<Context>, request: Request) -> Response {
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/v1/chat/completions") => chat::handle(context, request).await,
        (_, "/v1/chat/completions") => {
            problem::invalid(405, "the method must be POST").with_header("allow", "POST")
        }
        ("GET", "/v1/models") => models(&context, &request),
        (_, path) if path.starts_with(service::PATH_PREFIX) => service::handle(context, request).await,
        ("GET", "/live") => Response::new(200, "text/plain", "live\n"),
        ("GET", "/ready") => ready(&context),
        ("GET", "/metrics") => Response::new(200, "text/plain; version=0.0.4", context.metrics.text()),
        _ => problem::invalid(404, "no such path"),
    }
}

/// Readiness for the platform's load balancer; fails first in a graceful shutdown.
fn ready(context: &Context) -> Response {
    if context.is_draining() {
        return Response::new(503, "text/plain", "draining\n");
    }
    if !context.has_lease() {
        return Response::new(503, "text/plain", "no lease\n");
    }
    Response::new(200, "text/plain", "ready\n")
}

fn models(context: &Context, request: &Request) -> Response {
    let key = request.bearer_token().unwrap_or("");
    let names: Vec<String> = context.lock().state.environments.keys().cloned().collect();
    let allowed = names
        .iter()
        .filter(|n| account::authenticate(context, n, key).is_ok());
    let data: Vec<_> = allowed.map(|n| json!({"id": n, "object": "model"})).collect();
    Response::json(200, &json!({"object": "list", "data": data}))
}
