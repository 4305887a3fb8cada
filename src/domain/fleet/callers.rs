//! Callers that wait until a record of this leader is applied.
//!
//! Index and term identify a record: another leader may put a record of its own at the same index.

use super::Answer;
use super::core::Core;
use super::event::Action;
use super::event::Ticket;
use crate::domain::consensus;

impl Core {
    /// Answers once this leader's last own proposal is applied, or immediately when none is pending.
    ///
    /// The answer tells a VM that it may stop, so the proposal that closes its group or unlists it
    /// has to be committed: otherwise the next leader would name the VM as a target.
    pub(super) fn answer_when_applied(&mut self, ticket: Ticket, out: &mut Vec<Action>) {
        match self.own_proposals.back() {
            Some(index) => self.wait_for(*index, ticket),
            None => out.push(Action::Answer(ticket, Answer::Done)),
        }
    }

    /// Answers a caller once this leader's record at `index` is applied.
    pub(super) fn wait_for(&mut self, index: u64, ticket: Ticket) {
        let record = (index, self.node.term());
        self.waiting_callers.entry(record).or_default().push(ticket);
    }

    /// Answers the callers whose proposal is `record`, and redirects those whose proposal another leader's
    /// record has replaced: the step that applies it may also be the one that ends the leadership.
    pub(super) fn answer_waiting_callers(&mut self, record: &consensus::Record, out: &mut Vec<Action>) {
        let later = self.waiting_callers.split_off(&(record.index + 1, 0));
        for ((index, term), tickets) in std::mem::replace(&mut self.waiting_callers, later) {
            let is_applied = (index, term) == (record.index, record.term);
            for ticket in tickets {
                out.push(match is_applied {
                    true => Action::Answer(ticket, Answer::Done),
                    false => self.redirect(ticket),
                });
            }
        }
    }
}
