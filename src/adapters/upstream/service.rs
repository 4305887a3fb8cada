//! Calls to services that are no model engines.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use tokio::time::timeout;

use super::Client;
use super::Error;
use super::client::Call;
use super::client::MAX_ANSWER_BYTES;
use crate::adapters::memory::Hold;

/// Request to a service.
#[derive(Debug)]
pub struct Request<'a> {
    /// Host and port of the service.
    pub address: &'a str,
    /// Identifier of the request, which the answer repeats.
    pub id: &'a str,
    /// HTTP method.
    pub method: Method,
    /// Path of the URL.
    pub path: &'a str,
    /// Media type of the body.
    pub content_type: &'a str,
    /// Body of the request.
    pub body: Bytes,
    /// Longest wait for the head of the answer, and between two parts of it.
    pub stall_timeout: Duration,
    /// Longest time for the whole answer.
    pub time_limit: Duration,
    /// Holding that the answer is charged to, until it is dropped.
    pub hold: Hold,
}

/// Whole answer of a service.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Body of the answer.
    pub body: Bytes,
}

/// Sends a request once, on a new connection, and reads the whole answer.
///
/// # Errors
///
/// `NotSent` when no byte was sent; after any other error the service may have run the request.
/// `Mismatch` when the answer belongs to another request.
pub async fn call_service(client: &Client, request: Request<'_>) -> Result<Answer, Error> {
    let time_limit = request.time_limit;
    timeout(time_limit, exchange(client, request))
        .await
        .unwrap_or(Err(Error::Timeout))
}

async fn exchange(client: &Client, request: Request<'_>) -> Result<Answer, Error> {
    let call = Call {
        method: request.method,
        address: request.address,
        path: request.path,
        headers: vec![
            ("content-type", request.content_type.to_owned()),
            ("x-request-id", request.id.to_owned()),
        ],
        body: request.body,
        is_sent_once: true,
    };
    let response = client.send(call, request.stall_timeout).await?;
    if response.header("x-request-id") != Some(request.id) {
        return Err(Error::Mismatch);
    }
    let content_type = response
        .header("content-type")
        .unwrap_or("application/octet-stream")
        .to_owned();
    let status = response.status.as_u16();
    let body = response
        .collect_held(MAX_ANSWER_BYTES, request.stall_timeout, request.hold)
        .await?;
    Ok(Answer {
        status,
        content_type,
        body,
    })
}
