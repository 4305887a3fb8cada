//! Choice of the entry that dispatches to each group.
//!
//! A group keeps its owner while that owner lives. A new owner is chosen by
//! rendezvous hashing, same availability zone first, with a bound on the number
//! of groups per owner. Ownership moves in two steps: the old owner lets go and
//! confirms, or its session ends; only then does the new one start.

use std::collections::BTreeMap;

use crate::domain::session::Table;
use crate::domain::state::Command;
use crate::domain::state::Group;
use crate::domain::state::State;

/// Groups per owner above the mean that are still accepted.
const SLACK_GROUPS: usize = 1;

/// Commands that give every group a live owner.
pub fn assign_owners(state: &State, sessions: &Table) -> Vec<Command> {
    let mut load: BTreeMap<&str, usize> = BTreeMap::new();
    for session in state.entries.keys() {
        if sessions.is_known(session) && !sessions.is_draining(session) {
            load.insert(session, 0);
        }
    }
    for owner in state.groups.values().filter_map(|g| g.owner.as_deref()) {
        if let Some(count) = load.get_mut(owner) {
            *count += 1;
        }
    }
    if load.is_empty() {
        return Vec::new();
    }
    let bound = state.groups.len().div_ceil(load.len()) + SLACK_GROUPS;
    let mut commands = Vec::new();
    for group in state.groups.values() {
        match &group.owner {
            Some(owner) if load.get(owner.as_str()).is_some_and(|n| *n <= bound) => {}
            Some(owner) => {
                if let Some(count) = load.get_mut(owner.as_str()) {
                    *count -= 1;
                }
                commands.push(change(group, None));
            }
            None if sessions.has_applied(state, group.owned_since) => {
                if let Some(owner) = choose(state, group, &load, bound) {
                    *load.entry(owner).or_default() += 1;
                    commands.push(change(group, Some(owner.to_owned())));
                }
            }
            None => {}
        }
    }
    commands
}

fn change(group: &Group, owner: Option<String>) -> Command {
    Command::Assign {
        group: group.id,
        epoch: group.epoch,
        owner,
    }
}

fn choose<'a>(
    state: &State,
    group: &Group,
    load: &BTreeMap<&'a str, usize>,
    bound: usize,
) -> Option<&'a str> {
    let open = load.iter().filter(|(_, count)| **count < bound);
    let best = open.max_by_key(|(session, _)| {
        let zone = state.entries.get(**session).map(|e| e.zone.as_str());
        let near = zone == Some(group.zone.as_str());
        let weight = xxhash_rust::xxh3::xxh3_64_with_seed(session.as_bytes(), group.id);
        (near, weight)
    });
    best.map(|(session, _)| *session)
}
