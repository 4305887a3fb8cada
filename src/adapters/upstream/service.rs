//! Calls of plain services.

use std::time::Duration;

use bytes::Bytes;
use http::Method;

use super::Client;
use super::Error;
use super::client::Outgoing;
use super::client::collect;

/// A call of a plain service.
#[derive(Debug)]
pub struct Request<'a> {
    /// Address of the service.
    pub address: &'a str,
    /// Request identity that the answer repeats.
    pub id: &'a str,
    /// Method.
    pub method: Method,
    /// Path.
    pub path: &'a str,
    /// Media type of the body.
    pub content_type: &'a str,
    /// Body.
    pub body: Bytes,
    /// Longest wait for the head of the answer and between its parts.
    pub stall: Duration,
}

/// Whole answer of a plain service.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content_type: String,
    /// Body.
    pub body: Bytes,
}

/// Makes one call.
///
/// # Errors
///
/// `NotSent` when no byte went out; any other leaves open whether it ran.
pub async fn call_service(client: &Client, request: Request<'_>) -> Result<Answer, Error> {
    let out = Outgoing {
        method: request.method,
        address: request.address,
        path: request.path,
        headers: vec![
            ("content-type", request.content_type.to_owned()),
            ("x-request-id", request.id.to_owned()),
        ],
        body: request.body,
        is_fresh: true,
    };
    let response = client.send(out, request.stall).await?;
    let header = |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok());
    if header("x-request-id") != Some(request.id) {
        return Err(Error::Crossed);
    }
    let content_type = header("content-type")
        .unwrap_or("application/octet-stream")
        .to_owned();
    let status = response.status().as_u16();
    let body = collect(response.into_body(), request.stall).await?;
    Ok(Answer {
        status,
        content_type,
        body,
    })
}
