//! Pool of connections to other processes, one for each address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use quinn::Connection;
use quinn::Endpoint;
use quinn::RecvStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::Credentials;
use super::Duplex;
use super::Error;
use super::frame;
use super::tls::SERVER_NAME;
use crate::adapters::clock;
use crate::adapters::wire;
use crate::domain::fleet::is_path_dead;

/// Longest wait for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after a failed handshake in which calls fail without another handshake.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(50);

/// Connection to one address.
///
/// Its lock is held while connecting, so that concurrent calls share one handshake: one for
/// each of them would saturate the CPU.
#[derive(Debug, Default)]
struct Slot {
    connection: Option<Connection>,
    /// Time of the last handshake, if it failed.
    failed_at: Option<Duration>,
}

type Slots = HashMap<SocketAddr, Arc<tokio::sync::Mutex<Slot>>>;

/// Pool of QUIC connections to addresses of the form `IP:port`; clones share it.
#[derive(Clone, Debug)]
pub struct Pool {
    endpoint: Endpoint,
    /// Runtime on which the pool was made.
    runtime: tokio::runtime::Handle,
    slots: Arc<Mutex<Slots>>,
}

impl Pool {
    /// Pool whose connections authenticate with `credentials`.
    ///
    /// # Errors
    ///
    /// `Bind` when no local UDP port can be opened, `Keys` when the credentials are invalid.
    pub fn new(credentials: &Credentials) -> Result<Self, Report<Error>> {
        let local = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut endpoint = Endpoint::client(local).change_context(Error::Bind)?;
        endpoint.set_default_client_config(credentials.client_config()?);
        Ok(Pool {
            endpoint,
            runtime: tokio::runtime::Handle::current(),
            slots: Arc::default(),
        })
    }

    /// Sends `request` and waits for its reply.
    ///
    /// The reply must come within `reply_timeout` after the connection is open.
    ///
    /// # Errors
    ///
    /// `Connect` when nothing was sent; after any other error the request may have been executed.
    pub async fn call(
        &self,
        address: &str,
        request: wire::Request,
        reply_timeout: Duration,
    ) -> Result<wire::Reply, Report<Error>> {
        self.call_patiently(address, request, reply_timeout, reply_timeout)
            .await
    }

    /// Sends `request` and waits for its reply, as [`Pool::call`] does, but only for `silence_limit` while
    /// nothing at all arrives from the peer.
    ///
    /// # Errors
    ///
    /// As for [`Pool::call`].
    pub async fn call_patiently(
        &self,
        address: &str,
        request: wire::Request,
        silence_limit: Duration,
        reply_timeout: Duration,
    ) -> Result<wire::Reply, Report<Error>> {
        let connection = self.connect(address).await?;
        let exchange = async {
            let mut stream = self.send(&connection, request).await?;
            let reply = frame::read_frame(&mut stream).await?;
            reply.ok_or_else(|| Report::new(Error::Broken))
        };
        tokio::pin!(exchange);
        let started = clock::now();
        let mut received = datagrams(&connection);
        loop {
            let time_left = (started + reply_timeout).saturating_sub(clock::now());
            let waited = silence_limit.min(time_left);
            if let Ok(result) = timeout(waited, &mut exchange).await {
                return result;
            }
            let previous = std::mem::replace(&mut received, datagrams(&connection));
            let is_dead = is_path_dead(waited, received > previous);
            if is_dead {
                // The network path may stay dead, so the next call opens a new connection.
                self.discard(address, &connection).await;
            }
            if is_dead || clock::now() >= started + reply_timeout {
                return Err(Report::new(Error::Timeout));
            }
        }
    }

    /// Sends `request` if a connection is open, ignores the reply, and then forgets the connection; it closes
    /// when no other call uses it.
    pub async fn send_last(&self, address: &str, request: wire::Request, reply_timeout: Duration) {
        let Ok(address) = address.parse::<SocketAddr>() else {
            return;
        };
        let connection = self.slot(address).lock().await.connection.take();
        let Some(connection) = connection.filter(|c| c.close_reason().is_none()) else {
            return;
        };
        let exchange = async {
            let mut stream = self.send(&connection, request).await?;
            frame::read_frame::<wire::Reply>(&mut stream).await
        };
        // Whoever sends a last request does without its reply.
        let _ = timeout(reply_timeout, exchange).await;
    }

    /// Sends `request` and returns the stream that its answer arrives on.
    ///
    /// # Errors
    ///
    /// `Connect` when nothing was sent; after any other error the request may have been executed.
    pub async fn open_stream(
        &self,
        address: &str,
        request: wire::Request,
    ) -> Result<RecvStream, Report<Error>> {
        let connection = self.connect(address).await?;
        self.send(&connection, request).await
    }

    /// Sends `request` and waits for its reply; the stream goes on in both directions.
    ///
    /// The reply must come within `reply_timeout` after the connection is open.
    ///
    /// # Errors
    ///
    /// As for [`Pool::call`].
    pub async fn open_duplex(
        &self,
        address: &str,
        request: &wire::Request,
        reply_timeout: Duration,
    ) -> Result<(wire::Reply, Duplex), Report<Error>> {
        let connection = self.connect(address).await?;
        let received = datagrams(&connection);
        let exchange = async {
            let streams = connection.open_bi().await;
            let (mut send, mut receive) = streams.change_context(Error::Connect)?;
            frame::write_frame(&mut send, request).await?;
            let reply = frame::read_frame(&mut receive).await?;
            let reply = reply.ok_or_else(|| Report::new(Error::Broken))?;
            Ok((reply, send, receive))
        };
        match timeout(reply_timeout, exchange).await {
            Ok(opened) => opened.map(|(reply, send, receive)| {
                let duplex = Duplex {
                    send,
                    receive,
                    connection,
                };
                (reply, duplex)
            }),
            Err(_) => {
                if is_path_dead(reply_timeout, datagrams(&connection) > received) {
                    self.discard(address, &connection).await;
                }
                Err(Report::new(Error::Timeout))
            }
        }
    }

    /// Sends the requests of `queue` until all its senders are dropped.
    ///
    /// Requests may be lost, and their replies are ignored.
    pub async fn send_queued(self, address: String, mut queue: mpsc::Receiver<wire::Request>) {
        while let Some(request) = queue.recv().await {
            // Fails while the peer is unreachable. Whoever queued the request retries it if needed.
            let _ = self.open_stream(&address, request).await;
        }
    }

    async fn send(
        &self,
        connection: &Connection,
        request: wire::Request,
    ) -> Result<RecvStream, Report<Error>> {
        let streams = connection.open_bi().await;
        let (mut send, receive) = streams.change_context(Error::Connect)?;
        frame::write_frame(&mut send, &request).await?;
        let _ = send.finish();
        Ok(receive)
    }

    async fn connect(&self, address: &str) -> Result<Connection, Report<Error>> {
        let address: SocketAddr = address.parse().change_context(Error::Connect)?;
        let slot = self.slot(address);
        let mut slot = slot.lock().await;
        if let Some(open) = slot.connection.as_ref().filter(|c| c.close_reason().is_none()) {
            return Ok(open.clone());
        }
        if slot
            .failed_at
            .is_some_and(|at| clock::now() < at + RECONNECT_BACKOFF)
        {
            return Err(Report::new(Error::Connect));
        }
        let connected = self.handshake(address).await;
        slot.failed_at = connected.is_err().then(clock::now);
        slot.connection = connected.as_ref().ok().cloned();
        connected
    }

    async fn handshake(&self, address: SocketAddr) -> Result<Connection, Report<Error>> {
        let connecting = {
            // Connections run on the runtime of the pool, since callers on another thread may be busier.
            let _entered = self.runtime.enter();
            self.endpoint.connect(address, SERVER_NAME)
        };
        let connecting = connecting.change_context(Error::Connect)?;
        timeout(CONNECT_TIMEOUT, connecting)
            .await
            .change_context(Error::Connect)?
            .change_context(Error::Connect)
    }

    fn slot(&self, address: SocketAddr) -> Arc<tokio::sync::Mutex<Slot>> {
        let mut slots = self.slots.lock().expect("no panic under this lock");
        slots.entry(address).or_default().clone()
    }

    /// Removes `unresponsive` from the pool unless another call has already replaced it.
    async fn discard(&self, address: &str, unresponsive: &Connection) {
        let Ok(address) = address.parse::<SocketAddr>() else {
            return;
        };
        let slot = self.slot(address);
        let mut slot = slot.lock().await;
        if slot
            .connection
            .as_ref()
            .is_some_and(|c| c.stable_id() == unresponsive.stable_id())
        {
            slot.connection = None;
        }
    }
}

/// Number of datagrams received on a connection, which include acknowledgements.
fn datagrams(connection: &Connection) -> u64 {
    connection.stats().udp_rx.datagrams
}
