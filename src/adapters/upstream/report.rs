//! Probe of an upstream's liveness and load.

use std::time::Duration;

use bytes::Bytes;
use http::Method;

use super::Client;
use super::Error;
use super::client::Call;
use super::client::MAX_REPLY_BYTES;
use crate::domain::membership::Report;

/// Fetches the report of the upstream at `address`.
///
/// `stall_timeout` limits the wait for the head of the answer, and between two parts of it.
///
/// # Errors
///
/// Any failure of the probe, which does not prove that the upstream is down.
pub async fn fetch_report(client: &Client, address: &str, stall_timeout: Duration) -> Result<Report, Error> {
    let call = Call {
        method: Method::GET,
        address,
        path: "/report",
        headers: Vec::new(),
        body: Bytes::new(),
        is_sent_once: false,
    };
    let response = client.send(call, stall_timeout).await?;
    if !response.status.is_success() {
        return Err(Error::Refused(response.status.as_u16()));
    }
    let body = response.collect(MAX_REPLY_BYTES, stall_timeout).await?;
    serde_json::from_slice(&body).map_err(|_| Error::Broken)
}
