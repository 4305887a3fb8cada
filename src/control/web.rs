//! HTTP routes of the control daemon.
//!
//! | path | method | purpose |
//! |---|---|---|
//! | `/announce` | POST | announcement of a VM |
//! | `/operator/changes` | POST | change by an operator |
//! | `/operator/voters` | POST | admission of a control process to the replicated log |
//! | `/operator/status` | GET | status of the whole system |
//! | `/live`, `/ready`, `/metrics` | GET | liveness, readiness and metrics, for the platform |

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;

use super::metrics::Metrics;
use super::operator;
use crate::adapters::control::Client;
use crate::adapters::control::Error;
use crate::adapters::http::Request;
use crate::adapters::http::Response;
use crate::adapters::wire;
use crate::adapters::wire::request::Kind;
use crate::logging;
use crate::settings::Control;

/// Longest wait for the leader's answer, over all tries.
const LEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// State that the HTTP handlers share.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) settings: Control,
    pub(super) client: Client,
    pub(super) metrics: Metrics,
}

/// Answers one request.
pub(super) async fn handle(server: Arc<Server>, request: Request) -> Response {
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/announce") => server.handle_announcement(&request).await,
        ("GET", "/live" | "/ready") => Response::new(200, "text/plain", "ok\n"),
        ("GET", "/metrics") => Response::new(200, "text/plain; version=0.0.4", server.metrics.text()),
        (_, path) if path.starts_with("/operator/") => server.handle_operator(&request).await,
        _ => error_response(404, "no such path"),
    }
}

impl Server {
    async fn handle_announcement(&self, request: &Request) -> Response {
        let Some(body) = &request.body else {
            return error_response(413, "the announcement is too large");
        };
        let announce = wire::Announce {
            announcement_json: body.to_vec(),
        };
        let call = self
            .client
            .call(Kind::Announce(announce), Duration::from_secs(1), LEADER_TIMEOUT);
        match call.await {
            Ok(_) => Response::json(200, &json!({"announced": true})),
            Err(Error::Refused(reason)) => {
                logging::ANNOUNCEMENT_REFUSED.log(format_args!("{reason}"));
                error_response(400, &reason)
            }
            Err(e) => error_response(503, &e.to_string()),
        }
    }

    async fn handle_operator(&self, request: &Request) -> Response {
        let key = request.bearer_token().unwrap_or("");
        let Some(name) = operator::authenticate(&self.settings, key) else {
            return error_response(401, "unknown operator key");
        };
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/operator/changes") => self.handle_change(name, request).await,
            ("POST", "/operator/voters") => self.add_voter(request).await,
            ("GET", "/operator/status") => match self.client.status(LEADER_TIMEOUT).await {
                Ok(status) => Response::json(200, &status),
                Err(e) => error_response(503, &e.to_string()),
            },
            _ => error_response(404, "no such path"),
        }
    }

    async fn handle_change(&self, name: &str, request: &Request) -> Response {
        let Some(body) = &request.body else {
            return error_response(413, "the change is too large");
        };
        let parsed = serde_json::from_slice::<operator::Request>(body).map_err(|e| e.to_string());
        let command = parsed.and_then(|request| operator::validate(&self.settings, name, request));
        let command = match command {
            Ok(command) => command,
            Err(reason) => return error_response(400, &reason),
        };
        match self.client.propose(&command, LEADER_TIMEOUT).await {
            Ok(reply) => {
                logging::OPERATOR_CHANGE.log(format_args!("operator={name} reply={reply:?}"));
                Response::json(200, &reply)
            }
            Err(e) => error_response(503, &e.to_string()),
        }
    }

    async fn add_voter(&self, request: &Request) -> Response {
        let body = request.body.clone().unwrap_or_default();
        let identity = String::from_utf8_lossy(&body).trim().to_owned();
        let name = identity.split('~').next().unwrap_or("");
        if !self.settings.control.iter().any(|p| p.name == name) {
            return error_response(400, "the identity names no control process of the settings");
        }
        let add = Kind::AddVoter(wire::AddVoter { identity });
        match self
            .client
            .call(add, Duration::from_secs(1), LEADER_TIMEOUT)
            .await
        {
            Ok(_) => Response::json(200, &json!({"admitted": true})),
            Err(Error::Refused(reason)) => error_response(409, &reason),
            Err(e) => error_response(503, &e.to_string()),
        }
    }
}

fn error_response(status: u16, message: &str) -> Response {
    Response::json(status, &json!({"error": {"message": message}}))
}
