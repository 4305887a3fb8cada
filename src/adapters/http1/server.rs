//! HTTP/1.1 server, which passes each request to a handler.

use std::convert::Infallible;
use std::future::Future;
use std::net::IpAddr;
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
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::Body;
use super::Incoming;
use super::Limits;
use super::activity::Activity;
use super::activity::Answer;
use super::activity::End;
use super::activity::Observed;
use super::allowance::Limited;
use super::limits::DEFAULT_HEAD_FIELDS;
use super::limits::connection_bytes;
use crate::adapters::memory::Hold;
use crate::adapters::memory::Shortage;
use crate::domain::memory::Kind;

/// Time after which a connection with unacknowledged bytes is closed.
pub(super) const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);
/// Idle time before the first TCP keep-alive probe, and the interval between probes.
pub(super) const TCP_KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Answer to a request head that new connections allow.
const OUTDATED: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 0.010\r\nconnection: close\r\n\
    content-length: 32\r\n\r\nsend it again on a new connection\n";
/// Answer to a connection for which there is no room.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1.000\r\nconnection: close\r\n\
    content-length: 21\r\n\r\ntoo many connections\n";
/// Connections that are being refused at the same time; further ones are closed without an answer.
const MAX_REFUSING: usize = 32;
/// Bytes of an unread body that are read at a time.
const DRAIN_BUFFER_BYTES: usize = 8 << 10;

/// Address of a request's caller, an extension of each request.
#[derive(Clone, Copy, Debug)]
pub struct Peer(pub IpAddr);

/// Extension of a response to a request whose body may not have been read to its end: a part of the rest is
/// read before the connection is closed, so that the response is not lost.
#[derive(Clone, Copy, Debug)]
pub struct UnreadBody;

/// Running server; clones refer to the same one.
#[derive(Clone, Debug)]
pub struct Server {
    /// Address on which the server listens, with the actual port.
    pub address: SocketAddr,
    open_connections: Arc<AtomicUsize>,
    closing: Arc<AtomicBool>,
    stopped: Arc<Notify>,
}

impl Server {
    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Relaxed)
    }

    /// Stops accepting connections, and closes each open one after its next response.
    pub fn stop(&self) {
        self.close_after_answers();
        self.stopped.notify_one();
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
    serve_limited(address, Limits::new(head_bytes, head_timeout), handler).await
}

/// Serves `address` with `handler` within `limits`, on the current runtime.
///
/// # Errors
///
/// The I/O error of binding.
pub async fn serve_limited<H, F>(address: SocketAddr, limits: Limits, handler: H) -> std::io::Result<Server>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Unpin + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    if let Some(bytes) = limits.socket_bytes {
        // Accepted connections inherit the sizes, the receive window from its first byte on.
        let socket = SockRef::from(&listener);
        socket.set_recv_buffer_size(bytes)?;
        socket.set_send_buffer_size(bytes)?;
    }
    let server = Server {
        address: listener.local_addr()?,
        open_connections: Arc::default(),
        closing: Arc::default(),
        stopped: Arc::default(),
    };
    let server_handle = server.clone();
    let limits = Arc::new(limits);
    tokio::spawn(async move {
        let refusing = Arc::new(AtomicUsize::new(0));
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = server_handle.stopped.notified() => return,
            };
            let Ok((stream, peer)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            set_tcp_options(&stream);
            let (server, handler, limits) = (server_handle.clone(), handler.clone(), limits.clone());
            let max_head_bytes = limits.head_limit.get();
            let Ok(hold) = charge(&limits, max_head_bytes).await else {
                if refusing.load(Ordering::Relaxed) < MAX_REFUSING {
                    let refusing = OpenConnection::new(&refusing);
                    tokio::spawn(async move {
                        let _refusing = refusing;
                        refuse(stream, REFUSAL, &limits).await;
                    });
                }
                continue;
            };
            tokio::spawn(async move {
                let _open_connection = OpenConnection::new(&server.open_connections);
                let connection = Connection {
                    peer,
                    activity: Arc::new(Activity::new(hold, max_head_bytes, limits.head_limit.clone())),
                    server: &server,
                    limits: &limits,
                };
                connection.serve(stream, handler).await;
            });
        }
    });
    Ok(server)
}

/// Charges the budget for a new connection with heads of at most `max_head_bytes`.
async fn charge(limits: &Limits, max_head_bytes: usize) -> Result<Option<Hold>, Shortage> {
    let Some(memory) = &limits.memory else {
        return Ok(None);
    };
    let hold = memory.open(Kind::Connection, None);
    hold.charge(connection_bytes(max_head_bytes)).await?;
    Ok(Some(hold))
}

/// Refuses a request before it is read, and ends its connection.
async fn refuse(mut stream: TcpStream, answer: &[u8], limits: &Limits) {
    // An error means that the caller has disconnected.
    let _ = stream.write_all(answer).await;
    let _ = stream.shutdown().await;
    drain(&mut stream, limits).await;
}

/// Reads a bounded part of what the caller still sends: closing a socket with unread bytes resets the
/// connection, by which the caller may lose the response.
async fn drain(stream: &mut TcpStream, limits: &Limits) {
    let reading = async {
        let mut buffer = vec![0; DRAIN_BUFFER_BYTES];
        let mut left = limits.drain_bytes;
        while let Ok(length) = stream.read(&mut buffer).await {
            if length == 0 || length >= left {
                break;
            }
            left -= length;
        }
    };
    // After the time limit the connection is closed anyway.
    let _ = timeout(limits.drain_timeout, reading).await;
}

/// Connection of a server.
struct Connection<'a> {
    peer: SocketAddr,
    activity: Arc<Activity>,
    server: &'a Server,
    limits: &'a Limits,
}

impl Connection<'_> {
    /// Serves requests until either side closes the connection or it exceeds a limit.
    async fn serve<H, F>(self, stream: TcpStream, handler: H)
    where
        H: Fn(Request<Incoming>) -> F + Unpin,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        // Whether the caller speaks HTTP/1.0, whose answers may end with their connection.
        let is_http_1_0 = Arc::new(AtomicBool::new(false));
        let has_unread_body = Arc::new(AtomicBool::new(false));
        let (caller_is_http_1_0, leaves_body) = (is_http_1_0.clone(), has_unread_body.clone());
        let (closing, activity) = (self.server.closing.clone(), self.activity.clone());
        let peer = Peer(self.peer.ip());
        let allowance = activity.allowance.clone();
        let body_allowance = allowance.clone();
        let service = service_fn(move |request: Request<hyper::body::Incoming>| {
            let mut request = request.map(|body| Incoming::new(body, body_allowance.clone()));
            caller_is_http_1_0.store(request.version() == Version::HTTP_10, Ordering::Relaxed);
            request.extensions_mut().insert(peer);
            let has_body = !hyper::body::Body::is_end_stream(request.body());
            let busy = activity.start_request();
            let response = handler(request);
            let (closing, leaves_body) = (closing.clone(), leaves_body.clone());
            async move {
                let mut response = response.await;
                // An upstream's answer may carry an older version, which rules chunks out; `hyper`
                // lowers the version again for a caller that needs it.
                *response.version_mut() = Version::HTTP_11;
                let is_unread = has_body && response.extensions().get::<UnreadBody>().is_some();
                leaves_body.store(is_unread, Ordering::Relaxed);
                // After an unread body the caller must not send its next request here: it would be drained.
                if is_unread || closing.load(Ordering::Relaxed) {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                Ok::<_, Infallible>(response.map(|body| Answer::new(body, busy)))
            }
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.idle_timeout)
            .max_buf_size(self.activity.max_head_bytes + 1);
        if self.limits.head_fields > DEFAULT_HEAD_FIELDS {
            builder.max_headers(self.limits.head_fields);
        }
        let socket = Limited {
            stream: Observed::new(stream, self.activity.clone()),
            allowance,
        };
        let mut connection = builder.serve_connection(TokioIo::new(socket), service);
        let ended = tokio::select! {
            ended = &mut connection => Ok(ended),
            end = self.activity.ended(self.limits) => Err(end),
        };
        let was_busy = self.activity.is_busy();
        let mut stream = connection.into_parts().io.into_inner().stream.into_stream();
        // An error ends only this connection; usually the caller has disconnected.
        let must_reset = match ended {
            // Only a reset shows this caller that its answer was aborted.
            Ok(ended) => ended.is_err() && is_http_1_0.load(Ordering::Relaxed),
            // A refusal must not follow a part of an earlier answer.
            Err(_) if self.activity.is_write_blocked() => true,
            Err(End::Outdated) => return refuse(stream, OUTDATED, self.limits).await,
            // A reset also discards what the caller has not taken.
            Err(End::Expired) => was_busy,
        };
        if must_reset {
            // Fails if the connection is gone.
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        } else if has_unread_body.load(Ordering::Relaxed) {
            drain(&mut stream, self.limits).await;
        }
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
