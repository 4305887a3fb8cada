//! VMs that shut down, as the leader records them for itself and the leaders after it.

use std::time::Duration;

use super::Announcement;
use super::Answer;
use super::Command;
use super::core::Core;
use super::event::Action;
use super::event::Ticket;

impl Core {
    /// Closes a VM's group or unlists it, for this leader and the next ones.
    ///
    /// A leader that does not know the VM does not acknowledge while heartbeats from before its leadership
    /// may still name it.
    pub(super) fn record_leave(&mut self, now: Duration, ticket: Ticket, id: String, out: &mut Vec<Action>) {
        let Some(incarnation) = self.incarnation_of(&id) else {
            let is_discovering = self
                .leading_since
                .is_some_and(|since| now < since + self.timing.leader_discovery_time());
            let answer = if is_discovering {
                Answer::Redirect(None)
            } else {
                Answer::Done
            };
            out.push(Action::Answer(ticket, answer));
            return;
        };
        self.registry.mark_gone(&id);
        self.reconcile(now, out);
        let is_recorded = self.departed_incarnation(&id) >= Some(incarnation);
        if is_recorded && !self.state.listed.contains_key(&id) {
            self.answer_when_applied(ticket, out);
            return;
        }
        let left = Some(incarnation);
        let command = Command::Unlist {
            id,
            left,
            draining: None,
        };
        self.propose(now, Some(ticket), command, out);
    }

    /// Latest known incarnation of a VM.
    fn incarnation_of(&self, id: &str) -> Option<u64> {
        let heard = self.registry.get(id).map(|vm| vm.announcement.incarnation);
        let listed = self.state.listed.get(id).map(|target| target.incarnation);
        let group = self.state.group_of(id);
        let members = group.iter().flat_map(|g| &g.members);
        let grouped = members.filter(|m| m.id == id).map(|m| m.incarnation);
        let departed = self.departed_incarnation(id);
        heard
            .into_iter()
            .chain(listed)
            .chain(departed)
            .chain(grouped)
            .max()
    }

    /// Latest incarnation of a VM that has shut down, if one is recorded.
    pub(super) fn departed_incarnation(&self, id: &str) -> Option<u64> {
        self.state.departed.get(id).map(|(incarnation, _)| *incarnation)
    }

    /// Whether a heartbeat is of an incarnation that has shut down, as this or an earlier leader has
    /// acknowledged.
    pub(super) fn has_departed(&self, announcement: &Announcement) -> bool {
        self.departed_incarnation(&announcement.id) == Some(announcement.incarnation)
    }
}
