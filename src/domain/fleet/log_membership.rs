//! Membership of the controllers' replicated log: voters and learners.
//!
//! The identity of a controller is its address. A controller that starts with an empty disk, other
//! than at the first installation, appends `~` and a nonce: it has lost its votes and log records, so
//! it must not vote under the old identity.
//!
//! A learner beyond [`Timing::voters`] stands by for a voter that is about to be replaced. It takes the vote
//! over when that voter says that it shuts down, or is silent for a short time.
//!
//! A voter whose disk is lost is removed before the new identity of its controller gets a vote. It can't vote any more,
//! so a quorum of the others is no larger without it; with both identities as voters, the loss of one controller
//! would count twice.
//!
//! [`Timing::voters`]: super::Timing::voters

use std::time::Duration;

use super::core::Core;
use super::event::Action;
use super::event::Ticket;
use crate::domain::consensus;
use crate::domain::fleet::Answer;

/// Silence after which a learner is removed from the log's membership.
const LEARNER_SILENCE_LIMIT: Duration = Duration::from_secs(30);

/// Silence after which a voter is replaced by a learner that stands by.
const STANDBY_SILENCE_LIMIT: Duration = Duration::from_millis(500);
/// Time after the notice of a shutdown from which a message of the controller shows that it has started
/// again.
const SHUTDOWN_TIME: Duration = Duration::from_secs(3);

/// Notice of a controller that it shuts down.
#[derive(Debug)]
pub(super) struct Notice {
    announced_at: Duration,
    /// Caller that waits until the controller has no vote any more.
    pub(super) ticket: Option<Ticket>,
}

/// Address part of a controller's identity, without the nonce.
pub fn controller_address(identity: &str) -> &str {
    identity.split('~').next().unwrap_or(identity)
}

impl Core {
    /// Proposes a controller as a learner unless it is a member already.
    pub(super) fn admit_learner(&mut self, now: Duration, identity: &str, out: &mut Vec<Action>) {
        let (voters, learners) = self.node.journal().members();
        if voters.iter().chain(&learners).any(|m| m == identity) {
            return;
        }
        if let Some(payload) = self.node.add_learner_payload(identity) {
            self.step_consensus(now, consensus::Event::Propose(vec![payload]), out);
        }
    }

    /// Proposes at most one change of membership: removes a voter whose disk is lost, or a lost voter beyond
    /// [`Timing::voters`], promotes a learner while voters are missing or lost, or removes a lost learner.
    ///
    /// A voter that is lost with its disk in place is thus replaced first and removed afterwards.
    ///
    /// [`Timing::voters`]: super::Timing::voters
    pub(super) fn maintain_log_membership(&mut self, now: Duration, out: &mut Vec<Action>) {
        if !self.node.is_membership_committed() {
            return;
        }
        let (voters, learners) = self.node.journal().members();
        self.member_first_seen
            .retain(|id, _| voters.contains(id) || learners.contains(id));
        for id in voters.iter().chain(&learners) {
            self.member_first_seen.entry(id.clone()).or_insert(now);
        }
        let wanted = self.timing.voters;
        let has_standby = voters.len() > wanted || self.standbys(now).next().is_some();
        let silence_limit = if has_standby {
            STANDBY_SILENCE_LIMIT.min(self.voter_silence_limit())
        } else {
            self.voter_silence_limit()
        };
        let is_lost = |id: &String| {
            self.shutdown_notices.contains_key(id)
                || self.is_replaced(id)
                || self.silence_of(now, id) > silence_limit
        };
        let lost_voter = voters.iter().find(|v| is_lost(v));
        let wiped_voter = voters.iter().find(|v| self.is_replaced(v));
        let superfluous_voter = lost_voter.filter(|_| voters.len() > wanted);
        let mut payload = wiped_voter
            .or(superfluous_voter)
            .and_then(|voter| self.node.remove_member_payload(voter));
        if payload.is_none() && (voters.len() < wanted || lost_voter.is_some_and(|_| voters.len() == wanted))
        {
            let mut standbys = self.standbys(now);
            payload = standbys.find_map(|l| self.node.promote_learner_payload(&l));
        }
        if payload.is_none() {
            let lost_learner = learners
                .iter()
                .find(|l| self.is_replaced(l) || self.silence_of(now, l) > LEARNER_SILENCE_LIMIT);
            payload = lost_learner.and_then(|l| self.node.remove_member_payload(l));
        }
        if let Some(payload) = payload {
            self.step_consensus(now, consensus::Event::Propose(vec![payload]), out);
        }
    }

    /// Learners that may become voters: this leader has heard from them lately.
    fn standbys(&self, now: Duration) -> impl Iterator<Item = String> + '_ {
        let (_, learners) = self.node.journal().members();
        learners.into_iter().filter(move |l| {
            let last_contact = self.node.last_contact(l);
            let is_connected = last_contact.is_some_and(|at| now < at + self.voter_silence_limit());
            is_connected && !self.is_replaced(l) && !self.shutdown_notices.contains_key(l)
        })
    }

    /// Records that a controller shuts down. The caller is answered by [`Core::answer_shutdown_notices`].
    pub(super) fn record_shutdown_notice(
        &mut self,
        now: Duration,
        ticket: Ticket,
        identity: String,
        out: &mut Vec<Action>,
    ) {
        if identity == self.node.id() {
            // Its leadership has to be transferred first, unless there is nobody else.
            let is_alone = self.node.voters().len() == 1;
            let answer = if is_alone {
                Answer::Done
            } else {
                Answer::Redirect(None)
            };
            out.push(Action::Answer(ticket, answer));
            return;
        }
        let notice = Notice {
            announced_at: now,
            ticket: Some(ticket),
        };
        let previous = self.shutdown_notices.insert(identity, notice);
        out.extend(previous.and_then(|p| p.ticket).map(|t| self.redirect(t)));
    }

    /// Answers the controllers that shut down and have no vote any more, or keep it because there is
    /// nobody to take it over; forgets those that have started again.
    pub(super) fn answer_shutdown_notices(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.shutdown_notices.is_empty() || !self.node.is_membership_committed() {
            return;
        }
        let (voters, learners) = self.node.journal().members();
        let has_standby = voters.len() > self.timing.voters || self.standbys(now).next().is_some();
        let mut notices = std::mem::take(&mut self.shutdown_notices);
        notices.retain(|identity, notice| {
            let is_voter = voters.contains(identity);
            let has_returned = self
                .node
                .last_contact(identity)
                .is_some_and(|at| at > notice.announced_at + SHUTDOWN_TIME);
            if !(is_voter && has_standby) || has_returned {
                let ticket = notice.ticket.take();
                out.extend(ticket.map(|t| Action::Answer(t, Answer::Done)));
            }
            (is_voter || learners.contains(identity)) && !has_returned
        });
        self.shutdown_notices = notices;
    }

    fn voter_silence_limit(&self) -> Duration {
        Duration::from_millis(self.timing.voter_lost_ms)
    }

    /// Whether a later member has the same address, so the disk of this one was lost or replaced.
    ///
    /// Members are listed in the order in which they joined, so any leader can tell.
    fn is_replaced(&self, identity: &str) -> bool {
        let (voters, learners) = self.node.journal().members();
        let mut later = voters
            .iter()
            .chain(&learners)
            .skip_while(|m| *m != identity)
            .skip(1);
        later.any(|m| controller_address(m) == controller_address(identity))
    }

    /// Time since the leader sent the latest message that a member has answered, or since it first
    /// found the member in the log's membership. Zero for the leader itself.
    fn silence_of(&self, now: Duration, identity: &str) -> Duration {
        if identity == self.node.id() {
            return Duration::ZERO;
        }
        let first_seen = self.member_first_seen.get(identity).copied().unwrap_or(now);
        let silent_since = self
            .node
            .last_contact(identity)
            .unwrap_or(first_seen)
            .max(first_seen);
        now.saturating_sub(silent_since)
    }
}
