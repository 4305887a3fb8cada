//! Renewal of the entry's session and lease, and replication of the state from the leader.

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

/// Longest wait for one answer; without changes the leader holds it back for the `poll_ms` of
/// its session settings.
const SYNC_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay after a failed request.
const RETRY_DELAY: Duration = Duration::from_millis(30);

/// Renews the session and applies changes until the process ends.
pub(super) async fn run(context: Arc<Context>) {
    loop {
        let sent_at = clock::now();
        // With a total of zero the client makes a single try.
        let reply = context
            .control
            .call(sync_request(&context), SYNC_TIMEOUT, Duration::ZERO)
            .await;
        match reply {
            Ok(Reply::Synced(synced)) => {
                if let Err(e) = apply_sync(&context, sent_at, synced) {
                    log::error!(target: "heatherramp", "cannot decode changes from the control group: {e}");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
            _ => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

fn sync_request(context: &Context) -> Request {
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

/// Applies an answer to the request that was sent at `sent_at`, which renews the lease.
fn apply_sync(context: &Context, sent_at: Duration, synced: wire::Synced) -> Result<(), Error> {
    let mut core = context.lock();
    if synced.index < core.state.index {
        // A newer answer has arrived before this one, which therefore renews nothing.
        return Ok(());
    }
    let applied_index = core.state.index;
    if !synced.snapshot_json.is_empty() {
        let state: State = serde_json::from_slice(&synced.snapshot_json).map_err(|_| Error::Malformed)?;
        assert!(state.index >= applied_index, "an entry's state never reverts");
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
    if now >= core.lease_expiry {
        logging::LEASE_GAINED.log(format_args!(
            "session={} index={}",
            context.session, core.state.index
        ));
    }
    core.lease_expiry = core
        .lease_expiry
        .max(sent_at + Duration::from_millis(synced.lease_ms));
    let mut actions = core.owner.step(now, Event::State(&core.state));
    let lease = Event::Lease {
        until: core.lease_expiry,
    };
    actions.extend(core.owner.step(now, lease));
    core.router.apply_state(&core.state);
    context.deliver(actions);
    Ok(())
}
