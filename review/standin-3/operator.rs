//! The operator: an order that gets no clear answer is sent again, to the next node.

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Record;

/// Time without a response after which a caller of the control plane moves on.
pub const TIMEOUT: Duration = Duration::from_secs(1);

/// Sends an order until it is acknowledged or refused; returns its last status, none without any in `limit`.
pub fn order(
    nodes: &[SocketAddr],
    (method, path, body): (&str, &str, &str),
    limit: Duration,
    record: &Record,
) -> Option<u16> {
    let started = Instant::now();
    let mut last = None;
    let mut delay = Duration::from_millis(100);
    while started.elapsed() < limit {
        for node in nodes {
            let host = node.to_string();
            let headers: [(&str, &[u8]); 2] =
                [("Host", host.as_bytes()), ("Content-Type", b"application/json")];
            let request = http::request(method, path, &headers, body.as_bytes());
            match http::exchange(*node, &request, TIMEOUT) {
                Ok(response) => {
                    let status = response.status();
                    record.line(&format!("operator: {method} {path} to {node}: {status}"));
                    last = Some(status);
                    if (200..300).contains(&status) || [400, 409, 412, 413, 422].contains(&status) {
                        return last;
                    }
                }
                Err(error) => record.line(&format!("operator: {method} {path} to {node}: {error}")),
            }
            sleep(delay);
        }
        delay = (delay * 2).min(Duration::from_secs(1));
    }
    last
}
