//! HTTP server for VMs and operators.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt;
use http::Request;
use http::Response;
use http::StatusCode;
use tokio::runtime::Builder;
use tokio::sync::oneshot;

use super::Error;
use super::heartbeat;
use super::intake;
use super::leader::Leader;
use super::metrics::Metrics;
use super::relay::Relay;
use super::text::Text;
use crate::adapters::http1;
use crate::adapters::http1::Body;
use crate::adapters::http1::Incoming;
use crate::adapters::http1::Limits;
use crate::adapters::http1::Peer;
use crate::adapters::http1::UnreadBody;
use crate::adapters::memory::Memory;
use crate::domain::fleet::Announcement;
use crate::domain::fleet::Answer;
use crate::domain::fleet::Call;
use crate::domain::fleet::Document;
use crate::logging;
use crate::platform;
use crate::platform::configuration;
use crate::platform::path;

/// Answers calls of VMs and operators.
#[derive(Clone)]
pub(super) struct Server {
    pub(super) leader: Leader,
    pub(super) relay: Relay,
    pub(super) metrics: Metrics,
    /// Address for VMs and operators; its port is the same at every controller.
    pub(super) own_address: SocketAddr,
    /// Budget of what callers make this process hold.
    pub(super) memory: Memory,
    /// Text of the configuration in force.
    pub(super) text: Arc<Text>,
}

/// Serves `addresses` on a thread of its own until the process ends.
///
/// Thousands of VMs send their heartbeats here while gateways refuse them. On the thread of the relay they would
/// take the time in which the relay gets the next overview, from which gateways accept heartbeats again.
///
/// # Errors
///
/// `Listen` if the thread cannot be started or an address cannot be opened.
pub(super) async fn serve(
    server: Server,
    addresses: Vec<SocketAddr>,
    limits: Limits,
) -> Result<(), Report<Error>> {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.change_context(Error::Listen)?;
    let (sender, outcome) = oneshot::channel();
    let server = Arc::new(server);
    let run = async move {
        let opened = listen(&server, addresses, limits).await;
        let is_open = opened.is_ok();
        let _ = sender.send(opened);
        if is_open {
            std::future::pending::<()>().await;
        }
    };
    thread::Builder::new()
        .name("web".to_owned())
        .spawn(move || runtime.block_on(run))
        .change_context(Error::Listen)?;
    let outcome = outcome.await.change_context(Error::Listen)?;
    outcome.change_context(Error::Listen)
}

async fn listen(server: &Arc<Server>, addresses: Vec<SocketAddr>, limits: Limits) -> std::io::Result<()> {
    for address in addresses {
        let server = server.clone();
        let handler = move |request| handle(server.clone(), request);
        http1::serve_limited(address, limits.clone(), handler).await?;
    }
    Ok(())
}

/// Answers one HTTP request and counts it.
async fn handle(server: Arc<Server>, request: Request<Incoming>) -> Response<Body> {
    let response = server.respond(request).await;
    let status = response.status().as_str().to_owned();
    server.metrics.calls.with_label_values(&[&status]).inc();
    response
}

impl Server {
    async fn respond(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        if head.uri.path() == "/metrics" {
            self.metrics.update_memory(&self.memory);
            return reply(StatusCode::OK, self.metrics.text());
        }
        let peer = head.extensions.get::<Peer>().map(|peer| peer.0.to_string());
        let body = match intake::read_body(&self.memory, body, peer.unwrap_or_default()).await {
            Ok(body) => body,
            Err((status, reason)) => {
                let mut response = reply(status, reason);
                response.extensions_mut().insert(UnreadBody);
                return response;
            }
        };
        let call = match path::parse(&head.method, head.uri.path()) {
            path::Call::Adopt => match decode_catalog(&body) {
                Ok(call) => call,
                Err(reason) => return refuse_catalog(&reason),
            },
            path::Call::Read => Call::Read,
            path::Call::ZoneOut(zone) => Call::SetZone {
                zone: zone.into_owned(),
                out: true,
            },
            path::Call::ZoneIn(zone) => Call::SetZone {
                zone: zone.into_owned(),
                out: false,
            },
            path::Call::Heartbeat(id) => match platform::heartbeat::decode(&id, &body) {
                Ok(announcement) => return self.announce(announcement).await,
                Err(reason) => {
                    logging::HEARTBEAT_REFUSED
                        .log_fields(&[("vm", id.as_ref().into()), ("reason", reason.as_str().into())]);
                    return reply(StatusCode::BAD_REQUEST, reason);
                }
            },
            path::Call::Leave(id) => {
                if heartbeat::leave(&self.relay, &self.leader, id.into_owned()).await {
                    return reply(StatusCode::OK, "{}");
                }
                return reply(StatusCode::SERVICE_UNAVAILABLE, "no leader in reach");
            }
            path::Call::Invalid(reason) => return reply(StatusCode::BAD_REQUEST, reason),
            path::Call::Unknown => return reply(StatusCode::NOT_FOUND, "no such call"),
        };
        match self.leader.ask(call).await {
            Some(Answer::Done) => reply(StatusCode::OK, "{}"),
            Some(Answer::Text(Some(compressed))) => match self.text.share(&compressed) {
                Ok(text) => reply(StatusCode::OK, text),
                Err(e) => reply(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
            },
            Some(Answer::Text(None)) => reply(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet"),
            _ => reply(StatusCode::SERVICE_UNAVAILABLE, "no leader in reach"),
        }
    }

    async fn announce(&self, announcement: Announcement) -> Response<Body> {
        let (id, zone) = (announcement.id.clone(), announcement.zone.clone());
        if !heartbeat::announce(&self.relay, &self.leader, Box::new(announcement)).await {
            return reply(StatusCode::SERVICE_UNAVAILABLE, "no leader in reach");
        }
        let port = self.own_address.port();
        let next = self.relay.heartbeat_address(&zone, &id, port);
        let next = next.unwrap_or(self.own_address);
        reply(StatusCode::OK, platform::heartbeat::encode_answer(next))
    }
}

fn decode_catalog(body: &[u8]) -> Result<Call, String> {
    let definition = configuration::check(body)?;
    let text = std::str::from_utf8(body).map_err(|e| e.to_string())?;
    Ok(Call::Adopt(Box::new(Document::new(text, &definition))))
}

fn refuse_catalog(reason: &str) -> Response<Body> {
    logging::CATALOG_REFUSED.log_fields(&[("reason", reason.into())]);
    reply(StatusCode::BAD_REQUEST, reason.to_owned())
}

fn reply(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let text = text.into();
    let is_json = text.starts_with(b"{");
    let content_type = if is_json { "application/json" } else { "text/plain" };
    let mut response = Response::new(Body::whole(text));
    *response.status_mut() = status;
    let content_type = http::HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    response
}
