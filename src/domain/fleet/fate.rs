//! What has become of the process behind a lost connection, by the heartbeats that the leader has heard.
//!
//! A link at fault loses connections, too, while the process at its other end goes on and sends heartbeats. So the
//! process counts as ended only once another one has its identifier or its address, and only if it sent no
//! heartbeat after the loss. One that had said that it shuts down has ended as planned.

use std::time::Duration;

use super::Registry;
use super::Timing;
use super::proof::Proofs;
use crate::domain::quarantine::Fate;

/// Longest time from a loss to its arrival at the leader, beyond the time that gateways and relays state.
const TRANSIT_TIME: Duration = Duration::from_millis(500);

/// Fate of an incarnation of a VM to which a connection was lost at `lost_at`.
pub(super) fn of_vm(
    registry: &Registry,
    proofs: &Proofs,
    timing: &Timing,
    (id, incarnation): (&str, u64),
    lost_at: Duration,
) -> Fate {
    let Some(vm) = registry.get(id) else {
        return Fate::Unknown;
    };
    // A heartbeat from before the loss may arrive after it.
    let has_run_on = |last_heartbeat: Duration| last_heartbeat > lost_at + timing.heartbeat_delay();
    let known = vm.announcement.incarnation;
    if known < incarnation {
        return Fate::Unknown;
    }
    if known == incarnation {
        if registry.is_shutting_down(vm) || has_run_on(vm.last_heartbeat) {
            return Fate::Unrelated;
        }
        let is_ended = vm.gone || proofs.has_ended(registry, id, incarnation);
        return if is_ended { Fate::Ended } else { Fate::Unknown };
    }
    // Targets that a gateway holds may be older than the process that it was connected to.
    if lost_at > vm.first_heartbeat + TRANSIT_TIME || registry.has_left(id, incarnation) {
        return Fate::Unrelated;
    }
    let predecessor = vm.predecessor.filter(|p| p.incarnation == incarnation);
    match predecessor {
        Some(p) if p.was_shutting_down || has_run_on(p.last_heartbeat) => Fate::Unrelated,
        _ => Fate::Ended,
    }
}
