//! Pre-vote, election and leadership transfer.

use std::collections::BTreeMap;
use std::time::Duration;

use super::HardState;
use super::Message;
use super::Node;
use super::Payload;
use super::Role;
use super::node::Action;
use super::node::Progress;

impl Node {
    pub(super) fn start_pre_vote(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.reset_deadline(now);
        if !self.voters().contains(&self.id) {
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.ask_for_votes(now, true, false, out);
    }

    fn start_election(&mut self, now: Duration, transfer: bool, out: &mut Vec<Action>) {
        self.role = Role::Candidate;
        self.leader = None;
        self.hard_state = HardState {
            term: self.hard_state.term + 1,
            vote: Some(self.id.clone()),
        };
        self.reset_deadline(now);
        out.push(Action::SaveHardState(self.hard_state.clone()));
        self.ask_for_votes(now, false, transfer, out);
    }

    fn ask_for_votes(&mut self, now: Duration, pre: bool, transfer: bool, out: &mut Vec<Action>) {
        let term = self.hard_state.term + u64::from(pre);
        self.ballots.clear();
        self.ballots.insert(self.id.clone());
        for to in self.voters() {
            if to != self.id {
                let message = Message::Vote {
                    term,
                    pre,
                    transfer,
                    last_index: self.journal.last_index(),
                    last_term: self.journal.last_term(),
                };
                out.push(Action::Send { to, message });
            }
        }
        self.count_ballots(now, pre, out);
    }

    pub(super) fn on_vote(&mut self, now: Duration, from: &str, message: Message, out: &mut Vec<Action>) {
        let Message::Vote {
            term,
            pre,
            transfer,
            last_index,
            last_term,
        } = message
        else {
            return;
        };
        // A voter that heard a leader within the shortest election time grants nothing,
        // so the lease of that leader stays true. The start of the process counts as
        // hearing one, since the voter does not remember.
        // A voter that never took part in a term cannot have served a leader.
        let in_lease = self.hard_state.term > 0 && now < self.heard + self.timing.election();
        let leads = self.role == Role::Leader && self.holds_lease(now);
        if !transfer && (in_lease || leads) && term > self.hard_state.term {
            return;
        }
        if !pre {
            self.adopt_term(now, term, out);
        }
        let current = (self.journal.last_term(), self.journal.last_index());
        let complete = (last_term, last_index) >= current;
        let free = pre || self.hard_state.vote.is_none() || self.hard_state.vote.as_deref() == Some(from);
        let newer = if pre {
            term > self.hard_state.term
        } else {
            term == self.hard_state.term
        };
        let granted = newer && free && complete;
        if granted && !pre {
            self.hard_state.vote = Some(from.to_owned());
            self.reset_deadline(now);
            out.push(Action::SaveHardState(self.hard_state.clone()));
        }
        let term = if granted { term } else { self.hard_state.term };
        let message = Message::Ballot { term, pre, granted };
        out.push(Action::Send {
            to: from.to_owned(),
            message,
        });
    }

    pub(super) fn on_ballot(
        &mut self,
        now: Duration,
        from: &str,
        term: u64,
        pre: bool,
        granted: bool,
        out: &mut Vec<Action>,
    ) {
        if !granted {
            self.adopt_term(now, term, out);
            return;
        }
        let expected = self.hard_state.term + u64::from(pre);
        let asking = if pre { Role::PreCandidate } else { Role::Candidate };
        if term != expected || self.role != asking {
            return;
        }
        self.ballots.insert(from.to_owned());
        self.count_ballots(now, pre, out);
    }

    fn count_ballots(&mut self, now: Duration, pre: bool, out: &mut Vec<Action>) {
        let voters = self.voters();
        let given = voters.iter().filter(|v| self.ballots.contains(*v)).count();
        if given * 2 <= voters.len() {
            return;
        }
        if pre {
            self.start_election(now, false, out);
        } else {
            self.become_leader(now, out);
        }
    }

    fn become_leader(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.role = Role::Leader;
        self.leader = Some(self.id.clone());
        self.elected = now;
        self.transferring = None;
        self.progress = BTreeMap::new();
        self.refresh_progress();
        self.propose(now, vec![Payload::Empty], out);
    }

    /// Keeps one progress entry for each other member.
    pub(super) fn refresh_progress(&mut self) {
        let (voters, learners) = self.journal.members();
        let next = self.journal.last_index() + 1;
        let others: Vec<String> = voters
            .into_iter()
            .chain(learners)
            .filter(|v| *v != self.id)
            .collect();
        self.progress.retain(|id, _| others.contains(id));
        for id in others {
            self.progress.entry(id).or_insert(Progress {
                next,
                matched: 0,
                answered: None,
                pending: None,
            });
        }
    }

    pub(super) fn transfer(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.role != Role::Leader {
            return;
        }
        let voters = self.voters();
        let last = self.journal.last_index();
        let best = self
            .progress
            .iter()
            .filter(|(id, p)| voters.contains(id) && p.matched == last)
            .max_by_key(|(_, p)| p.answered);
        if let Some((to, _)) = best {
            // The lease ends here: the successor may be elected before it would run out.
            let to = to.clone();
            self.transferring = Some(now);
            let message = Message::Campaign {
                term: self.hard_state.term,
            };
            out.push(Action::Send { to, message });
        }
    }

    pub(super) fn on_campaign(&mut self, now: Duration, term: u64, out: &mut Vec<Action>) {
        let is_voter = self.voters().contains(&self.id);
        if term == self.hard_state.term && self.role == Role::Follower && is_voter {
            self.start_election(now, true, out);
        }
    }
}
