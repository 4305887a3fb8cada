//! Client with a pool of idle connections.
//!
//! The client itself never sends a request twice. If the peer closed an idle connection before
//! the request went out, the caller gets [`Failure::Unsent`].

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use super::Incoming;
use super::allowance::Allowance;
use super::allowance::Limited;
use super::head;
use super::server::set_tcp_options;
use crate::adapters::clock;

/// Longest wait for the TCP connection, unless a dialer has another limit.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which an idle connection is not used again. Upstreams close theirs later, so a
/// request rarely meets a connection that is being closed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Bytes of an answer that a connection holds before they are taken. Memory budgets do not include them.
const MAX_BUFFER_BYTES: usize = 64 << 10;
/// Idle connections kept for one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 8;

/// Why no byte of a request went out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The host has accepted no connection in time.
    TimedOut,
    /// The host refuses connections, so no process listens there.
    Refused,
    /// Connecting has failed in another way.
    Unreachable,
    /// The connection was closed before the request went out.
    Closed,
}

impl Cause {
    /// Name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Cause::TimedOut => "timed out",
            Cause::Refused => "refused",
            Cause::Unreachable => "unreachable",
            Cause::Closed => "closed",
        }
    }
}

impl From<&io::Error> for Cause {
    fn from(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::TimedOut => Cause::TimedOut,
            io::ErrorKind::ConnectionRefused => Cause::Refused,
            _ => Cause::Unreachable,
        }
    }
}

/// Why a request has no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No byte of the request went out, so it may be sent again.
    Unsent(Cause),
    /// The connection was lost after the request may have gone out; whether the upstream ran it is unknown.
    Unknown,
    /// What came is no answer in the protocol; whether the upstream ran the request is unknown.
    Invalid,
}

impl From<&hyper::Error> for Failure {
    fn from(error: &hyper::Error) -> Self {
        let source = std::error::Error::source(error);
        let io_error = source.and_then(|e| e.downcast_ref::<io::Error>());
        let is_endless = io_error.is_some_and(|e| e.kind() == io::ErrorKind::InvalidData);
        if error.is_parse() || is_endless {
            Failure::Invalid
        } else {
            Failure::Unknown
        }
    }
}

/// Connection to an upstream, in use by one request at a time; dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    /// Task that reads and writes the socket.
    io_task: AbortHandle,
    /// Whether further requests may use the connection.
    is_reusable: bool,
    /// Whether an earlier request has used the connection.
    is_reused: bool,
    allowance: Allowance,
}

impl Connection {
    /// Whether an earlier request has used the connection, so that what arrives on it may be left over.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.io_task.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    /// Time at which the connection became idle.
    since: Duration,
}

/// Byte stream to an upstream.
pub enum Link {
    /// Connection of this process.
    Direct(TcpStream),
    /// Connection that another process has opened; it is used for one request only.
    Tunnel(Box<dyn Stream>),
}

/// Byte stream in both directions.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Stream for T {}

type Open = dyn Fn(SocketAddr) -> BoxFuture<'static, io::Result<TcpStream>> + Send + Sync;

/// Opens TCP connections; another way than the network's may be set.
#[derive(Clone)]
pub struct Dialer {
    open: Arc<Open>,
    /// Longest wait for a connection.
    timeout: Duration,
}

impl fmt::Debug for Dialer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Dialer").finish_non_exhaustive()
    }
}

impl Default for Dialer {
    fn default() -> Self {
        Dialer::new(|address| Box::pin(TcpStream::connect(address)))
    }
}

impl Dialer {
    /// Dialer that opens each connection by `open`.
    pub fn new<F>(open: F) -> Self
    where
        F: Fn(SocketAddr) -> BoxFuture<'static, io::Result<TcpStream>> + Send + Sync + 'static,
    {
        Dialer {
            open: Arc::new(open),
            timeout: CONNECT_TIMEOUT,
        }
    }

    /// The same dialer with another time limit for connecting.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Dialer { timeout, ..self }
    }

    /// Opens a connection to `address` within the time limit for connecting.
    ///
    /// # Errors
    ///
    /// The I/O error of the connection; `TimedOut` after the time limit.
    pub async fn open(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let stream = timeout(self.timeout, (self.open)(address)).await??;
        set_tcp_options(&stream);
        Ok(stream)
    }

    /// Whether the host at `address` refuses a new connection, so that no process listens there.
    pub async fn is_refused(&self, address: SocketAddr) -> bool {
        let refusal = self.open(address).await.err();
        refusal.is_some_and(|e| e.kind() == io::ErrorKind::ConnectionRefused)
    }
}

/// Client of upstreams; clones share the idle connections.
#[derive(Clone, Debug, Default)]
pub struct Client {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>,
    dialer: Dialer,
}

impl Client {
    /// Client whose connections are opened by `dialer`.
    pub fn new(dialer: Dialer) -> Self {
        Client {
            idle: Arc::default(),
            dialer,
        }
    }

    /// Dialer of this client's connections.
    pub fn dialer(&self) -> &Dialer {
        &self.dialer
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// The request goes out on an idle connection, or on a new one if there is none or if
    /// `new_connection` is set. Connecting has a time limit; the wait for the response has none.
    ///
    /// # Errors
    ///
    /// `Unsent` if no byte of the request went out, otherwise `Unknown` or `Invalid`.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        new_connection: bool,
    ) -> Result<(Response<Incoming>, Connection), Failure> {
        let open = async {
            let opened = self.dialer.open(address).await;
            opened.map(Link::Direct).map_err(|e| Cause::from(&e))
        };
        self.send_over(address, request, new_connection, open).await
    }

    /// Sends a request as [`Client::send`] does; a new connection is opened by `open`, which limits its time.
    ///
    /// # Errors
    ///
    /// `Unsent` if no byte of the request went out, otherwise `Unknown` or `Invalid`.
    pub async fn send_over(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        new_connection: bool,
        open: impl Future<Output = Result<Link, Cause>>,
    ) -> Result<(Response<Incoming>, Connection), Failure> {
        let idle = if new_connection {
            None
        } else {
            self.take_idle(address)
        };
        let mut connection = match idle {
            Some(connection) => connection,
            None => match open.await.map_err(Failure::Unsent)? {
                Link::Direct(stream) => start(address, stream, true).await?,
                Link::Tunnel(stream) => start(address, stream, false).await?,
            },
        };
        connection.allowance.limit_head();
        match connection.sender.try_send_request(request).await {
            Ok(response) if head::is_final(response.status()) => {
                let response = response.map(|body| Incoming::new(body, connection.allowance.clone()));
                Ok((response, connection))
            }
            Ok(_) => Err(Failure::Invalid),
            Err(mut error) => Err(match error.take_message() {
                Some(_unsent) => Failure::Unsent(Cause::Closed),
                None => Failure::from(error.error()),
            }),
        }
    }

    /// Keeps a connection for further requests, once the response on it was read to its end.
    ///
    /// Closes it instead when the upstream has enough idle connections.
    pub fn return_connection(&self, mut connection: Connection) {
        connection.is_reused = true;
        if !connection.is_reusable || connection.sender.is_closed() {
            return;
        }
        let now = clock::now();
        let mut idle = self.idle.lock().expect("no panic under this lock");
        let connections = idle.entry(connection.address).or_default();
        connections.retain(|i| is_usable(i, now));
        if connections.len() < MAX_IDLE_PER_UPSTREAM {
            connections.push(Idle {
                connection,
                since: now,
            });
        }
    }

    /// Closes the idle connections to `address`.
    pub fn close_idle(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().expect("no panic under this lock");
        idle.remove(&address);
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let now = clock::now();
        let mut idle = self.idle.lock().expect("no panic under this lock");
        let connections = idle.get_mut(&address)?;
        connections.retain(|i| is_usable(i, now));
        connections.pop().map(|i| i.connection)
    }
}

/// Starts HTTP/1.1 on a byte stream to `address`.
async fn start<T>(address: SocketAddr, stream: T, is_reusable: bool) -> Result<Connection, Failure>
where
    T: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let allowance = Allowance::new(MAX_BUFFER_BYTES);
    let limited = Limited {
        stream,
        allowance: allowance.clone(),
    };
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(limited))
        .await;
    let (sender, io) = handshake.map_err(|_| Failure::Unsent(Cause::Closed))?;
    // An error of the connection is also returned by the request that uses it.
    let io_task = tokio::spawn(async move {
        let _ = io.await;
    });
    Ok(Connection {
        address,
        sender,
        io_task: io_task.abort_handle(),
        is_reusable,
        is_reused: false,
        allowance,
    })
}

fn is_usable(idle: &Idle, now: Duration) -> bool {
    !idle.connection.sender.is_closed() && now < idle.since + IDLE_TIMEOUT
}
