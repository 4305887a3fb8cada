//! Registry of VMs by their heartbeats.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Announcement;

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
    /// Incarnation of each VM that has left, so that a late heartbeat does not revive it.
    tombstones: BTreeMap<String, u64>,
    /// When a VM was last added.
    last_arrival: Duration,
}

impl Registry {
    /// Records a heartbeat; returns whether it differs from the last one in more than number and time.
    ///
    /// Ignored are heartbeats of an older incarnation, those out of order, and those for an address
    /// that a VM with a newer incarnation holds.
    pub fn record_heartbeat(&mut self, now: Duration, announcement: Announcement) -> bool {
        let tombstone = self.tombstones.get(&announcement.id);
        if tombstone.is_some_and(|incarnation| announcement.incarnation <= *incarnation) {
            return false;
        }
        if let Some(known) = self.vms.get(&announcement.id) {
            let before = (known.announcement.incarnation, known.announcement.sequence);
            if (announcement.incarnation, announcement.sequence) <= before {
                return false;
            }
        }
        let shares_address = |vm: &Vm| {
            vm.announcement.address == announcement.address
                && vm.announcement.id != announcement.id
                && !vm.gone
        };
        let is_newer = |vm: &Vm| shares_address(vm) && vm.announcement.incarnation > announcement.incarnation;
        if self.vms.values().any(is_newer) {
            return false;
        }
        for vm in self.vms.values_mut().filter(|vm| shares_address(vm)) {
            vm.gone = true;
        }
        let cold_until = now + Duration::from_millis(announcement.cold_ms);
        let vm = Vm {
            cold_until,
            last_heartbeat: now,
            gone: false,
            announcement,
        };
        let id = vm.announcement.id.clone();
        let before = self.vms.insert(id, vm.clone());
        if before.is_none() {
            self.last_arrival = now;
        }
        before.is_none_or(|b| !has_same_content(&b, &vm))
    }

    /// Marks a VM as gone; only a heartbeat of a newer incarnation adds it again.
    pub fn mark_gone(&mut self, id: &str) {
        let Some(vm) = self.vms.get_mut(id) else {
            return;
        };
        vm.gone = true;
        if self.tombstones.len() < MAX_TOMBSTONES {
            self.tombstones.insert(id.to_owned(), vm.announcement.incarnation);
        }
    }

    /// Removes VMs whose last heartbeat arrived before `cutoff`.
    pub fn evict_silent(&mut self, cutoff: Duration) {
        self.vms.retain(|_, vm| vm.last_heartbeat >= cutoff);
    }

    /// When a VM was last added, by the controller's clock.
    pub fn last_arrival(&self) -> Duration {
        self.last_arrival
    }

    /// VM with this identifier.
    pub fn get(&self, id: &str) -> Option<&Vm> {
        self.vms.get(id)
    }

    /// All known VMs, including those that are gone.
    pub fn iter(&self) -> impl Iterator<Item = &Vm> {
        self.vms.values()
    }
}

/// Whether two heartbeats differ only in sequence number and remaining time of the cold start.
fn has_same_content(a: &Vm, b: &Vm) -> bool {
    let (x, y) = (&a.announcement, &b.announcement);
    let mut x = x.clone();
    x.sequence = y.sequence;
    x.cold_ms = y.cold_ms;
    x == *y && (a.announcement.cold_ms == 0) == (b.announcement.cold_ms == 0) && a.gone == b.gone
}
