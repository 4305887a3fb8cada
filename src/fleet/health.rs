//! Health checks of targets whose permits run short.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http_body_util::Full;
use tokio::time::timeout;

use crate::adapters::http1;
use crate::adapters::http1::collect;
use crate::domain::pace::Check;
use crate::platform::header;

/// Time limit for the answer to a health check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest cold start that is believed, in milliseconds.
const MAX_COLD_MS: f64 = 600_000.0;
/// Largest body of an answer to a health check, in bytes.
const MAX_BODY_BYTES: usize = 4 << 10;

/// Sends a health check; returns the remaining time of the target's cold start, or none without a usable answer.
pub(super) async fn send(client: &http1::Client, check: &Check, address: &str) -> Option<Duration> {
    timeout(CHECK_TIMEOUT, answer(client, check, address))
        .await
        .ok()
        .flatten()
}

async fn answer(client: &http1::Client, check: &Check, address: &str) -> Option<Duration> {
    let request = Request::builder()
        .method(Method::GET)
        .uri(&check.path)
        .header(http::header::HOST, address)
        .header(header::TARGET, &check.target)
        .body(Full::new(Bytes::new()))
        .ok()?;
    let sent = client.send(address.parse().ok()?, request, false).await;
    let (response, connection) = sent.ok()?;
    let (head, body) = response.into_parts();
    collect(body, MAX_BODY_BYTES).await.ok()?;
    client.return_connection(connection);
    // The address may have been given to another upstream.
    let is_target = head.headers.get(header::REPLICA_ID)?.as_bytes() == check.target.as_bytes();
    // Only a cold upstream sends the header.
    let cold_ms = match head.headers.get(header::COLD_REMAINING_MS) {
        Some(value) => value.to_str().ok()?.trim().parse::<f64>().ok()?,
        None => 0.0,
    };
    if !cold_ms.is_finite() || cold_ms < 0.0 {
        return None;
    }
    (is_target && head.status.is_success())
        .then(|| Duration::from_secs_f64(cold_ms.min(MAX_COLD_MS) / 1_000.0))
}
