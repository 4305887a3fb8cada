//! Connecting to a target, directly or through another gateway.
//!
//! A connection that fails or takes long on this gateway's own link may succeed on another gateway's. That
//! gateway, the helper, only passes bytes on: targets, limits, attempts and deadlines stay with the gateway that
//! has the caller.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::sleep;
use tokio::time::timeout;

use super::context::Context;
use super::send::Path;
use super::send::Send;
use crate::adapters::clock;
use crate::adapters::http1::Cause;
use crate::adapters::http1::Link;
use crate::adapters::quic::Duplex;
use crate::adapters::wire;
use crate::adapters::wire::reply;
use crate::adapters::wire::request;
use crate::adapters::wire::tunneled::Status;
use crate::domain::fleet::Target;
use crate::domain::gateway::DIAL_TIME;
use crate::domain::gateway::Way;
use crate::logging;

/// Time after which a direct connection that is not established is tried through a helper, too.
const HELPER_DELAY: Duration = Duration::from_millis(100);
/// The same while the link is suspect: a sound link connects before.
const SUSPECT_HELPER_DELAY: Duration = Duration::from_millis(20);
/// Time after which a further helper is asked beside those that have not answered.
const NEXT_HELPER_DELAY: Duration = Duration::from_millis(120);
/// Helpers that are asked for one connection.
const MAX_HELPERS: usize = 3;
/// Time limit for a helper's answer; it connects in less.
const HELPER_TIMEOUT: Duration = Duration::from_millis(350);

/// Open tunnel through a helper; it counts until it is dropped.
pub(super) struct Tunnel {
    context: Arc<Context>,
    pub(super) helper: SocketAddr,
    connection: quinn::Connection,
}

impl Tunnel {
    /// Whether the connection to the helper is lost, and with it the tunnel.
    pub(super) fn is_lost(&self) -> bool {
        self.connection.close_reason().is_some()
    }
}

impl Drop for Tunnel {
    fn drop(&mut self) {
        self.context.reach().close_tunnel(self.helper);
    }
}

/// Opens a connection to the target of `send` at `address`, and records the way that it takes, if any.
pub(super) async fn open(send: &Send, address: SocketAddr) -> Result<Link, Cause> {
    let begun = clock::now();
    let opened = timeout(DIAL_TIME, open_either_way(send, address))
        .await
        .unwrap_or(Err(Cause::TimedOut));
    let id = send.target.id.as_str();
    match opened {
        Ok(_) => send.context.refusals().clear(id),
        Err(Cause::Refused) => {
            let incarnation = send.target.incarnation;
            send.context.refusals().record(clock::now(), id, incarnation);
        }
        Err(_) => {}
    }
    let mut balancer = send.context.balancer();
    match opened {
        Ok(_) => balancer.record_reached(id),
        Err(_) => balancer.record_unreached(clock::now(), begun, id),
    }
    opened
}

async fn open_either_way(send: &Send, address: SocketAddr) -> Result<Link, Cause> {
    let (context, target) = (&send.context, &send.target);
    let way = context.reach().way(clock::now(), &target.id);
    let mut direct = pin!(context.upstreams.dialer().open(address));
    let mut detour = pin!(ask_helpers(context, target));
    let helper_delay = match way {
        Way::Direct => HELPER_DELAY,
        Way::Cautious => SUSPECT_HELPER_DELAY,
        Way::Detour => Duration::ZERO,
    };
    let mut direct_failure = None;
    let mut detour_failure = None;
    let mut is_late = false;
    loop {
        let uses_direct = direct_failure.is_none() && (way != Way::Detour || detour_failure.is_some());
        let uses_detour =
            detour_failure.is_none() && (way == Way::Detour || is_late || direct_failure.is_some());
        tokio::select! {
            biased;
            opened = &mut direct, if uses_direct => match opened {
                Ok(stream) => {
                    context.reach().record_direct(clock::now(), &target.id);
                    context.update_reach();
                    send.set_path(Path::Direct);
                    return Ok(Link::Direct(stream));
                }
                Err(error) => direct_failure = Some(Cause::from(&error)),
            },
            opened = &mut detour, if uses_detour => match opened {
                Ok((duplex, helper)) => {
                    record_detour(send, address, helper, direct_failure);
                    return Ok(link(send, duplex, helper));
                }
                Err(status) => detour_failure = Some(status),
            },
            () = sleep(helper_delay), if uses_direct && !uses_detour && !is_late => is_late = true,
            else => break,
        }
    }
    if matches!(detour_failure, Some(Status::Refused | Status::TimedOut)) {
        send.set_path(Path::None);
    }
    Err(direct_failure.unwrap_or(Cause::TimedOut))
}

/// Tunnel as the link of a send.
fn link(send: &Send, duplex: Duplex, helper: SocketAddr) -> Link {
    send.context.reach().open_tunnel(helper);
    send.set_path(Path::Tunnel(Tunnel {
        context: send.context.clone(),
        helper,
        connection: duplex.connection,
    }));
    Link::Tunnel(Box::new(tokio::io::join(duplex.receive, duplex.send)))
}

/// Records that a helper reaches a target that this gateway does not, which clears the target of failures on
/// this gateway's link.
fn record_detour(send: &Send, address: SocketAddr, helper: SocketAddr, failure: Option<Cause>) {
    let (context, id) = (&send.context, send.target.id.as_str());
    context.metrics.detours.inc();
    let is_new = context.reach().record_detour(clock::now(), id);
    context.update_reach();
    if !is_new {
        return;
    }
    if failure != Some(Cause::Refused) {
        // A link that is silent for a new connection is so for idle ones.
        context.upstreams.close_idle(address);
    }
    context.balancer().clear_failures(id);
    context.links_changed.notify_waiters();
    logging::DETOUR_TAKEN.log_fields(&[
        ("target", id.into()),
        ("helper", helper.to_string().as_str().into()),
        ("cause", failure.map_or("late", Cause::name).into()),
    ]);
}

/// Asks helpers for a connection to `target`; returns the first one, or the last helper's reason.
async fn ask_helpers(context: &Context, target: &Target) -> Result<(Duplex, SocketAddr), Status> {
    let mut helpers = context.reach().helpers(clock::now(), MAX_HELPERS).into_iter();
    let mut asked = FuturesUnordered::new();
    let mut last = Status::Unknown;
    asked.extend(helpers.next().map(|helper| ask(context, target, helper)));
    loop {
        let answer = tokio::select! {
            biased;
            Some(answer) = asked.next() => Some(answer),
            () = sleep(NEXT_HELPER_DELAY), if helpers.len() > 0 => None,
            else => return Err(last),
        };
        match answer {
            Some(Ok(opened)) => return Ok(opened),
            Some(Err(status)) => last = status,
            None => {}
        }
        asked.extend(helpers.next().map(|helper| ask(context, target, helper)));
    }
}

async fn ask(context: &Context, target: &Target, helper: SocketAddr) -> Result<(Duplex, SocketAddr), Status> {
    match call(context, target, helper, false).await {
        Some((Status::Open, duplex)) => Ok((duplex, helper)),
        Some((status, _)) => Err(status),
        None => Err(Status::Unknown),
    }
}

/// Asks whether the process of `target` has ended: whether a helper finds that the target refuses connections
/// while another target accepts one. None if no helper can tell.
pub(super) async fn ask_whether_ended(context: &Context, target: &Target) -> Option<bool> {
    let helpers = context.reach().helpers(clock::now(), MAX_HELPERS);
    for helper in helpers {
        match call(context, target, helper, true).await {
            Some((Status::Refused, _)) => return Some(true),
            Some((Status::Open, _)) => return Some(false),
            _ => {}
        }
    }
    None
}

/// Calls a helper; none if it does not answer.
async fn call(
    context: &Context,
    target: &Target,
    helper: SocketAddr,
    is_probe: bool,
) -> Option<(Status, Duplex)> {
    let tunnel = wire::Tunnel {
        target: target.id.clone(),
        address: target.address.clone(),
        probe: is_probe,
    };
    let request = wire::Request {
        kind: Some(request::Kind::Tunnel(tunnel)),
    };
    let address = helper.to_string();
    let opening = context.peers.open_duplex(&address, &request, HELPER_TIMEOUT);
    let answer = opening.await.ok().and_then(|(reply, duplex)| match reply.kind {
        Some(reply::Kind::Tunneled(tunneled)) => Some((tunneled.status(), duplex)),
        _ => None,
    });
    let status = answer.as_ref().map(|(status, _)| *status);
    let label = status.map_or("no answer", |s| status_name(s));
    context.metrics.helper_answers.with_label_values(&[label]).inc();
    // A helper whose own link is at fault finds no target in reach, and may not know why yet.
    if status != Some(Status::Open) {
        context.reach().record_helper_failure(clock::now(), helper);
    }
    answer
}

fn status_name(status: Status) -> &'static str {
    match status {
        Status::Unknown => "unknown",
        Status::Open => "open",
        Status::Refused => "refused",
        Status::TimedOut => "timed out",
        Status::Busy => "busy",
        Status::Unlisted => "unlisted",
    }
}
