//! Heartbeats of VMs at a gateway.
//!
//! A gateway passes a heartbeat on to its controller unless it directly follows one that this controller
//! has acknowledged and has the same content. Such a heartbeat is acknowledged by the gateway itself and
//! goes into its next report as a renewal. When the controller changes, or may have restarted, all
//! heartbeats are passed on again. So is the latest one of a VM that the controller does not know any more.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::Announcement;
use super::Renewal;
use super::registry::MAX_VMS;

/// How a gateway handles a heartbeat.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Handling {
    /// Acknowledge it; the next report renews it.
    Renew,
    /// Pass it on to the controller and answer as that does.
    Forward,
}

/// VM and its latest heartbeat.
#[derive(Clone, Debug)]
struct Vm {
    announcement: Announcement,
    heard_at: Duration,
    /// Whether the controller has not been told of the latest heartbeat.
    is_pending: bool,
}

/// Heartbeats that a gateway has taken over.
#[derive(Clone, Debug, Default)]
pub struct Heartbeats {
    /// Controller that has acknowledged the heartbeats with the content of `vms`.
    controller: Option<SocketAddr>,
    vms: BTreeMap<String, Vm>,
}

impl Heartbeats {
    /// Takes a heartbeat that arrived at `now`, while `controller` is the one that answers reports.
    pub fn receive(
        &mut self,
        now: Duration,
        controller: Option<SocketAddr>,
        announcement: &Announcement,
    ) -> Handling {
        self.use_controller(controller);
        let Some(vm) = self.vms.get_mut(&announcement.id) else {
            return Handling::Forward;
        };
        let is_renewal = vm.announcement.sequence.checked_add(1) == Some(announcement.sequence)
            && !announcement.draining
            && vm.announcement.has_content_of(announcement);
        if !is_renewal {
            self.vms.remove(&announcement.id);
            return Handling::Forward;
        }
        vm.announcement.sequence = announcement.sequence;
        vm.heard_at = now;
        vm.is_pending = true;
        Handling::Renew
    }

    /// Records that `controller` has acknowledged a heartbeat that was passed on.
    pub fn record_acknowledged(
        &mut self,
        now: Duration,
        controller: Option<SocketAddr>,
        announcement: Announcement,
    ) {
        self.use_controller(controller);
        let is_known = self.vms.contains_key(&announcement.id);
        if controller.is_none() || announcement.draining || (!is_known && self.vms.len() >= MAX_VMS) {
            return;
        }
        let vm = Vm {
            announcement,
            heard_at: now,
            is_pending: false,
        };
        self.vms.insert(vm.announcement.id.clone(), vm);
    }

    /// Renewals for the next report to `controller`; forgets VMs silent for longer than `retention`.
    pub fn take_renewals(
        &mut self,
        now: Duration,
        controller: Option<SocketAddr>,
        retention: Duration,
    ) -> Vec<Renewal> {
        self.use_controller(controller);
        self.vms.retain(|_, vm| now < vm.heard_at + retention);
        let pending = self.vms.values_mut().filter(|vm| vm.is_pending);
        let renewal = |vm: &mut Vm| {
            vm.is_pending = false;
            Renewal {
                id: vm.announcement.id.clone(),
                incarnation: vm.announcement.incarnation,
                sequence: vm.announcement.sequence,
            }
        };
        pending.map(renewal).collect()
    }

    /// Latest heartbeat of a VM that the controller does not know; it does not count as acknowledged any more.
    pub fn take_unknown(&mut self, id: &str) -> Option<Announcement> {
        self.vms.remove(id).map(|vm| vm.announcement)
    }

    /// Forgets a VM that shuts down.
    pub fn forget(&mut self, id: &str) {
        self.vms.remove(id);
    }

    /// Forgets all heartbeats, because a report had no answer.
    pub fn reset(&mut self) {
        self.vms.clear();
    }

    fn use_controller(&mut self, controller: Option<SocketAddr>) {
        if self.controller != controller {
            self.controller = controller;
            self.vms.clear();
        }
    }
}
