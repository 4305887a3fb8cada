//! VMs known to the leader of the replicated log, by their announcements.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Announcement;
use super::Error;

/// Durations of silence after which VMs count as absent.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Silence after which a VM counts as lost for placement, in milliseconds.
    pub lost_ms: u64,
    /// Silence after which a VM is removed from the registry, in milliseconds.
    pub forget_ms: u64,
    /// Time for which a new leader waits for announcements before it plans groups or sends
    /// orders, in milliseconds.
    pub settle_ms: u64,
    /// Silence of a member after which its group is released if no spare VM can replace it,
    /// in milliseconds.
    pub wait_for_member_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            lost_ms: 3_000,
            forget_ms: 3_600_000,
            settle_ms: 3_000,
            wait_for_member_ms: 10_000,
        }
    }
}

impl Timing {
    /// Silence after which a VM counts as lost for placement.
    pub fn presence_timeout(&self) -> Duration {
        Duration::from_millis(self.lost_ms)
    }
}

/// An announced VM.
#[derive(Clone, Debug)]
pub struct Vm {
    /// Latest announcement.
    pub announcement: Announcement,
    /// Time at which the latest announcement arrived.
    pub last_seen: Duration,
}

/// All announced VMs, present or not.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    vms: BTreeMap<String, Vm>,
    /// Name of the VM by its address.
    names_by_address: BTreeMap<std::net::SocketAddr, String>,
}

impl Registry {
    /// Records an announcement.
    ///
    /// # Errors
    ///
    /// Refuses a name that is known with another address, or an address that is known with
    /// another name, while the VM known so far is present.
    pub fn announce(
        &mut self,
        now: Duration,
        timing: &Timing,
        announcement: Announcement,
    ) -> Result<(), Error> {
        let name = announcement.vm.clone();
        let address = announcement.address;
        let is_present = |vm: &Vm| now < vm.last_seen + timing.presence_timeout();
        if let Some(known) = self.vms.get(&name)
            && known.announcement.address != address
            && is_present(known)
        {
            let reason = format!("VM {name} is announced from {} too", known.announcement.address);
            return Err(Error(reason));
        }
        if let Some(other) = self.names_by_address.get(&address)
            && *other != name
            && self.vms.get(other).is_some_and(is_present)
        {
            return Err(Error(format!("address {address} is announced as VM {other} too")));
        }
        if let Some(known) = self.vms.get(&name)
            && known.announcement.address != address
        {
            self.names_by_address.remove(&known.announcement.address);
        }
        self.names_by_address.insert(address, name.clone());
        let vm = Vm {
            announcement,
            last_seen: now,
        };
        self.vms.insert(name, vm);
        Ok(())
    }

    /// Removes the VMs that have been silent for `forget_ms`.
    pub fn evict_silent(&mut self, now: Duration, timing: &Timing) {
        let max_silence = Duration::from_millis(timing.forget_ms);
        self.vms.retain(|_, vm| now < vm.last_seen + max_silence);
        let vms = &self.vms;
        self.names_by_address.retain(|_, name| vms.contains_key(name));
    }

    /// VM with this name, present or not.
    pub fn get(&self, name: &str) -> Option<&Vm> {
        self.vms.get(name)
    }

    /// Latest announcement of a VM if it arrived less than `timeout` before `now`.
    pub fn get_present(&self, now: Duration, timeout: Duration, name: &str) -> Option<&Announcement> {
        let vm = self.vms.get(name)?;
        (now < vm.last_seen + timeout).then_some(&vm.announcement)
    }

    /// All VMs, present or not.
    pub fn iter(&self) -> impl Iterator<Item = &Vm> {
        self.vms.values()
    }
}
