//! Synchronization with entries, which renews their sessions and sends them the changes
//! of the state; status for operators.

use std::time::Duration;

use super::Action;
use super::Answer;
use super::Core;
use super::Event;
use super::Status;
use super::Ticket;
use super::core::Poll;
use super::status::Vm;
use crate::domain::state::Command;

impl Core {
    pub(super) fn sync(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        let Event::Sync {
            ticket,
            session,
            entry,
            applied,
            draining,
            busy,
        } = event
        else {
            return;
        };
        if !self.leads(now) {
            out.push(self.redirect(ticket));
            return;
        }
        self.sessions.record_sync(now, &session, applied, draining, &busy);
        if self.state.entries.get(&session) != Some(&entry) {
            let join = Command::Join {
                session: session.clone(),
                entry,
            };
            let is_proposed = self.own_proposals.values().any(|c| *c == join);
            if !is_proposed {
                self.propose_own(now, vec![join], out);
            }
        }
        self.polls.push(Poll {
            ticket,
            session,
            applied,
            deadline: now + Duration::from_millis(self.settings.session.poll_ms),
        });
    }

    /// Answers the polls for which there is a change or whose time is over.
    pub(super) fn answer_polls(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.polls.is_empty() {
            return;
        }
        let leads = self.leads(now);
        let newest_index = self.recent_commands.back().map_or(0, |(index, _)| *index);
        let polls = std::mem::take(&mut self.polls);
        for poll in polls {
            // The answer extends the entry's lease, and a leader waits only for the leases of
            // committed sessions before it gives their groups to another entry.
            let is_joined = self.state.entries.contains_key(&poll.session);
            let is_due = now >= poll.deadline || newest_index > poll.applied;
            if !leads {
                out.push(self.redirect(poll.ticket));
            } else if is_due && is_joined {
                out.push(Action::Answer(poll.ticket, self.changes_after(poll.applied)));
            } else if now >= poll.deadline + self.settings.session.lease() {
                // The session's `Join` was not committed in time.
                out.push(self.redirect(poll.ticket));
            } else {
                self.polls.push(poll);
            }
        }
    }

    fn changes_after(&self, applied: u64) -> Answer {
        let index = self.state.index;
        let snapshot_index = self.node.journal().snapshot().index;
        let oldest_index = self.recent_commands.front().map_or(index + 1, |(i, _)| *i);
        // `recent_commands` may lack commands up to the log's snapshot; it holds all later ones if
        // `snapshot_every` is at most `MAX_RECENT_COMMANDS`.
        let holds_all_changes =
            applied > 0 && applied <= index && (applied + 1 >= oldest_index || applied >= snapshot_index);
        if !holds_all_changes {
            return Answer::Synced {
                index,
                snapshot: Some(Box::new(self.state.without_ledger())),
                changes: Vec::new(),
            };
        }
        let changes = self.recent_commands.iter().filter(|(i, _)| *i > applied);
        Answer::Synced {
            index,
            snapshot: None,
            changes: changes.cloned().collect(),
        }
    }

    pub(super) fn query_status(&mut self, now: Duration, ticket: Ticket, out: &mut Vec<Action>) {
        if !self.leads(now) {
            out.push(self.redirect(ticket));
            return;
        }
        out.push(Action::Answer(ticket, Answer::Status(Box::new(self.status(now)))));
    }

    /// Status of the system at `now`, with this process as the leader; only the leader knows it.
    pub fn status(&self, now: Duration) -> Status {
        let presence_timeout = self.settings.membership.presence_timeout();
        let (voters, learners) = self.node.journal().members();
        let status_of_vm = |vm: &crate::domain::membership::Vm| {
            let announcement = &vm.announcement;
            let status = Vm {
                availability_zone: announcement.zone.clone(),
                fabric_domain: announcement.domain.clone(),
                present: now < vm.last_seen + presence_timeout,
                ready: announcement.report.ready,
                fence: announcement.report.fence,
            };
            (announcement.vm.clone(), status)
        };
        let applied = self.state.entries.keys();
        Status {
            leader: self.node.id().to_owned(),
            term: self.node.term(),
            voters,
            learners,
            state: self.state.without_ledger(),
            applied: applied
                .map(|s| (s.clone(), self.sessions.applied_index(s)))
                .collect(),
            vms: self.registry.iter().map(status_of_vm).collect(),
            broken_groups: self.broken_groups,
            stranded_accelerators: self.stranded_accelerators,
            ledger_keys: self.state.ledger.len(),
        }
    }
}
