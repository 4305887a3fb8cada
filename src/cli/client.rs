//! HTTP client of the operator interface.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http_body_util::Full;
use hyper_util::client::legacy::Client as Legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;
use tokio::time::timeout;

use super::Error;
use crate::adapters::clock;
use crate::adapters::http1::collect;
use crate::domain::control::Status;
use crate::domain::state::Change;
use crate::domain::state::Reply;

/// Longest wait for the whole answer of one control process.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);
/// Largest answer of a control process.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// HTTP client that tries several control processes in turn.
#[derive(Clone, Debug)]
pub struct Client {
    addresses: Vec<String>,
    key: String,
    http: Legacy<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client for the HTTP addresses of control processes that presents an operator's key.
    pub fn new(addresses: &[String], key: &str) -> Self {
        Client {
            addresses: addresses.to_vec(),
            key: key.to_owned(),
            http: Legacy::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Requests a change under a new identifier; returns the version of the changed document or zone
    /// and the log index of the change.
    ///
    /// If a control process does not answer, the next one gets the same identifier, so the
    /// change is made at most once.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`], [`Error::Refused`] or [`Error::Conflict`].
    pub async fn change(&self, change: &Change) -> Result<(u64, u64), Error> {
        self.change_with_id(&clock::unique_id(), change).await
    }

    /// Requests a change under the identifier `request`.
    ///
    /// # Errors
    ///
    /// As for [`Client::change`].
    pub async fn change_with_id(&self, request: &str, change: &Change) -> Result<(u64, u64), Error> {
        let body = json!({"request": request, "change": change}).to_string();
        let answer = self.call(Method::POST, "/operator/changes", body).await?;
        match serde_json::from_value(answer).map_err(|_| Error::Unreachable)? {
            Reply::Accepted { version, index } => Ok((version, index)),
            Reply::Refused { reason } => Err(Error::Refused(reason)),
            Reply::Conflict { current, operator } => Err(Error::Conflict(format!(
                "{operator} made version {current} first"
            ))),
            Reply::Ledger(_) => Err(Error::Unreachable),
        }
    }

    /// Fetches the status of the system.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] or [`Error::Refused`].
    pub async fn status(&self) -> Result<Status, Error> {
        let answer = self.call(Method::GET, "/operator/status", String::new()).await?;
        serde_json::from_value(answer).map_err(|_| Error::Unreachable)
    }

    /// Adds the control process with this identity as a voter.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] or [`Error::Refused`].
    pub async fn add_voter(&self, identity: &str) -> Result<(), Error> {
        let body = identity.to_owned();
        self.call(Method::POST, "/operator/voters", body)
            .await
            .map(|_| ())
    }

    async fn call(&self, method: Method, path: &str, body: String) -> Result<Value, Error> {
        for address in &self.addresses {
            let request = http::Request::builder()
                .method(method.clone())
                .uri(format!("http://{address}{path}"))
                .header("authorization", format!("Bearer {}", self.key))
                .body(Full::from(body.clone()))
                .map_err(|e| Error::Input(e.to_string()))?;
            let exchange = async {
                let response = self.http.request(request).await.ok()?;
                let status = response.status().as_u16();
                let body = collect(response.into_body(), MAX_ANSWER_BYTES).await.ok()?;
                Some((status, body))
            };
            let answer = timeout(ANSWER_TIMEOUT, exchange).await;
            let Ok(Some((status, body))) = answer else {
                continue;
            };
            let value: Value = serde_json::from_slice(&body).unwrap_or_default();
            if status == 200 {
                return Ok(value);
            }
            // 503: the process did not get the leader's answer; another one may.
            if status != 503 {
                let reason = value["error"]["message"].as_str().unwrap_or("no reason given");
                return Err(Error::Refused(reason.to_owned()));
            }
        }
        Err(Error::Unreachable)
    }
}
