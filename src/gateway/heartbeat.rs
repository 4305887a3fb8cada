//! Heartbeats of VMs, which gateways take over for the controllers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;

use super::context::Context;
use crate::adapters::clock;
use crate::domain::fleet::Announcement;
use crate::domain::fleet::Answer;
use crate::domain::fleet::Call;
use crate::domain::fleet::Handling;
use crate::logging;
use crate::platform;

/// Time limit of a controller's answer; a VM tries another address after a second.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(800);
/// Time since the leader last confirmed the gateway's data after which heartbeats are refused: less than
/// their interval, so that at most one heartbeat of a VM is acknowledged in vain.
const CONTACT_VALIDITY: Duration = Duration::from_millis(1_000);

/// Status and reason of a refusal.
type Refusal = (StatusCode, String);

/// Takes over a heartbeat of the VM `id`; returns status and body of the answer.
pub(super) async fn handle(context: &Context, id: &str, body: &Bytes) -> (StatusCode, String) {
    answer(id, receive(context, id, body).await)
}

/// Tells the leader that the VM `id` has shut down; returns status and body of the answer.
pub(super) async fn handle_leave(context: &Context, id: &str) -> (StatusCode, String) {
    answer(id, leave(context, id).await)
}

fn answer(id: &str, result: Result<(), Refusal>) -> (StatusCode, String) {
    match result {
        Ok(()) => (StatusCode::OK, "{}".to_owned()),
        Err((status, reason)) => {
            logging::HEARTBEAT_REFUSED.log_fields(&[("vm", id.into()), ("reason", reason.as_str().into())]);
            (status, reason)
        }
    }
}

async fn receive(context: &Context, id: &str, body: &Bytes) -> Result<(), Refusal> {
    check_contact(context)?;
    let announcement = platform::heartbeat::decode(id, body).map_err(|e| (StatusCode::BAD_REQUEST, e))?;
    if context.receive_heartbeat(&announcement) == Handling::Forward {
        announce(context, announcement).await?;
    }
    Ok(())
}

/// Passes a heartbeat on to the controller.
async fn announce(context: &Context, announcement: Announcement) -> Result<(), Refusal> {
    let controller = forward(context, Call::Announce(Box::new(announcement.clone()))).await?;
    let mut heartbeats = context.heartbeats();
    heartbeats.record_acknowledged(clock::now(), Some(controller), announcement);
    Ok(())
}

/// Passes on the latest heartbeats of VMs that the controller does not know.
///
/// Without its acknowledgement, the next heartbeat of the VM is passed on.
pub(super) fn announce_unknown(context: &Arc<Context>, unknown: &[String]) {
    for id in unknown {
        let Some(announcement) = context.heartbeats().take_unknown(id) else {
            continue;
        };
        let context = context.clone();
        tokio::spawn(async move {
            if let Err((_, reason)) = announce(&context, announcement.clone()).await {
                let id = announcement.id.as_str();
                logging::HEARTBEAT_REFUSED
                    .log_fields(&[("vm", id.into()), ("reason", reason.as_str().into())]);
            }
        });
    }
}

async fn leave(context: &Context, id: &str) -> Result<(), Refusal> {
    check_contact(context)?;
    context.heartbeats().forget(id);
    forward(context, Call::Leave { id: id.to_owned() }).await?;
    Ok(())
}

fn check_contact(context: &Context) -> Result<(), Refusal> {
    if context.is_draining() {
        return Err(unavailable("shutting down"));
    }
    if !context.is_in_contact(CONTACT_VALIDITY) {
        return Err(unavailable("no leader in reach"));
    }
    Ok(())
}

fn unavailable(reason: &str) -> Refusal {
    (StatusCode::SERVICE_UNAVAILABLE, reason.to_owned())
}

/// Calls the controller that answers this gateway's reports; returns its address if it has acknowledged.
async fn forward(context: &Context, call: Call) -> Result<SocketAddr, Refusal> {
    let controller = context.controllers.relay();
    let controller = controller.ok_or_else(|| unavailable("no controller in reach"))?;
    let answer = context
        .controllers
        .call_at(controller, &call, FORWARD_TIMEOUT)
        .await;
    match answer {
        Some(Answer::Done) => Ok(controller),
        _ => Err(unavailable("not acknowledged by the controller")),
    }
}
