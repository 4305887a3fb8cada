//! Rolling replacement of groups whose model or size belongs to an older version.
//!
//! New groups are formed from free VMs first, and old groups are released as new ones
//! are ready and in use by their owners. Without enough free VMs, some of the old groups are released early: a
//! quarter of the replicas, but at least one. So an upgrade needs no spare VMs, and with more
//! than one replica it never removes all of them at the same time.

use std::collections::BTreeMap;

use super::Context;
use super::Demand;
use super::Supply;
use super::plan::is_demand_for;
use super::plan::is_ready;
use crate::domain::state::Group;
use crate::domain::state::Stage;

/// Divisor of the number of replicas that gives how many, but at least one, may be unavailable
/// during a replacement without free VMs.
const MAX_UNAVAILABLE_DIVISOR: usize = 4;

/// Environment, stage and availability zone.
type Key<'a> = (&'a str, Stage, &'a str);

/// Whether `group` can serve the demanded version without a reload; true if the version that
/// it was formed for is no longer kept.
pub(super) fn can_serve_demand(context: &Context, group: &Group, demand: &Demand) -> bool {
    let configuration = context.state.environments.get(&group.environment);
    let loaded = configuration.and_then(|c| c.version(group.version));
    loaded.is_none_or(|v| v.document.is_replica_compatible(demand.document))
}

/// Number of outdated groups that may be released now, by key.
pub(super) fn allowed_releases<'a>(
    context: &Context,
    demands: &'a [Demand],
    supply: &Supply,
) -> BTreeMap<Key<'a>, usize> {
    let mut allowed = BTreeMap::new();
    for demand in demands {
        let groups = context.state.groups.values();
        let all = groups.filter(|g| is_demand_for(demand, g) && g.draining.is_none());
        let (current, outdated): (Vec<&Group>, Vec<&Group>) =
            all.partition(|g| can_serve_demand(context, g, demand));
        if outdated.is_empty() {
            continue;
        }
        let all = current.iter().chain(&outdated);
        let serving = all
            .filter(|g| is_ready(context, g) && is_open(context, g))
            .count();
        let can_form = supply.count(&demand.zone, demand.document) >= demand.document.members_per_replica;
        let all_formed = current.len() >= demand.replicas;
        let max_unavailable = if all_formed || can_form {
            0
        } else {
            (demand.replicas / MAX_UNAVAILABLE_DIVISOR).max(1)
        };
        let min_serving = demand.replicas.saturating_sub(max_unavailable);
        let key = (demand.environment, demand.stage, demand.zone.as_str());
        allowed.insert(key, serving.saturating_sub(min_serving));
    }
    allowed
}

/// Whether a group's owner has learnt that it owns the group, and so dispatches calls to it.
fn is_open(context: &Context, group: &Group) -> bool {
    let applied = group
        .owner
        .as_ref()
        .map(|owner| context.sessions.applied_index(owner));
    applied >= Some(group.owned_since)
}

/// Uses up one allowed release of `key`; false when there is none.
pub(super) fn take_release<'a>(allowed: &mut BTreeMap<Key<'a>, usize>, key: &Key<'a>) -> bool {
    match allowed.get_mut(key) {
        Some(count) if *count > 0 => {
            *count -= 1;
            true
        }
        _ => false,
    }
}
