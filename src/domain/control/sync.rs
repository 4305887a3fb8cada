//! Sessions of entries and the changes they are sent.

use std::time::Duration;

use super::Action;
use super::Answer;
use super::Core;
use super::Event;
use super::Status;
use super::Ticket;
use super::core::Waiting;
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
            let joining = Command::Join {
                session: session.clone(),
                entry,
            };
            let pending = self.own.values().any(|c| *c == joining);
            if !pending {
                self.propose_own(now, vec![joining], out);
            }
        }
        self.waiting.push(Waiting {
            ticket,
            session,
            applied,
            until: now + Duration::from_millis(self.settings.session.poll_ms),
        });
    }

    /// Answers waiting entries that have news or have waited long enough.
    pub(super) fn answer_parked(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.waiting.is_empty() {
            return;
        }
        let leads = self.leads(now);
        let newest = self.recent.back().map_or(0, |(index, _)| *index);
        let waiting = std::mem::take(&mut self.waiting);
        for waiting in waiting {
            // Without a committed session the leader would not wait for this lease to end.
            let joined = self.state.entries.contains_key(&waiting.session);
            let due = now >= waiting.until || newest > waiting.applied;
            if !leads {
                out.push(self.redirect(waiting.ticket));
            } else if due && joined {
                out.push(Action::Answer(
                    waiting.ticket,
                    self.changes_after(waiting.applied),
                ));
            } else if now >= waiting.until + self.settings.session.lease() {
                out.push(self.redirect(waiting.ticket));
            } else {
                self.waiting.push(waiting);
            }
        }
    }

    fn changes_after(&self, applied: u64) -> Answer {
        let index = self.state.index;
        let base = self.node.journal().snapshot().index;
        let oldest = self.recent.front().map_or(index + 1, |(i, _)| *i);
        // Records up to the snapshot may be missing from the recent changes.
        let covered = applied > 0 && applied <= index && (applied + 1 >= oldest || applied >= base);
        if !covered {
            return Answer::Synced {
                index,
                snapshot: Some(Box::new(self.state.without_ledger())),
                changes: Vec::new(),
            };
        }
        let newer = self.recent.iter().filter(|(i, _)| *i > applied);
        Answer::Synced {
            index,
            snapshot: None,
            changes: newer.cloned().collect(),
        }
    }

    pub(super) fn query(&mut self, now: Duration, ticket: Ticket, out: &mut Vec<Action>) {
        if !self.leads(now) {
            out.push(self.redirect(ticket));
            return;
        }
        out.push(Action::Answer(ticket, Answer::Status(Box::new(self.status(now)))));
    }

    /// Status as this process knows it at `now`.
    pub fn status(&self, now: Duration) -> Status {
        let lost = self.settings.membership.lost();
        let (voters, learners) = self.node.journal().members();
        let vm = |vm: &crate::domain::membership::Vm| {
            let announcement = &vm.announcement;
            let status = Vm {
                availability_zone: announcement.zone.clone(),
                fabric_domain: announcement.domain.clone(),
                present: now < vm.last_seen + lost,
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
            vms: self.registry.iter().map(vm).collect(),
            broken_groups: self.broken,
            stranded_accelerators: self.stranded,
            ledger_keys: self.state.ledger.len(),
        }
    }
}
