//! QUIC server, which passes each request to a handler.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use error_stack::Report;
use error_stack::ResultExt;
use quinn::Endpoint;
use quinn::RecvStream;
use quinn::SendStream;

use super::Credentials;
use super::Error;
use super::frame;
use crate::adapters::wire;
use crate::domain::fleet::Admission;

/// Sending half of a request's stream, for the answer.
pub type Stream = SendStream;

/// Both halves of a request's stream, which goes on after the request.
#[derive(Debug)]
pub struct Duplex {
    /// For bytes to the peer.
    pub send: SendStream,
    /// For bytes from the peer.
    pub receive: RecvStream,
    /// Connection of the stream.
    pub connection: quinn::Connection,
}

/// Connection that a peer asks for.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Address of the peer.
    pub address: SocketAddr,
    /// Whether the peer has just shown that it receives packets at this address.
    pub is_validated: bool,
    /// Connections that are open.
    pub connections: usize,
}

/// Listens on `address` and runs `handler` for each request, in a task of its own.
///
/// The server runs until the returned endpoint is closed. A request that cannot be read gets no
/// answer.
///
/// # Errors
///
/// `Bind` when the address cannot be opened, `Keys` when the credentials are invalid.
pub fn serve<H, F>(
    address: SocketAddr,
    credentials: &Credentials,
    handler: H,
) -> Result<Endpoint, Report<Error>>
where
    H: Fn(wire::Request, Stream) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    serve_admitted(address, credentials, |_| Admission::Accept, handler)
}

/// Listens as [`serve`] does, for the connections that `admit` accepts.
///
/// # Errors
///
/// As for [`serve`].
pub fn serve_admitted<A, H, F>(
    address: SocketAddr,
    credentials: &Credentials,
    admit: A,
    handler: H,
) -> Result<Endpoint, Report<Error>>
where
    A: Fn(Arrival) -> Admission + Send + 'static,
    H: Fn(wire::Request, Stream) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    listen(
        address,
        credentials.server_config(None)?,
        admit,
        move |request, stream| {
            let Duplex { send, receive, .. } = stream;
            let handling = handler(request, send);
            async move {
                handling.await;
                // Dropped earlier, it would tell the peer to stop sending.
                drop(receive);
            }
        },
    )
}

/// Listens as [`serve`] does; `handler` gets the stream in both directions, of which `stream_window` bytes are
/// held at most before they are read.
///
/// # Errors
///
/// As for [`serve`].
pub fn serve_duplex<H, F>(
    address: SocketAddr,
    credentials: &Credentials,
    stream_window: u32,
    handler: H,
) -> Result<Endpoint, Report<Error>>
where
    H: Fn(wire::Request, Duplex) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    listen(
        address,
        credentials.server_config(Some(stream_window))?,
        |_| Admission::Accept,
        handler,
    )
}

fn listen<A, H, F>(
    address: SocketAddr,
    config: quinn::ServerConfig,
    admit: A,
    handler: H,
) -> Result<Endpoint, Report<Error>>
where
    A: Fn(Arrival) -> Admission + Send + 'static,
    H: Fn(wire::Request, Duplex) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let endpoint = Endpoint::server(config, address)
        .change_context(Error::Bind)
        .attach_with(|| address.to_string())?;
    let handler = Arc::new(handler);
    let acceptor = endpoint.clone();
    tokio::spawn(async move {
        while let Some(incoming) = acceptor.accept().await {
            let arrival = Arrival {
                address: incoming.remote_address(),
                is_validated: incoming.remote_address_validated(),
                connections: acceptor.open_connections(),
            };
            match admit(arrival) {
                Admission::Accept => {}
                Admission::Validate if incoming.may_retry() => {
                    // Fails only for a peer that has been asked before.
                    let _ = incoming.retry();
                    continue;
                }
                Admission::Validate | Admission::Refuse(_) => {
                    incoming.refuse();
                    continue;
                }
            }
            let handler = handler.clone();
            tokio::spawn(async move {
                if let Ok(connection) = incoming.await {
                    accept_streams(connection, handler).await;
                }
            });
        }
    });
    Ok(endpoint)
}

async fn accept_streams<H, F>(connection: quinn::Connection, handler: Arc<H>)
where
    H: Fn(wire::Request, Duplex) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    while let Ok((send, mut receive)) = connection.accept_bi().await {
        let handler = handler.clone();
        let connection = connection.clone();
        tokio::spawn(async move {
            if let Ok(Some(request)) = frame::read_frame(&mut receive).await {
                handler(
                    request,
                    Duplex {
                        send,
                        receive,
                        connection,
                    },
                )
                .await;
            }
        });
    }
}
