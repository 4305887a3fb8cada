//! The leader's view of a group: what heartbeats, reports of gateways and its own connections show.

use std::time::Duration;

use super::Group;
use super::Member;
use super::Registry;
use super::Stage;
use super::Timing;
use super::Vm;
use super::order::is_name_of;
use super::proof::Proofs;
use crate::domain::catalog::Definition;

/// Why a group is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// A member is shutting down.
    Draining,
    /// A member has shut down or restarted.
    Gone,
    /// It is proved that the process of a member has ended.
    Ended,
    /// A member sent no heartbeat within its silence limit and no gateway gets answers from the group.
    Silent,
    /// An earlier leader closed the group; the reason is not replicated.
    Inherited,
    /// The head reports the group as broken.
    Broken,
    /// A member has left the group.
    Left,
    /// The group did not open in time.
    Late,
}

/// What gateways report of the head of a group.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Reports {
    /// Whether some gateway gets answers from the head.
    pub(super) head_answers: bool,
    /// Whether some gateway reports that the head has stopped answering;
    /// [`Lifecycle::advance`](super::lifecycle::Lifecycle::advance) goes by it only once it is confirmed.
    pub(super) head_stalled: bool,
    /// Whether a gateway of each controller that reports answers or a stall of the head, and of one at least, reports
    /// that the head's host refuses connections.
    pub(super) is_refusal_agreed: bool,
    /// Whether each controller to which a gateway reports answers of the head hears from a gateway that the head
    /// has stopped answering; true without any answer. Answers count for a second, so gateways that have not sent
    /// a request since the loss still report them.
    pub(super) is_stall_agreed: bool,
}

/// The leader's view of a group at one time.
#[derive(Clone, Copy)]
pub(super) struct View<'a> {
    pub(super) now: Duration,
    pub(super) registry: &'a Registry,
    pub(super) proofs: &'a Proofs,
    pub(super) timing: &'a Timing,
    pub(super) catalog: Option<&'a Definition>,
    /// Fencing token for orders.
    pub(super) fence: u64,
    /// What gateways report of the head.
    pub(super) reports: Reports,
    /// Start of this leadership; silence before it does not count.
    pub(super) leading_since: Duration,
}

impl View<'_> {
    /// Stage that a member reports in this group; none if it reports another group or incarnation.
    pub(super) fn stage(&self, group: &Group, member: &Member) -> Option<Stage> {
        let vm = self.registry.get(&member.id)?;
        if vm.announcement.incarnation != member.incarnation {
            return None;
        }
        let membership = vm.announcement.membership.as_ref()?;
        let is_same = membership.epoch == group.epoch && is_name_of(&membership.group, group.epoch);
        is_same.then_some(membership.stage)
    }

    /// Number of the latest heartbeat of each member that shows it in this group.
    pub(super) fn member_sequences(&self, group: &Group) -> Vec<Option<u64>> {
        let sequence = |member: &Member| {
            self.stage(group, member)?;
            let vm = self.registry.get(&member.id)?;
            Some(vm.announcement.sequence)
        };
        group.members.iter().map(sequence).collect()
    }

    /// Heartbeat that shows that a member other than the head is not in the group any more, if there is one.
    ///
    /// A VM that has said that it shuts down may still be in the group, and so may a silent one. Heartbeats from
    /// before this leadership may be older than the group.
    pub(super) fn member_left_at(&self, group: &Group) -> Option<Duration> {
        let others = group.members[1..].iter().filter_map(|member| {
            let vm = self.registry.get(&member.id)?;
            let has_left = vm.announcement.incarnation >= member.incarnation
                && vm.last_heartbeat >= self.leading_since
                && self.stage(group, member).is_none();
            has_left.then_some(vm.last_heartbeat)
        });
        others.min()
    }

    /// Reason to close the group because of this member.
    pub(super) fn member_loss(&self, group: &Group, member: &Member, opened: bool) -> Option<Loss> {
        let Some(vm) = self.registry.get(&member.id) else {
            // VMs send heartbeats to the old leader at first, so a new leader has to wait for them; less
            // long when a gateway reports that the head has stopped answering.
            let silence_limit = if self.reports.head_stalled {
                self.timing.leader_discovery_time()
            } else {
                self.timing.vm_silence_limit()
            };
            let is_silent_member =
                !self.reports.head_answers && self.now > self.leading_since + silence_limit;
            return is_silent_member.then_some(Loss::Silent);
        };
        if vm.gone || vm.announcement.incarnation != member.incarnation {
            return Some(Loss::Gone);
        }
        if vm.announcement.draining {
            return Some(Loss::Draining);
        }
        if self.has_ended(member) {
            return Some(Loss::Ended);
        }
        let stage = self.stage(group, member);
        if stage == Some(Stage::Broken) {
            return Some(Loss::Broken);
        }
        if opened && stage.is_none() {
            return Some(Loss::Left);
        }
        self.is_silent(vm).then_some(Loss::Silent)
    }

    /// Whether a VM has sent no heartbeat for too long and no gateway gets answers from its group.
    fn is_silent(&self, vm: &Vm) -> bool {
        let silence_limit = if self.reports.head_stalled {
            self.timing.stalled_vm_silence_limit()
        } else {
            self.timing.vm_silence_limit()
        };
        !self.reports.head_answers && self.now > vm.last_heartbeat.max(self.leading_since) + silence_limit
    }

    /// Time from the order to open until the head of a group accepts requests.
    pub(super) fn open_time(&self, group: &Group) -> Duration {
        let services = self.catalog.iter().flat_map(|c| &c.services);
        let mut engines = services
            .filter(|s| s.name == group.service)
            .filter_map(|s| s.engine.as_ref());
        Duration::from_millis(engines.next().map_or(0, |engine| engine.open_ms))
    }

    /// Whether it is proved that another process has taken the place of a member's process.
    pub(super) fn is_replaced(&self, member: &Member) -> bool {
        self.proofs
            .is_replaced(self.registry, &member.id, member.incarnation)
    }

    /// Whether it is proved that the process of a member has ended.
    pub(super) fn has_ended(&self, member: &Member) -> bool {
        self.proofs
            .has_ended(self.registry, &member.id, member.incarnation)
    }

    /// Whether a heartbeat of a VM is overdue.
    pub(super) fn is_overdue(&self, vm: &Vm) -> bool {
        self.now > vm.last_heartbeat + self.timing.stalled_vm_silence_limit()
    }
}
