//! Heartbeats at the relay of one controller, and what of them the leader lacks.

use std::time::Duration;

use super::Announcement;
use super::Heard;
use super::Renewal;
use super::registry::MAX_VMS;
use super::relay::Relay;

/// What of a VM's latest heartbeat the leader lacks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Pending {
    Nothing,
    Renewal,
    Content,
}

/// VM and its latest heartbeat.
pub(super) struct Vm {
    pub(super) announcement: Announcement,
    pub(super) heard_at: Duration,
    pub(super) pending: Pending,
}

impl Relay {
    /// Heartbeats that the next digest passes on: in full, and as renewals.
    pub(super) fn take_pending(&mut self, now: Duration) -> (Vec<Heard>, Vec<Renewal>) {
        let mut changed = Vec::new();
        let mut renewed = Vec::new();
        self.in_flight.clear();
        for vm in self.vms.values().filter(|vm| vm.pending != Pending::Nothing) {
            let announcement = &vm.announcement;
            let (id, incarnation, sequence) = (
                announcement.id.clone(),
                announcement.incarnation,
                announcement.sequence,
            );
            self.in_flight.push((id.clone(), incarnation, sequence));
            if vm.pending == Pending::Content {
                changed.push(Heard {
                    announcement: announcement.clone(),
                    age_ms: now.saturating_sub(vm.heard_at).as_millis() as u64,
                });
            } else {
                renewed.push(Renewal {
                    id,
                    incarnation,
                    sequence,
                });
            }
        }
        (changed, renewed)
    }

    /// Records that the leader has received the heartbeats of the last digest.
    pub(super) fn settle_pending(&mut self) {
        for (id, incarnation, sequence) in std::mem::take(&mut self.in_flight) {
            let Some(vm) = self.vms.get_mut(&(id, incarnation)) else {
                continue;
            };
            if vm.announcement.sequence == sequence {
                vm.pending = Pending::Nothing;
            }
        }
    }

    pub(super) fn receive_heartbeat(&mut self, now: Duration, announcement: Announcement) {
        let key = (announcement.id.clone(), announcement.incarnation);
        let previous = self.vms.get(&key);
        let is_ignored = match previous {
            Some(p) => {
                announcement.sequence <= p.announcement.sequence
                    || !announcement.has_fixed_fields_of(&p.announcement)
            }
            None => self.vms.len() >= MAX_VMS,
        };
        if is_ignored {
            return;
        }
        // A gap may hide a heartbeat with other content that reached the leader through another relay.
        let is_renewal = previous.is_some_and(|p| {
            p.pending != Pending::Content
                && p.announcement.sequence.checked_add(1) == Some(announcement.sequence)
                && p.announcement.has_content_of(&announcement)
        });
        let pending = if is_renewal {
            Pending::Renewal
        } else {
            Pending::Content
        };
        let vm = Vm {
            announcement,
            heard_at: now,
            pending,
        };
        self.vms.insert(key, vm);
    }

    /// Records that a VM has sent a further heartbeat to a gateway whose earlier ones, with the same
    /// content, this relay has acknowledged; returns whether the relay still has that content.
    pub(super) fn receive_renewal(&mut self, now: Duration, renewal: &Renewal) -> bool {
        let Some(vm) = self.vms.get_mut(&(renewal.id.clone(), renewal.incarnation)) else {
            return false;
        };
        let announcement = &mut vm.announcement;
        if renewal.sequence > announcement.sequence {
            announcement.sequence = renewal.sequence;
            vm.heard_at = now;
            if vm.pending == Pending::Nothing {
                vm.pending = Pending::Renewal;
            }
        }
        true
    }

    /// Marks the heartbeats of VMs that the leader does not know, although it has received them from this relay.
    pub(super) fn resend_heartbeats_of(&mut self, unknown: &[String]) {
        for ((id, _), vm) in &mut self.vms {
            if unknown.contains(id) {
                vm.pending = Pending::Content;
            }
        }
    }

    /// Marks heartbeats for a new leader, which knows no VM.
    ///
    /// Older ones are left out: their VM may have told the earlier leader, through another relay, that
    /// it shuts down.
    pub(super) fn resend_recent_heartbeats(&mut self, now: Duration) {
        let limit = self.timing.stalled_vm_silence_limit();
        self.vms.retain(|_, vm| now < vm.heard_at + limit);
        for vm in self.vms.values_mut() {
            vm.pending = Pending::Content;
        }
    }
}
