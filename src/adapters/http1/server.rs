//! Server of one address.

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

/// Time after which unacknowledged bytes end a connection.
pub(super) const USER_TIMEOUT: Duration = Duration::from_secs(5);
/// Idle time before keep-alive probes, and the interval between them.
pub(super) const PROBE_AFTER: Duration = Duration::from_secs(2);
/// Wait after a failed accept, when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Smallest buffer that `hyper` accepts for a request head, in bytes.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// Running server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Address that it listens on.
    pub address: SocketAddr,
    open: Arc<AtomicUsize>,
    closing: Arc<AtomicBool>,
}

impl Server {
    /// Connections that are open.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Closes each connection after its next answer; new ones are still accepted.
    pub fn close_after_answers(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }
}

/// Serves `address` with `handler`.
///
/// # Errors
///
/// The I/O error of binding.
pub async fn serve<H, F>(
    address: SocketAddr,
    head_bytes: usize,
    idle: Duration,
    handler: H,
) -> std::io::Result<Server>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let server = Server {
        address: listener.local_addr()?,
        open: Arc::default(),
        closing: Arc::default(),
    };
    let accepting = server.clone();
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            prepare(&stream);
            let (server, handler) = (accepting.clone(), handler.clone());
            tokio::spawn(async move {
                server.open.fetch_add(1, Ordering::Relaxed);
                let closing = server.closing.clone();
                let service = service_fn(move |request| {
                    let answer = handler(request);
                    let closing = closing.clone();
                    async move {
                        let mut answer = answer.await;
                        if closing.load(Ordering::Relaxed) {
                            let close = HeaderValue::from_static("close");
                            answer.headers_mut().insert(CONNECTION, close);
                        }
                        Ok::<_, Infallible>(answer)
                    }
                });
                let mut builder = http1::Builder::new();
                builder
                    .timer(TokioTimer::new())
                    .header_read_timeout(idle)
                    .max_buf_size(head_bytes.max(MIN_HEAD_BYTES));
                // The error of a connection that a caller broke concerns nobody else.
                let _ = builder.serve_connection(TokioIo::new(stream), service).await;
                server.open.fetch_sub(1, Ordering::Relaxed);
            });
        }
    });
    Ok(server)
}

/// Sets the options that every connection has.
pub(super) fn prepare(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keep_alive = socket2::TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_AFTER);
    // A platform without an option serves without it.
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_keepalive(&keep_alive);
    let _ = socket.set_tcp_user_timeout(Some(USER_TIMEOUT));
}
