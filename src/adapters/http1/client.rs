//! Client with kept connections.
//!
//! A request is never sent twice by the client itself: a kept connection that was closed
//! before the request went out is reported as [`Failure::Unsent`].

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use super::server::prepare;
use crate::adapters::clock;

/// Longest wait for a new connection.
const CONNECT: Duration = Duration::from_millis(400);
/// Time for which an idle connection is kept; upstreams keep theirs longer.
const KEEP: Duration = Duration::from_millis(1_500);
/// Idle connections kept for one upstream.
const KEPT_PER_UPSTREAM: usize = 8;

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No byte of the request went out.
    Unsent,
    /// The request went out and its fate is unknown.
    Unknown,
}

/// Connection that carries one request; dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct Idle {
    link: Connection,
    since: Duration,
}

/// Client of upstreams.
#[derive(Clone, Debug, Default)]
pub struct Client {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>,
}

impl Client {
    /// Sends a request; `fresh` asks for a new connection.
    ///
    /// # Errors
    ///
    /// `Unsent` or `Unknown`, by whether the request may have gone out.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        fresh: bool,
    ) -> Result<(Response<Incoming>, Connection), Failure> {
        let kept = if fresh { None } else { self.take(address) };
        let mut link = match kept {
            Some(link) => link,
            None => connect(address).await?,
        };
        match link.sender.try_send_request(request).await {
            Ok(response) => Ok((response, link)),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                Err(if unsent { Failure::Unsent } else { Failure::Unknown })
            }
        }
    }

    /// Keeps the connection of a request whose answer was read to its end.
    pub fn return_connection(&self, link: Connection) {
        if link.sender.is_closed() {
            return;
        }
        let now = clock::now();
        let mut idle = self.idle.lock().expect("no panic under this lock");
        let kept = idle.entry(link.address).or_default();
        kept.retain(|i| is_usable(i, now));
        if kept.len() < KEPT_PER_UPSTREAM {
            kept.push(Idle { link, since: now });
        }
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let now = clock::now();
        let mut idle = self.idle.lock().expect("no panic under this lock");
        let kept = idle.get_mut(&address)?;
        kept.retain(|i| is_usable(i, now));
        kept.pop().map(|i| i.link)
    }
}

fn is_usable(idle: &Idle, now: Duration) -> bool {
    !idle.link.sender.is_closed() && now < idle.since + KEEP
}

async fn connect(address: SocketAddr) -> Result<Connection, Failure> {
    let connecting = timeout(CONNECT, TcpStream::connect(address)).await;
    let stream = connecting
        .map_err(|_| Failure::Unsent)?
        .map_err(|_| Failure::Unsent)?;
    prepare(&stream);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|_| Failure::Unsent)?;
    // The end of a connection shows in the request that uses it.
    let task = tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(Connection {
        address,
        sender,
        task: task.abort_handle(),
    })
}
