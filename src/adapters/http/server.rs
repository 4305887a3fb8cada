//! The server, whose handlers run in tasks of their own.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::StreamExt;
use futures_util::stream::BoxStream;
use http::HeaderName;
use http::HeaderValue;
use tokio::sync::mpsc;

use super::Body;
use super::Intake;
use super::Request;
use super::Response;
use super::intake::Incomplete;
use crate::adapters::http1;
use crate::adapters::http1::Incoming;
use crate::adapters::http1::Part;
use crate::adapters::http1::Peer;
use crate::adapters::http1::UnreadBody;

/// Handle of a running server.
#[derive(Debug)]
pub struct Server {
    /// Address on which the server listens, with the actual port.
    pub address: SocketAddr,
    server: http1::Server,
}

impl Server {
    /// Closes each connection after its next answer; new ones are still accepted.
    pub fn close_after_answers(&self) {
        self.server.close_after_answers();
    }

    /// Stops accepting connections; open ones may finish.
    pub fn stop(&self) {
        self.server.stop();
    }
}

/// Listens on `address` and answers requests with `handler`, which runs on the current runtime.
///
/// Bodies that are too large for `intake` reach the handler as `None`; those for which it has no room are
/// refused with status 503. A request whose handler panics is answered with status 500.
///
/// # Errors
///
/// The I/O error of binding.
pub async fn serve<H, F>(address: SocketAddr, intake: Intake, handler: H) -> std::io::Result<Server>
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let limits = intake.limits.clone();
    let shared = Arc::new((handler, intake));
    let service = move |request| {
        let shared = shared.clone();
        async move {
            let (handler, intake) = &*shared;
            respond(request, intake, handler).await
        }
    };
    // A service for `hyper` must be `Unpin`, which a handler need not be.
    let service = Arc::new(service);
    let server = http1::serve_limited(address, limits, move |request| service(request)).await?;
    Ok(Server {
        address: server.address,
        server,
    })
}

async fn respond<H, F>(
    request: http::Request<Incoming>,
    intake: &Intake,
    handler: &H,
) -> http::Response<http1::Body>
where
    H: Fn(Request) -> F,
    F: Future<Output = Response> + Send + 'static,
{
    let (parts, body) = request.into_parts();
    let caller = parts.extensions.get::<Peer>().map(|peer| peer.0.to_string());
    let body = match intake.collect(body, caller).await {
        Ok(body) => Some(body),
        Err(Incomplete::Invalid) => None,
        Err(Incomplete::Refused) => {
            let refusal = Response::new(503, "text/plain", "no memory for the body, or it is too slow\n");
            return convert(refusal.with_header("retry-after", "2"), true);
        }
    };
    let is_unread = body.is_none();
    let request = Request {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        headers: parts.headers,
        body,
    };
    // In a task of its own, a handler runs to its end although its caller disconnects.
    let joined = tokio::spawn(handler(request)).await;
    let response = joined.unwrap_or_else(|_| Response::new(500, "text/plain", "internal error"));
    convert(response, is_unread)
}

fn convert(response: Response, has_unread_body: bool) -> http::Response<http1::Body> {
    let body = match response.body {
        Body::Whole(bytes) => http1::Body::whole(bytes),
        Body::Stream(chunks) => {
            let (sender, parts) = mpsc::channel(1);
            tokio::spawn(forward(chunks, sender));
            http1::Body::Stream(parts)
        }
    };
    let mut converted = http::Response::new(body);
    let status = http::StatusCode::from_u16(response.status).ok();
    let status = status.filter(|status| http1::is_final(*status));
    *converted.status_mut() = status.unwrap_or(http::StatusCode::BAD_GATEWAY);
    for (name, value) in response.headers {
        let pair = (HeaderName::try_from(name), HeaderValue::try_from(value));
        if let (Ok(name), Ok(value)) = pair {
            converted.headers_mut().insert(name, value);
        }
    }
    if has_unread_body {
        converted.extensions_mut().insert(UnreadBody);
    }
    converted
}

/// Passes chunks on until their end, or until the caller disconnects.
async fn forward(mut chunks: BoxStream<'static, bytes::Bytes>, parts: mpsc::Sender<Part>) {
    loop {
        let next = tokio::select! {
            next = chunks.next() => next,
            () = parts.closed() => return,
        };
        let part = next.map_or(Part::End, Part::Chunk);
        let is_end = matches!(part, Part::End);
        if parts.send(part).await.is_err() || is_end {
            return;
        }
    }
}
