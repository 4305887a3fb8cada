//! Registry of VMs by their heartbeats.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use super::Announcement;

/// Largest number of VMs; heartbeats of further ones are ignored.
pub(super) const MAX_VMS: usize = 65_536;
/// Largest number of tombstones; VMs that leave beyond it get none.
const MAX_TOMBSTONES: usize = 4_096;

/// VM and its latest heartbeat.
#[derive(Clone, Debug)]
pub struct Vm {
    /// Latest heartbeat.
    pub announcement: Announcement,
    /// When the latest heartbeat arrived, by the controller's clock.
    pub last_heartbeat: Duration,
    /// End of the cold start, by the controller's clock.
    pub cold_until: Duration,
    /// Whether the VM has shut down, or a newer incarnation holds its address.
    pub gone: bool,
    /// When the first heartbeat of this incarnation arrived, by the controller's clock.
    pub first_heartbeat: Duration,
    /// Earlier incarnation that this one has replaced, if it was known.
    pub predecessor: Option<Predecessor>,
}

/// Earlier incarnation of a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Predecessor {
    /// Incarnation.
    pub incarnation: u64,
    /// When its latest heartbeat arrived, by the controller's clock.
    pub last_heartbeat: Duration,
    /// Whether it had said that it shuts down.
    pub was_shutting_down: bool,
}

impl Vm {
    /// Whether the VM may get new work: it is neither gone nor draining.
    pub fn is_usable(&self) -> bool {
        !self.gone && !self.announcement.draining
    }
}

/// Known VMs by identifier, with tombstones of those that have left.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    vms: BTreeMap<String, Vm>,
    /// Identifier of the VM that holds each address; a VM that is gone holds none.
    holders: HashMap<String, String>,
    /// Incarnation of each VM that has left, so that a late heartbeat does not revive it.
    tombstones: BTreeMap<String, u64>,
    /// When a VM was last added.
    last_arrival: Duration,
    /// Number of heartbeats that were ignored because they contradict others.
    conflicts: u64,
}

impl Registry {
    /// Records a heartbeat; returns whether it is the first of its VM or differs from the last one in
    /// more than the sequence number and the remaining time of the cold start.
    ///
    /// Ignored are heartbeats of an older incarnation, those out of order, and those for an address
    /// that a VM with a newer incarnation holds. Those of another writer are ignored, too: within an
    /// incarnation a VM changes neither service nor address, availability zone or fabric domain. `age` is the time since a controller received the
    /// heartbeat.
    pub fn record_heartbeat(&mut self, now: Duration, age: Duration, announcement: Announcement) -> bool {
        let heard_at = now.saturating_sub(age);
        let tombstone = self.tombstones.get(&announcement.id);
        if tombstone == Some(&announcement.incarnation) {
            return false;
        }
        if let Some(known) = self.vms.get(&announcement.id) {
            let latest = (known.announcement.incarnation, known.announcement.sequence);
            if (announcement.incarnation, announcement.sequence) <= latest {
                return false;
            }
            if announcement.incarnation == known.announcement.incarnation
                && !announcement.has_fixed_fields_of(&known.announcement)
            {
                self.conflicts += 1;
                return false;
            }
        } else if self.vms.len() >= MAX_VMS {
            self.conflicts += 1;
            return false;
        }
        let holder = self.holders.get(&announcement.address);
        if let Some(other) = holder.filter(|id| **id != announcement.id)
            && let Some(other) = self.vms.get_mut(other)
        {
            if other.announcement.incarnation > announcement.incarnation {
                return false;
            }
            other.gone = true;
        }
        let id = announcement.id.clone();
        let address = announcement.address.clone();
        let previous = self.vms.get(&id);
        let same_start = previous.filter(|p| p.announcement.incarnation == announcement.incarnation);
        let vm = Vm {
            cold_until: heard_at + Duration::from_millis(announcement.cold_ms),
            last_heartbeat: heard_at,
            gone: false,
            first_heartbeat: same_start.map_or(heard_at, |p| p.first_heartbeat),
            predecessor: match same_start {
                Some(same) => same.predecessor,
                None => previous.map(|p| self.as_predecessor(p)),
            },
            announcement,
        };
        let has_new_content = previous.is_none_or(|p| !has_same_content(p, &vm));
        let previous_address = previous.map(|p| p.announcement.address.clone());
        if previous.is_none() {
            self.last_arrival = now;
        }
        if let Some(previous_address) = previous_address.filter(|p| *p != address) {
            self.release_address(&previous_address, &id);
        }
        self.holders.insert(address, id.clone());
        self.vms.insert(id, vm);
        has_new_content
    }

    /// Records that a VM has sent a further heartbeat with the content of its last one; returns whether that content
    /// is known.
    ///
    /// Ignored for an unknown VM, another incarnation, and a heartbeat out of order.
    pub fn renew(&mut self, now: Duration, id: &str, incarnation: u64, sequence: u64) -> bool {
        let Some(vm) = self.vms.get_mut(id) else {
            return false;
        };
        let announcement = &mut vm.announcement;
        if announcement.incarnation == incarnation && announcement.sequence < sequence && !vm.gone {
            announcement.sequence = sequence;
            vm.last_heartbeat = now;
        }
        vm.announcement.incarnation >= incarnation
    }

    /// Marks a VM as gone; only a heartbeat of a newer incarnation adds it again.
    pub fn mark_gone(&mut self, id: &str) {
        let Some(vm) = self.vms.get_mut(id) else {
            return;
        };
        vm.gone = true;
        let address = vm.announcement.address.clone();
        if self.tombstones.len() < MAX_TOMBSTONES {
            self.tombstones.insert(id.to_owned(), vm.announcement.incarnation);
        }
        self.release_address(&address, id);
    }

    /// Forgets that the VM `id` holds `address`, if it does.
    fn release_address(&mut self, address: &str, id: &str) {
        if self.holders.get(address).is_some_and(|holder| holder == id) {
            self.holders.remove(address);
        }
    }

    /// Removes VMs whose last heartbeat arrived before `cutoff`.
    pub fn evict_silent(&mut self, cutoff: Duration) {
        self.vms.retain(|_, vm| vm.last_heartbeat >= cutoff);
        let vms = &self.vms;
        self.holders.retain(|_, id| vms.contains_key(id));
    }

    /// When a VM was last added, by the controller's clock.
    pub fn last_arrival(&self) -> Duration {
        self.last_arrival
    }

    /// Number of heartbeats that were ignored because they contradict others, or there are too many VMs.
    pub fn conflicts(&self) -> u64 {
        self.conflicts
    }

    /// VMs whose place a heartbeat would take: the one with its identifier, and the holder of its address.
    pub(super) fn displaced_by<'a>(&'a self, announcement: &'a Announcement) -> impl Iterator<Item = &'a Vm> {
        let holder = self.holders.get(&announcement.address);
        [Some(&announcement.id), holder]
            .into_iter()
            .flatten()
            .filter_map(|id| self.vms.get(id))
    }

    /// Counts a heartbeat that was ignored because it contradicts others.
    pub(super) fn record_conflict(&mut self) {
        self.conflicts += 1;
    }

    /// Number of known VMs, including those that are gone.
    pub fn len(&self) -> usize {
        self.vms.len()
    }

    /// Whether no VM is known.
    pub fn is_empty(&self) -> bool {
        self.vms.is_empty()
    }

    /// VM with this identifier.
    pub fn get(&self, id: &str) -> Option<&Vm> {
        self.vms.get(id)
    }

    fn as_predecessor(&self, vm: &Vm) -> Predecessor {
        Predecessor {
            incarnation: vm.announcement.incarnation,
            last_heartbeat: vm.last_heartbeat,
            was_shutting_down: self.is_shutting_down(vm),
        }
    }

    /// Whether a VM has said that it shuts down, in a heartbeat or as its last call.
    pub(super) fn is_shutting_down(&self, vm: &Vm) -> bool {
        let announcement = &vm.announcement;
        announcement.draining || self.has_left(&announcement.id, announcement.incarnation)
    }

    /// Whether an incarnation of a VM has shut down with its last call.
    pub(super) fn has_left(&self, id: &str, incarnation: u64) -> bool {
        self.tombstones.get(id) == Some(&incarnation)
    }

    /// All known VMs, including those that are gone.
    pub fn iter(&self) -> impl Iterator<Item = &Vm> {
        self.vms.values()
    }
}

/// Whether the heartbeats of two states of a VM have the same content; a change of [`Vm::gone`] counts
/// as new content.
fn has_same_content(a: &Vm, b: &Vm) -> bool {
    a.gone == b.gone && a.announcement.has_content_of(&b.announcement)
}
