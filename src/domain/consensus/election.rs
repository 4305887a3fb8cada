//! Pre-vote, elections and leadership transfer.

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
        self.reset_election_deadline(now);
        // Learners and removed members start no election.
        if !self.voters().contains(&self.id) {
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.request_votes(now, true, false, out);
    }

    fn start_election(&mut self, now: Duration, transfer: bool, out: &mut Vec<Action>) {
        self.role = Role::Candidate;
        self.leader = None;
        self.hard_state = HardState {
            term: self.hard_state.term + 1,
            vote: Some(self.id.clone()),
        };
        self.reset_election_deadline(now);
        out.push(Action::SaveHardState(self.hard_state.clone()));
        self.request_votes(now, false, transfer, out);
    }

    fn request_votes(&mut self, now: Duration, pre: bool, transfer: bool, out: &mut Vec<Action>) {
        let term = self.hard_state.term + u64::from(pre);
        self.votes_received.clear();
        self.votes_received.insert(self.id.clone());
        for to in self.voters() {
            if to != self.id {
                let message = Message::RequestVote {
                    term,
                    pre,
                    transfer,
                    last_index: self.journal.last_index(),
                    last_term: self.journal.last_term(),
                };
                out.push(Action::Send { to, message });
            }
        }
        self.count_votes(now, pre, out);
    }

    pub(super) fn on_request_vote(
        &mut self,
        now: Duration,
        from: &str,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        let Message::RequestVote {
            term,
            pre,
            transfer,
            last_index,
            last_term,
        } = message
        else {
            return;
        };
        // A voter that heard from a leader within the shortest election timeout grants no
        // vote, because that leader may still hold its lease. The start of the process
        // counts as contact: a restart loses the time of the last one. A voter in term 0
        // has never acknowledged a leader, so no lease depends on it. A leader that orders a
        // transfer has ended its own lease first.
        let had_recent_leader_contact =
            self.hard_state.term > 0 && now < self.last_leader_contact + self.timing.election_timeout();
        let leads_with_lease = self.role == Role::Leader && self.holds_lease(now);
        if !transfer && (had_recent_leader_contact || leads_with_lease) && term > self.hard_state.term {
            return;
        }
        if !pre {
            self.adopt_term(now, term, out);
        }
        let own_last = (self.journal.last_term(), self.journal.last_index());
        let is_log_up_to_date = (last_term, last_index) >= own_last;
        let may_vote = pre || self.hard_state.vote.is_none() || self.hard_state.vote.as_deref() == Some(from);
        let is_term_valid = if pre {
            term > self.hard_state.term
        } else {
            term == self.hard_state.term
        };
        let granted = is_term_valid && may_vote && is_log_up_to_date;
        if granted && !pre {
            self.hard_state.vote = Some(from.to_owned());
            self.reset_election_deadline(now);
            out.push(Action::SaveHardState(self.hard_state.clone()));
        }
        let term = if granted { term } else { self.hard_state.term };
        let message = Message::VoteResponse { term, pre, granted };
        out.push(Action::Send {
            to: from.to_owned(),
            message,
        });
    }

    pub(super) fn on_vote_response(
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
        let expected_term = self.hard_state.term + u64::from(pre);
        let expected_role = if pre { Role::PreCandidate } else { Role::Candidate };
        if term != expected_term || self.role != expected_role {
            return;
        }
        self.votes_received.insert(from.to_owned());
        self.count_votes(now, pre, out);
    }

    /// Starts the election after a successful pre-vote, or becomes leader after a won election.
    fn count_votes(&mut self, now: Duration, pre: bool, out: &mut Vec<Action>) {
        let voters = self.voters();
        let granted = voters.iter().filter(|v| self.votes_received.contains(*v)).count();
        if granted * 2 <= voters.len() {
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
        self.elected_at = now;
        self.transfer_started = None;
        self.progress = BTreeMap::new();
        self.refresh_progress();
        self.propose(now, vec![Payload::Empty], out);
    }

    /// Adds a progress entry for each new member of the latest membership, and removes those of
    /// former members.
    pub(super) fn refresh_progress(&mut self) {
        let (voters, learners) = self.journal.members();
        let next_index = self.journal.last_index() + 1;
        let others: Vec<String> = voters
            .into_iter()
            .chain(learners)
            .filter(|id| *id != self.id)
            .collect();
        self.progress.retain(|id, _| others.contains(id));
        for id in others {
            self.progress.entry(id).or_insert(Progress {
                next_index,
                match_index: None,
                last_contact: None,
                in_flight_since: None,
            });
        }
    }

    /// Orders a voter that holds the whole log, the one with the latest contact, to start an
    /// election; does nothing if there is none.
    pub(super) fn transfer_leadership(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.role != Role::Leader {
            return;
        }
        let voters = self.voters();
        let last_index = self.journal.last_index();
        let successor = self
            .progress
            .iter()
            .filter(|(id, p)| voters.contains(id) && p.match_index == Some(last_index))
            .max_by_key(|(_, p)| p.last_contact);
        if let Some((to, _)) = successor {
            // `transfer_started` ends the lease immediately: the successor may win its election
            // before the lease would expire.
            let to = to.clone();
            self.transfer_started = Some(now);
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
