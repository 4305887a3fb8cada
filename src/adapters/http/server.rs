//! The server, which runs handlers on the main runtime.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use http::HeaderName;
use http::HeaderValue;
use socket2::SockRef;
use xitca_web::HttpServer;
use xitca_web::body::BodyExt;
use xitca_web::body::RequestBody;
use xitca_web::body::ResponseBody;
use xitca_web::body::StreamDataBody;
use xitca_web::http::WebRequest;
use xitca_web::http::WebResponse;
use xitca_web::service::fn_service;

use super::Body;
use super::Request;
use super::Response;

/// Handle of a running server.
#[derive(Debug)]
pub struct Server {
    /// Address on which the server listens, with the actual port.
    pub address: SocketAddr,
    stop: Stopper,
}

/// Function that stops the server; `xitca-web` exports no type for the handle that does.
struct Stopper(Box<dyn Fn() + Send + Sync>);

impl std::fmt::Debug for Stopper {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Stopper")
    }
}

impl Server {
    /// Stops accepting connections; open ones may finish.
    pub fn stop(&self) {
        (self.stop.0)();
    }
}

/// Listens on `address` and answers requests with `handler`, which runs on the current runtime.
///
/// Bodies of more than `max_body_bytes` reach the handler as `None`. A request whose handler
/// panics is answered with status 500.
///
/// # Errors
///
/// The I/O error of binding or of starting the worker threads.
pub fn serve<H, F>(address: SocketAddr, max_body_bytes: usize, handler: H) -> std::io::Result<Server>
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    // Accepted sockets inherit TCP_NODELAY. Without it, small chunks are held back until earlier
    // ones are acknowledged.
    SockRef::from(&listener).set_tcp_nodelay(true)?;
    let runtime = tokio::runtime::Handle::current();
    let handler = Arc::new(handler);
    let service = fn_service(move |request: WebRequest| {
        let handler = handler.clone();
        let runtime = runtime.clone();
        async move { Ok::<_, Infallible>(respond(request, max_body_bytes, &runtime, &*handler).await) }
    });
    let mut server = HttpServer::serve(service)
        .worker_threads(2)
        .disable_signal()
        .listen(listener)?
        .run();
    let stopper = server.handle()?;
    // The server owns a runtime, which must not be dropped on a thread of another runtime.
    thread::Builder::new()
        .name("http".to_owned())
        .spawn(move || server.wait())?;
    Ok(Server {
        address,
        stop: Stopper(Box::new(move || stopper.stop(true))),
    })
}

async fn respond<H, F>(
    request: WebRequest,
    max_body_bytes: usize,
    runtime: &tokio::runtime::Handle,
    handler: &H,
) -> WebResponse
where
    H: Fn(Request) -> F,
    F: Future<Output = Response> + Send + 'static,
{
    let (parts, body) = request.into_parts();
    let (_, body) = body.replace_body(());
    let request = Request {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        headers: parts.headers,
        body: collect(body, max_body_bytes).await,
    };
    let joined = runtime.spawn(handler(request)).await;
    let response = joined.unwrap_or_else(|_| Response::new(500, "text/plain", "internal error"));
    to_web_response(response)
}

/// Reads the whole body; `None` when it breaks off or exceeds `max_body_bytes`.
async fn collect(body: RequestBody, max_body_bytes: usize) -> Option<Bytes> {
    let mut body = std::pin::pin!(body);
    let mut whole = BytesMut::new();
    while let Some(chunk) = body.as_mut().data().await {
        let chunk = chunk.ok()?;
        if whole.len() + chunk.len() > max_body_bytes {
            return None;
        }
        whole.extend_from_slice(chunk.as_ref());
    }
    Some(whole.freeze())
}

fn to_web_response(response: Response) -> WebResponse {
    let body = match response.body {
        Body::Whole(bytes) => ResponseBody::from(bytes),
        Body::Stream(chunks) => ResponseBody::boxed(StreamDataBody::new(chunks.map(Ok::<_, Infallible>))),
    };
    let mut converted = WebResponse::new(body);
    *converted.status_mut() = http::StatusCode::from_u16(response.status).unwrap_or_default();
    for (name, value) in response.headers {
        let pair = (HeaderName::try_from(name), HeaderValue::try_from(value));
        if let (Ok(name), Ok(value)) = pair {
            converted.headers_mut().insert(name, value);
        }
    }
    converted
}
