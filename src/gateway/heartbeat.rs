//! Heartbeats of VMs, which gateways take over for the controllers.

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

/// Takes over a heartbeat of the VM `id`; returns status and body of the answer.
pub(super) async fn handle(context: &Context, id: &str, body: &Bytes) -> (StatusCode, String) {
    match acknowledge(context, id, body).await {
        Ok(()) => (StatusCode::OK, "{}".to_owned()),
        Err((status, reason)) => {
            logging::HEARTBEAT_REFUSED.log_fields(&[("vm", id.into()), ("reason", reason.as_str().into())]);
            (status, reason)
        }
    }
}

async fn acknowledge(context: &Context, id: &str, body: &Bytes) -> Result<(), (StatusCode, String)> {
    let unavailable = |reason: &str| Err((StatusCode::SERVICE_UNAVAILABLE, reason.to_owned()));
    if context.is_draining() {
        return unavailable("shutting down");
    }
    if !context.is_in_contact(CONTACT_VALIDITY) {
        return unavailable("no leader in reach");
    }
    let announcement = platform::heartbeat::decode(id, body).map_err(|e| (StatusCode::BAD_REQUEST, e))?;
    let is_acknowledged = match context.receive_heartbeat(&announcement) {
        Handling::Renew => true,
        Handling::Forward => forward(context, announcement).await,
    };
    if is_acknowledged {
        Ok(())
    } else {
        unavailable("not acknowledged by the controller")
    }
}

/// Passes a heartbeat on to the controller that answers this gateway's reports.
async fn forward(context: &Context, announcement: Announcement) -> bool {
    let Some(controller) = context.controllers.relay() else {
        return false;
    };
    let call = Call::Announce(Box::new(announcement.clone()));
    let answer = context
        .controllers
        .call_at(controller, &call, FORWARD_TIMEOUT)
        .await;
    if !matches!(answer, Some(Answer::Done)) {
        return false;
    }
    let mut heartbeats = context.heartbeats();
    heartbeats.record_acknowledged(clock::now(), Some(controller), announcement);
    true
}
