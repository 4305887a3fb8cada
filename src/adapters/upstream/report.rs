//! Probe of an upstream's presence and load.

use std::time::Duration;

use bytes::Bytes;
use http::Method;

use super::Client;
use super::Error;
use super::client::Outgoing;
use super::client::collect;
use crate::domain::membership::Report;

/// Asks the upstream at `address` for its report.
///
/// # Errors
///
/// Any failure; a lost probe proves nothing.
pub async fn fetch_report(client: &Client, address: &str, wait: Duration) -> Result<Report, Error> {
    let out = Outgoing {
        method: Method::GET,
        address,
        path: "/report",
        headers: Vec::new(),
        body: Bytes::new(),
        is_fresh: false,
    };
    let response = client.send(out, wait).await?;
    let body = collect(response.into_body(), wait).await?;
    serde_json::from_slice(&body).map_err(|_| Error::Broken)
}
