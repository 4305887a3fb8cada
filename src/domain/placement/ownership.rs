//! Assignment of an owner, an entry, to each group.
//!
//! A group keeps its owner while the owner's session is alive, is not draining and does not
//! own more groups than the bound, the mean plus `MAX_GROUPS_ABOVE_MEAN`. A new owner is
//! chosen among the entries below the bound by rendezvous hashing; entries in the zone of the
//! group come first.
//!
//! Ownership moves in two steps, so that two owners never dispatch to a group concurrently: the
//! old owner is removed, and the new one is assigned only after every entry has confirmed
//! the removal or its session has ended.

use std::collections::BTreeMap;

use crate::domain::session::Table;
use crate::domain::state::Command;
use crate::domain::state::Group;
use crate::domain::state::State;

/// Number of groups that an owner may have above the mean.
const MAX_GROUPS_ABOVE_MEAN: usize = 1;

/// Commands that remove owners to be replaced, and assign an owner to groups without one.
pub fn assign_owners(state: &State, sessions: &Table) -> Vec<Command> {
    let mut group_counts: BTreeMap<&str, usize> = BTreeMap::new();
    for session in state.entries.keys() {
        if sessions.has_synced(session) && !sessions.is_draining(session) {
            group_counts.insert(session, 0);
        }
    }
    for owner in state.groups.values().filter_map(|g| g.owner.as_deref()) {
        if let Some(count) = group_counts.get_mut(owner) {
            *count += 1;
        }
    }
    if group_counts.is_empty() {
        return Vec::new();
    }
    let max_groups = state.groups.len().div_ceil(group_counts.len()) + MAX_GROUPS_ABOVE_MEAN;
    let mut commands = Vec::new();
    for group in state.groups.values() {
        match &group.owner {
            Some(owner) if group_counts.get(owner.as_str()).is_some_and(|n| *n <= max_groups) => {}
            Some(owner) => {
                if let Some(count) = group_counts.get_mut(owner.as_str()) {
                    *count -= 1;
                }
                commands.push(assign_command(group, None));
            }
            None if sessions.all_applied(state, group.owned_since) => {
                if let Some(owner) = choose_owner(state, group, &group_counts, max_groups) {
                    *group_counts.entry(owner).or_default() += 1;
                    commands.push(assign_command(group, Some(owner.to_owned())));
                }
            }
            None => {}
        }
    }
    commands
}

/// Command that assigns `owner` to a group, or removes its owner if `None`.
fn assign_command(group: &Group, owner: Option<String>) -> Command {
    Command::Assign {
        group: group.id,
        epoch: group.epoch,
        owner,
    }
}

fn choose_owner<'a>(
    state: &State,
    group: &Group,
    group_counts: &BTreeMap<&'a str, usize>,
    max_groups: usize,
) -> Option<&'a str> {
    let below_bound = group_counts.iter().filter(|(_, count)| **count < max_groups);
    let best = below_bound.max_by_key(|(session, _)| {
        let zone = state.entries.get(**session).map(|e| e.zone.as_str());
        let is_same_zone = zone == Some(group.zone.as_str());
        let weight = xxhash_rust::xxh3::xxh3_64_with_seed(session.as_bytes(), group.id);
        (is_same_zone, weight)
    });
    best.map(|(session, _)| *session)
}
