//! Targets with their latest changes, so that a receiver gets the changes since the revision that it holds.
//!
//! The leader keeps one log, each controller another one for its gateways, and a gateway the targets alone.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use super::Target;

/// Changes that are kept; a receiver that is further behind gets all targets.
const MAX_CHANGES: usize = 64;

/// Changes of the targets, or all of them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Update {
    /// Whether `set` holds all targets.
    pub is_whole: bool,
    /// Identifiers of removed targets.
    pub removed: Vec<String>,
    /// New and changed targets.
    pub set: Vec<Target>,
}

/// Change from one revision to the next.
#[derive(Clone, Debug)]
struct Change {
    from: (u64, u64),
    removed: Vec<String>,
    set: Vec<Target>,
}

/// Targets of one revision, with the changes that led to it.
#[derive(Clone, Debug, Default)]
pub struct TargetLog {
    /// Term of the leader, and revision of the targets within it.
    revision: (u64, u64),
    targets: BTreeMap<String, Target>,
    /// Latest changes, oldest first; each starts at the revision at which the one before it ends.
    changes: VecDeque<Change>,
}

impl TargetLog {
    /// Empty log at `revision`.
    pub fn new(revision: (u64, u64)) -> Self {
        TargetLog {
            revision,
            ..TargetLog::default()
        }
    }

    /// Term and revision of the targets.
    pub fn revision(&self) -> (u64, u64) {
        self.revision
    }

    /// Targets in the order of their identifiers.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// Target with this identifier.
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.targets.get(id)
    }

    /// Replaces the targets; returns false and keeps the revision if they are the same.
    pub fn replace(&mut self, targets: BTreeMap<String, Target>) -> bool {
        if targets == self.targets {
            return false;
        }
        let removed = self.targets.keys().filter(|id| !targets.contains_key(*id));
        let removed = removed.cloned().collect();
        let set = targets.values().filter(|t| self.targets.get(&t.id) != Some(t));
        let set = set.cloned().collect();
        self.targets = targets;
        let (term, revision) = self.revision;
        self.record((term, revision + 1), removed, set);
        true
    }

    /// Starts a new revision without a change of the targets.
    pub fn advance(&mut self) {
        let (term, revision) = self.revision;
        self.record((term, revision + 1), Vec::new(), Vec::new());
    }

    /// Changes since `revision`, none if it is the current one. All targets if it is unknown.
    pub fn since(&self, revision: (u64, u64)) -> Option<Update> {
        if revision == self.revision {
            return None;
        }
        let Some(first) = self.changes.iter().position(|c| c.from == revision) else {
            return Some(Update {
                is_whole: true,
                removed: Vec::new(),
                set: self.targets.values().cloned().collect(),
            });
        };
        let mut changed: BTreeMap<&String, ()> = BTreeMap::new();
        for change in self.changes.range(first..) {
            let ids = change.removed.iter().chain(change.set.iter().map(|t| &t.id));
            changed.extend(ids.map(|id| (id, ())));
        }
        let mut update = Update::default();
        for id in changed.into_keys() {
            match self.targets.get(id) {
                Some(target) => update.set.push(target.clone()),
                None => update.removed.push(id.clone()),
            }
        }
        Some(update)
    }

    /// Applies an update that leads to `revision`.
    pub fn apply(&mut self, revision: (u64, u64), update: Update) {
        if update.is_whole {
            *self = TargetLog::new(revision);
            self.targets = update.set.into_iter().map(|t| (t.id.clone(), t)).collect();
            return;
        }
        for id in &update.removed {
            self.targets.remove(id);
        }
        for target in &update.set {
            self.targets.insert(target.id.clone(), target.clone());
        }
        self.record(revision, update.removed, update.set);
    }

    /// Counts by target as a list in the order of their identifiers.
    pub fn in_order(&self, counts: &BTreeMap<String, u32>) -> Vec<u32> {
        let count = |id: &String| counts.get(id).copied().unwrap_or(0);
        self.targets.keys().map(count).collect()
    }

    /// Counts above 0 by target, from a list in the order of their identifiers.
    pub fn by_target(&self, counts: &[u32]) -> BTreeMap<String, u32> {
        let pairs = self.targets.keys().zip(counts).filter(|(_, count)| **count > 0);
        pairs.map(|(id, count)| (id.clone(), *count)).collect()
    }

    fn record(&mut self, revision: (u64, u64), removed: Vec<String>, set: Vec<Target>) {
        let from = self.revision;
        self.changes.push_back(Change { from, removed, set });
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
        self.revision = revision;
    }
}
