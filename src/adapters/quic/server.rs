//! Server side of the QUIC adapter.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use error_stack::Report;
use error_stack::ResultExt;
use quinn::Endpoint;
use quinn::SendStream;

use super::Credentials;
use super::Error;
use super::frame;
use crate::adapters::wire;

/// Stream on which a request is answered.
pub type Stream = SendStream;

/// Opens `address` and answers every request with `handler`.
///
/// # Errors
///
/// `Bind` when the address is taken, `Keys` for unfit keys.
pub fn serve<H, F>(address: SocketAddr, identity: &Credentials, handler: H) -> Result<Endpoint, Report<Error>>
where
    H: Fn(wire::Request, Stream) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let endpoint = Endpoint::server(identity.server()?, address)
        .change_context(Error::Bind)
        .attach_with(|| address.to_string())?;
    let handler = Arc::new(handler);
    let accepting = endpoint.clone();
    tokio::spawn(async move {
        while let Some(incoming) = accepting.accept().await {
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
    H: Fn(wire::Request, Stream) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    while let Ok((send, mut receive)) = connection.accept_bi().await {
        let handler = handler.clone();
        tokio::spawn(async move {
            if let Ok(Some(request)) = frame::read_frame(&mut receive).await {
                handler(request, send).await;
            }
        });
    }
}
