//! HTTP client for upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Frame;
use tokio::net::lookup_host;
use tokio::time::timeout;

use super::Error;
use crate::adapters::http1;
use crate::adapters::http1::Cause;
use crate::adapters::http1::Connection;
use crate::adapters::http1::Dialer;
use crate::adapters::http1::Failure;
use crate::adapters::http1::Incoming;
use crate::adapters::http1::Incomplete;
use crate::adapters::memory::Hold;

/// Longest wait for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest answer of a service, in bytes.
pub(super) const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Largest answer to one of the system's own questions, and largest error text, in bytes.
pub(super) const MAX_REPLY_BYTES: usize = 64 << 10;

/// HTTP client that reuses connections only for requests that may be retried.
#[derive(Clone, Debug)]
pub struct Client {
    connections: http1::Client,
}

impl Default for Client {
    fn default() -> Self {
        let dialer = Dialer::default().with_timeout(CONNECT_TIMEOUT);
        Client {
            connections: http1::Client::new(dialer),
        }
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

impl Call<'_> {
    fn request(&self) -> Result<http::Request<Full<Bytes>>, Error> {
        let mut request = http::Request::builder()
            .method(self.method.clone())
            .uri(self.path)
            .header(HOST, self.address);
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        request
            .body(Full::new(self.body.clone()))
            .map_err(|_| Error::NotSent)
    }
}

/// Answer whose body has not been read; dropping it closes its connection.
#[derive(Debug)]
pub(super) struct Response {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    body: Incoming,
    connection: Connection,
    connections: http1::Client,
}

impl Client {
    /// Sends a request and waits for the head of the answer, for at most `wait`.
    pub(super) async fn send(&self, call: Call<'_>, wait: Duration) -> Result<Response, Error> {
        match timeout(wait, self.exchange(&call)).await {
            Ok(Ok((response, connection))) => {
                let (head, body) = response.into_parts();
                Ok(Response {
                    status: head.status,
                    headers: head.headers,
                    body,
                    connection,
                    connections: self.connections.clone(),
                })
            }
            Ok(Err(error)) => Err(error),
            Err(_) => Err(Error::Timeout),
        }
    }

    async fn exchange(&self, call: &Call<'_>) -> Result<(http::Response<Incoming>, Connection), Error> {
        let address = resolve(call.address).await.ok_or(Error::NotSent)?;
        // A request that must not be retried gets a new connection, because an idle one may be
        // dead without notice, and the request must not be retried on another one.
        let sent = self.connections.send(address, call.request()?, call.is_sent_once);
        let sent = match sent.await {
            Err(Failure::Unsent(Cause::Closed)) if !call.is_sent_once => {
                self.connections.send(address, call.request()?, true).await
            }
            sent => sent,
        };
        sent.map_err(|failure| match failure {
            Failure::Unsent(_) => Error::NotSent,
            Failure::Unknown | Failure::Invalid => Error::Broken,
        })
    }
}

/// First address of a host and port.
async fn resolve(address: &str) -> Option<SocketAddr> {
    match address.parse() {
        Ok(address) => Some(address),
        Err(_) => lookup_host(address).await.ok()?.next(),
    }
}

impl Response {
    /// Value of a header, if it is visible ASCII.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Next frame of the body; it must come within `stall_timeout`.
    pub(super) async fn next_frame(
        &mut self,
        stall_timeout: Duration,
    ) -> Result<Option<Frame<Bytes>>, Error> {
        match timeout(stall_timeout, self.body.frame()).await {
            Err(_) => Err(Error::Timeout),
            Ok(None) => Ok(None),
            Ok(Some(frame)) => frame.map(Some).map_err(|_| Error::Broken),
        }
    }

    /// Reads the body to its end as [`Response::collect`] does, and charges `hold` for it until it is dropped.
    pub(super) async fn collect_held(
        mut self,
        max_bytes: usize,
        stall_timeout: Duration,
        hold: Hold,
    ) -> Result<Bytes, Error> {
        let body = http1::collect_held(&mut self.body, max_bytes, stall_timeout, hold).await;
        let body = body.map_err(|incomplete| match incomplete {
            Incomplete::Stalled => Error::Timeout,
            Incomplete::Truncated | Incomplete::TooLarge => Error::Broken,
            Incomplete::Shortage => Error::Shortage,
        })?;
        self.connections.return_connection(self.connection);
        Ok(body)
    }

    /// Reads the body to its end; it has at most `max_bytes`, and each part must come within `stall_timeout`.
    pub(super) async fn collect(mut self, max_bytes: usize, stall_timeout: Duration) -> Result<Bytes, Error> {
        let mut whole = Vec::new();
        while let Some(frame) = self.next_frame(stall_timeout).await? {
            let chunk = frame.into_data().unwrap_or_default();
            if whole.len() + chunk.len() > max_bytes {
                return Err(Error::Broken);
            }
            whole.extend_from_slice(&chunk);
        }
        self.connections.return_connection(self.connection);
        Ok(whole.into())
    }
}
