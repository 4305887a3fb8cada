//! Connections to other processes, one for each address.

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
use super::Error;
use super::frame;
use super::tls::SERVER_NAME;
use crate::adapters::clock;
use crate::adapters::wire;

/// Longest wait for a new connection.
const CONNECT: Duration = Duration::from_millis(300);
/// Time after a failed connection in which no other one is tried.
const BACK_OFF: Duration = Duration::from_millis(50);

/// Connection to one address.
///
/// Its lock is held while connecting, so that many calls make one connection: a
/// handshake for each of them would take the processor from all.
#[derive(Debug, Default)]
struct Slot {
    connection: Option<Connection>,
    failed: Option<Duration>,
}

type Slots = HashMap<SocketAddr, Arc<tokio::sync::Mutex<Slot>>>;

/// Client side of the QUIC adapter.
#[derive(Clone, Debug)]
pub struct Pool {
    endpoint: Endpoint,
    slots: Arc<Mutex<Slots>>,
}

impl Pool {
    /// Pool that connects as `identity`.
    ///
    /// # Errors
    ///
    /// `Bind` when no local port is free, `Keys` for unfit keys.
    pub fn new(identity: &Credentials) -> Result<Self, Report<Error>> {
        let local = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut endpoint = Endpoint::client(local).change_context(Error::Bind)?;
        endpoint.set_default_client_config(identity.client()?);
        Ok(Pool {
            endpoint,
            slots: Arc::default(),
        })
    }

    /// Sends `request` and waits for its reply.
    ///
    /// # Errors
    ///
    /// `Connect` when nothing was sent; any other error leaves the fate open.
    pub async fn call(
        &self,
        address: &str,
        request: wire::Request,
        wait: Duration,
    ) -> Result<wire::Reply, Report<Error>> {
        let connection = self.connect(address).await?;
        let exchange = async {
            let mut stream = self.send(&connection, request).await?;
            let reply = frame::read_frame(&mut stream).await?;
            reply.ok_or_else(|| Report::new(Error::Broken))
        };
        match timeout(wait, exchange).await {
            Ok(result) => result,
            Err(_) => {
                // The path may be silent for good, so the next call connects anew.
                self.forget(address, &connection).await;
                Err(Report::new(Error::Timeout))
            }
        }
    }

    /// Sends `request` and returns the stream of its answer.
    ///
    /// # Errors
    ///
    /// `Connect` when nothing was sent; any other error leaves the fate open.
    pub async fn open_stream(
        &self,
        address: &str,
        request: wire::Request,
    ) -> Result<RecvStream, Report<Error>> {
        let connection = self.connect(address).await?;
        self.send(&connection, request).await
    }

    /// Sends requests from a queue, whose loss is allowed, until it ends.
    pub async fn send_queued(self, address: String, mut queue: mpsc::Receiver<wire::Request>) {
        while let Some(request) = queue.recv().await {
            // Opening may fail while the peer is away; whoever depends on it sends again.
            let _ = self.open_stream(&address, request).await;
        }
    }

    async fn send(
        &self,
        connection: &Connection,
        request: wire::Request,
    ) -> Result<RecvStream, Report<Error>> {
        let opened = connection.open_bi().await;
        let (mut send, receive) = opened.change_context(Error::Connect)?;
        frame::write_frame(&mut send, &request).await?;
        let _ = send.finish();
        Ok(receive)
    }

    async fn connect(&self, address: &str) -> Result<Connection, Report<Error>> {
        let address: SocketAddr = address.parse().change_context(Error::Connect)?;
        let slot = self.slot(address);
        let mut slot = slot.lock().await;
        if let Some(known) = slot.connection.as_ref().filter(|c| c.close_reason().is_none()) {
            return Ok(known.clone());
        }
        if slot.failed.is_some_and(|at| clock::now() < at + BACK_OFF) {
            return Err(Report::new(Error::Connect));
        }
        let connected = self.handshake(address).await;
        slot.failed = connected.is_err().then(clock::now);
        slot.connection = connected.as_ref().ok().cloned();
        connected
    }

    async fn handshake(&self, address: SocketAddr) -> Result<Connection, Report<Error>> {
        let connecting = self
            .endpoint
            .connect(address, SERVER_NAME)
            .change_context(Error::Connect)?;
        timeout(CONNECT, connecting)
            .await
            .change_context(Error::Connect)?
            .change_context(Error::Connect)
    }

    fn slot(&self, address: SocketAddr) -> Arc<tokio::sync::Mutex<Slot>> {
        let mut slots = self.slots.lock().expect("no panic under this lock");
        slots.entry(address).or_default().clone()
    }

    /// Drops `silent` unless another call has replaced it already.
    async fn forget(&self, address: &str, silent: &Connection) {
        let Ok(address) = address.parse::<SocketAddr>() else {
            return;
        };
        let slot = self.slot(address);
        let mut slot = slot.lock().await;
        if slot
            .connection
            .as_ref()
            .is_some_and(|c| c.stable_id() == silent.stable_id())
        {
            slot.connection = None;
        }
    }
}
