//! HTTP client for upstreams.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as Legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::time::timeout;

use super::Error;

/// Longest wait for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest answer that is collected whole.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// HTTP client that reuses connections only for requests that may be retried.
#[derive(Clone, Debug)]
pub struct Client {
    pooled: Legacy<HttpConnector, Full<Bytes>>,
    unpooled: Legacy<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let pooled = Legacy::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(hyper_util::rt::TokioTimer::new())
            .build(connector.clone());
        // A request that must not be retried gets a new connection, because an idle one may be
        // dead without notice, and the request must not be retried on another one.
        let unpooled = Legacy::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Client { pooled, unpooled }
    }
}

/// HTTP request to an upstream.
#[derive(Debug)]
pub(super) struct Call<'a> {
    pub(super) method: Method,
    /// Host and port.
    pub(super) address: &'a str,
    pub(super) path: &'a str,
    pub(super) headers: Vec<(&'static str, String)>,
    pub(super) body: Bytes,
    /// Whether to open a new connection and never to retry.
    pub(super) is_sent_once: bool,
}

impl Client {
    /// Sends a request and waits for the head of the answer, for at most `wait`.
    pub(super) async fn send(&self, call: Call<'_>, wait: Duration) -> Result<Response<Incoming>, Error> {
        let mut request = http::Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", call.address, call.path));
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(call.body)).map_err(|_| Error::NotSent)?;
        let client = if call.is_sent_once {
            &self.unpooled
        } else {
            &self.pooled
        };
        match timeout(wait, client.request(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(e)) if e.is_connect() => Err(Error::NotSent),
            Ok(Err(_)) => Err(Error::Broken),
            Err(_) => Err(Error::Timeout),
        }
    }
}

/// Reads a body to its end; each part must come within `stall_timeout`.
pub(super) async fn collect(mut body: Incoming, stall_timeout: Duration) -> Result<Bytes, Error> {
    let mut whole = Vec::new();
    loop {
        match timeout(stall_timeout, body.frame()).await {
            Err(_) => return Err(Error::Timeout),
            Ok(None) => return Ok(whole.into()),
            Ok(Some(Err(_))) => return Err(Error::Broken),
            Ok(Some(Ok(frame))) => {
                let chunk = frame.into_data().unwrap_or_default();
                if whole.len() + chunk.len() > MAX_ANSWER_BYTES {
                    return Err(Error::Broken);
                }
                whole.extend_from_slice(&chunk);
            }
        }
    }
}
