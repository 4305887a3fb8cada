//! HTTP/1.1 server, which passes each request to a handler.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::Version;
use http::header::CONNECTION;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::Body;

/// Time after which a connection with unacknowledged bytes is closed.
pub(super) const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);
/// Idle time before the first TCP keep-alive probe, and the interval between probes.
pub(super) const TCP_KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Smallest buffer that `hyper` accepts for a request head, in bytes.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// Running server; clones refer to the same one.
#[derive(Clone, Debug)]
pub struct Server {
    /// Address on which the server listens, with the actual port.
    pub address: SocketAddr,
    open_connections: Arc<AtomicUsize>,
    closing: Arc<AtomicBool>,
}

impl Server {
    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Relaxed)
    }

    /// Closes each connection after its next response; new ones are still accepted.
    pub fn close_after_answers(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }
}

/// Guard that counts one connection as open until it is dropped, also by a panic of its handler.
struct OpenConnection(Arc<AtomicUsize>);

impl OpenConnection {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        OpenConnection(count.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves `address` with `handler`, on the current runtime.
///
/// `head_bytes` limits the buffer of a request head, with a minimum of 8 KiB. A connection that
/// does not send a whole request head within `head_timeout` is closed.
///
/// # Errors
///
/// The I/O error of binding.
pub async fn serve<H, F>(
    address: SocketAddr,
    head_bytes: usize,
    head_timeout: Duration,
    handler: H,
) -> std::io::Result<Server>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Unpin + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let server = Server {
        address: listener.local_addr()?,
        open_connections: Arc::default(),
        closing: Arc::default(),
    };
    let server_handle = server.clone();
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            set_tcp_options(&stream);
            let (server, handler) = (server_handle.clone(), handler.clone());
            tokio::spawn(async move {
                let _open_connection = OpenConnection::new(&server.open_connections);
                serve_connection(stream, &server, head_bytes, head_timeout, handler).await;
            });
        }
    });
    Ok(server)
}

/// Serves one connection until either side closes it.
async fn serve_connection<H, F>(
    stream: TcpStream,
    server: &Server,
    head_bytes: usize,
    head_timeout: Duration,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Unpin,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    // Whether the caller speaks HTTP/1.0, whose answers may end with their connection.
    let is_http_1_0 = Arc::new(AtomicBool::new(false));
    let (caller_is_http_1_0, closing) = (is_http_1_0.clone(), server.closing.clone());
    let service = service_fn(move |request| {
        caller_is_http_1_0.store(request.version() == Version::HTTP_10, Ordering::Relaxed);
        let response = handler(request);
        let closing = closing.clone();
        async move {
            let mut response = response.await;
            // An upstream's answer may carry an older version, which rules chunks out; `hyper`
            // lowers the version again for a caller that needs it.
            *response.version_mut() = Version::HTTP_11;
            if closing.load(Ordering::Relaxed) {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size(head_bytes.max(MIN_HEAD_BYTES));
    let mut connection = builder.serve_connection(TokioIo::new(stream), service);
    // An error ends only this connection; usually the caller has disconnected.
    let ended = (&mut connection).await;
    let stream = connection.into_parts().io.into_inner();
    if ended.is_err() && is_http_1_0.load(Ordering::Relaxed) {
        // Only a reset shows this caller that its answer was aborted. It fails if the connection is gone.
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
}

/// Sets the TCP options of a connection; those that the platform lacks are left out.
pub(super) fn set_tcp_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keep_alive = socket2::TcpKeepalive::new()
        .with_time(TCP_KEEP_ALIVE_INTERVAL)
        .with_interval(TCP_KEEP_ALIVE_INTERVAL);
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_keepalive(&keep_alive);
    let _ = socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
}
