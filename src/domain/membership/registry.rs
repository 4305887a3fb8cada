//! VMs known to the leader of the log, from their announcements.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Announcement;
use super::Error;

/// Durations of presence.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Silence after which a VM counts as lost for placement, in milliseconds.
    pub lost_ms: u64,
    /// Silence after which a VM is forgotten, in milliseconds.
    pub forget_ms: u64,
    /// Wait after an election before placement starts, in milliseconds.
    pub settle_ms: u64,
    /// Wait for a silent member before its group is dissolved, in milliseconds.
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
    /// Silence after which a VM counts as lost.
    pub fn lost(&self) -> Duration {
        Duration::from_millis(self.lost_ms)
    }
}

/// A VM and when it was last heard.
#[derive(Clone, Debug)]
pub struct Vm {
    /// Latest announcement.
    pub announcement: Announcement,
    /// Time of the latest announcement.
    pub last_seen: Duration,
}

/// All announced VMs.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    vms: BTreeMap<String, Vm>,
    names: BTreeMap<std::net::SocketAddr, String>,
}

impl Registry {
    /// Records an announcement.
    ///
    /// # Errors
    ///
    /// Refuses a name that is announced from another address, and an address
    /// that is announced under another name, while the first is present.
    pub fn announce(
        &mut self,
        now: Duration,
        timing: &Timing,
        announcement: Announcement,
    ) -> Result<(), Error> {
        let name = announcement.vm.clone();
        let address = announcement.address;
        let present = |vm: &Vm| now < vm.last_seen + timing.lost();
        if let Some(known) = self.vms.get(&name)
            && known.announcement.address != address
            && present(known)
        {
            let reason = format!("VM {name} is announced from {} too", known.announcement.address);
            return Err(Error(reason));
        }
        if let Some(other) = self.names.get(&address)
            && *other != name
            && self.vms.get(other).is_some_and(present)
        {
            return Err(Error(format!("address {address} is announced as VM {other} too")));
        }
        if let Some(known) = self.vms.get(&name)
            && known.announcement.address != address
        {
            self.names.remove(&known.announcement.address);
        }
        self.names.insert(address, name.clone());
        let vm = Vm {
            announcement,
            last_seen: now,
        };
        self.vms.insert(name, vm);
        Ok(())
    }

    /// Drops VMs that have been silent for long.
    pub fn forget(&mut self, now: Duration, timing: &Timing) {
        let limit = Duration::from_millis(timing.forget_ms);
        self.vms.retain(|_, vm| now < vm.last_seen + limit);
        let vms = &self.vms;
        self.names.retain(|_, name| vms.contains_key(name));
    }

    /// VM with `name`, present or not.
    pub fn get(&self, name: &str) -> Option<&Vm> {
        self.vms.get(name)
    }

    /// VM with `name` if it was heard within `lost` before `now`.
    pub fn present(&self, now: Duration, lost: Duration, name: &str) -> Option<&Announcement> {
        let vm = self.vms.get(name)?;
        (now < vm.last_seen + lost).then_some(&vm.announcement)
    }

    /// All VMs.
    pub fn iter(&self) -> impl Iterator<Item = &Vm> {
        self.vms.values()
    }
}
