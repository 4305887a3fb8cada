//! Renewal of the session and reception of changes.

use std::sync::Arc;
use std::time::Duration;

use super::context::Context;
use crate::adapters::clock;
use crate::adapters::control::Error;
use crate::adapters::wire;
use crate::adapters::wire::reply::Kind as Reply;
use crate::adapters::wire::request::Kind as Request;
use crate::domain::dispatch::Event;
use crate::domain::state::Command;
use crate::domain::state::State;
use crate::logging;

/// Longest wait for one answer; the leader holds it back while there is no news.
const WAIT: Duration = Duration::from_millis(700);
/// Pause after a failed request.
const PAUSE: Duration = Duration::from_millis(30);

/// Keeps the session alive until the process ends.
pub(super) async fn run(context: Arc<Context>) {
    loop {
        let sent = clock::now();
        let reply = context
            .control
            .call(request(&context), WAIT, Duration::ZERO)
            .await;
        match reply {
            Ok(Reply::Synced(synced)) => {
                if let Err(e) = learn(&context, sent, synced) {
                    log::error!(target: "heatherramp", "unreadable changes: {e}");
                    tokio::time::sleep(PAUSE).await;
                }
            }
            _ => tokio::time::sleep(PAUSE).await,
        }
    }
}

fn request(context: &Context) -> Request {
    let core = context.lock();
    Request::Sync(wire::Sync {
        session: context.session.clone(),
        address: context.settings.listen_peer.to_string(),
        zone: context.settings.availability_zone.clone(),
        applied: core.state.index,
        draining: context.is_draining(),
        busy: core.owner.busy_draining_groups(),
    })
}

fn learn(context: &Context, sent: Duration, synced: wire::Synced) -> Result<(), Error> {
    let mut core = context.lock();
    if synced.index < core.state.index {
        // An answer that a newer one has overtaken renews nothing.
        return Ok(());
    }
    let before = core.state.index;
    if !synced.snapshot_json.is_empty() {
        let state: State = serde_json::from_slice(&synced.snapshot_json).map_err(|_| Error::Malformed)?;
        assert!(state.index >= before, "an entry's state never reverts");
        core.state = state;
    }
    for change in synced.changes {
        let command: Command = serde_json::from_slice(&change.command_json).map_err(|_| Error::Malformed)?;
        if change.index > core.state.index {
            core.state.apply(change.index, &command);
        }
    }
    core.state.index = core.state.index.max(synced.index);
    let now = clock::now();
    let core = &mut *core;
    if now >= core.permit {
        logging::LEASE_GAINED.log(format_args!(
            "session={} index={}",
            context.session, core.state.index
        ));
    }
    core.permit = core.permit.max(sent + Duration::from_millis(synced.lease_ms));
    let mut actions = core.owner.step(now, Event::State(&core.state));
    let lease = Event::Lease { until: core.permit };
    actions.extend(core.owner.step(now, lease));
    core.route.apply_state(&core.state);
    context.hand_out(actions);
    Ok(())
}
