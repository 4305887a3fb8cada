//! Periodic work of an owner: probes of its replicas' members, ticks and gauges.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::context::Context;
use crate::adapters::clock;
use crate::adapters::upstream;
use crate::domain::dispatch::Event;
use crate::domain::state::Group;
use crate::logging;

/// Interval between ticks of the owner.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Probes all members of owned replicas periodically until the process ends.
pub(super) async fn run_probes(context: Arc<Context>) {
    let interval = Duration::from_millis(context.settings.dispatch.probe_ms);
    let mut ticks = tokio::time::interval(interval);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let groups: Vec<Group> = {
            let core = context.lock();
            core.owner.replicas().values().map(|r| r.group.clone()).collect()
        };
        for group in groups {
            for (position, member) in group.members.into_iter().enumerate() {
                tokio::spawn(probe(context.clone(), group.id, position, member.address));
            }
        }
    }
}

/// Probes one member; its lease counts from the time at which the probe was sent.
async fn probe(context: Arc<Context>, group: u64, position: usize, address: String) {
    let timeout = context.settings.dispatch.member_lease() / 2;
    let sent = clock::now();
    if let Ok(report) = upstream::fetch_report(&context.upstreams, &address, timeout).await {
        context.step(Event::ProbeAnswered {
            group,
            position,
            sent,
            report,
        });
    }
}

/// Ticks the owner and updates the gauges until the process ends.
pub(super) async fn run_ticks(context: Arc<Context>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    let mut was_open_by_group: BTreeMap<u64, bool> = BTreeMap::new();
    let mut had_lease = false;
    loop {
        ticks.tick().await;
        context.step(Event::Tick);
        let is_open_by_group = update_gauges(&context);
        for (group, is_open) in &is_open_by_group {
            let was_open = was_open_by_group.get(group).copied().unwrap_or(false);
            if *is_open && !was_open {
                logging::REPLICA_OPENED.log(format_args!("group={group}"));
            }
            if !*is_open && was_open {
                logging::REPLICA_CLOSED.log(format_args!("group={group}"));
            }
        }
        was_open_by_group = is_open_by_group;
        let has_lease = context.has_lease();
        if had_lease && !has_lease {
            logging::LEASE_LOST.log(format_args!("session={}", context.session));
        }
        had_lease = has_lease;
    }
}

/// Sets the gauges; returns by group whether the replica is open, that is, takes new calls.
fn update_gauges(context: &Context) -> BTreeMap<u64, bool> {
    let now = clock::now();
    let core = context.lock();
    let replicas = core.owner.replicas();
    let is_open = |id: &u64, fence: u64| core.owner.may_send(now, *id, fence);
    let open: BTreeMap<u64, bool> = replicas
        .iter()
        .map(|(id, r)| (*id, is_open(id, r.group.fence)))
        .collect();
    let metrics = &context.metrics;
    metrics.in_flight.set(core.owner.in_flight() as i64);
    metrics.queued.set(core.owner.queued() as i64);
    metrics.replicas_owned.set(replicas.len() as i64);
    metrics
        .replicas_open
        .set(open.values().filter(|o| **o).count() as i64);
    metrics.lease.set(i64::from(now < core.lease_expiry));
    open
}
