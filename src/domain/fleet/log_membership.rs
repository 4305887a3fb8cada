//! Membership of the controllers' replicated log: voters and learners.
//!
//! The identity of a controller is its address. A controller that starts with an empty disk, other
//! than at the first installation, appends a nonce: it has lost its votes and log records, so
//! it must not vote under the old identity.

use std::time::Duration;

use super::core::Core;
use super::event::Action;
use crate::domain::consensus;

/// Silence after which a learner is removed from the log's membership.
const LEARNER_SILENCE_LIMIT: Duration = Duration::from_secs(30);

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

    /// Proposes at most one change of membership: removes a lost voter beyond the wanted number,
    /// promotes a learner while voters are missing or lost, or removes a lost learner.
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
        let is_lost =
            |id: &String| self.is_replaced(id) || self.silence_of(now, id) > self.voter_silence_limit();
        let lost_voter = voters.iter().find(|v| is_lost(v));
        let mut payload = None;
        if let Some(voter) = lost_voter.filter(|_| voters.len() > wanted) {
            payload = self.node.remove_member_payload(voter);
        }
        if payload.is_none() && (voters.len() < wanted || lost_voter.is_some_and(|_| voters.len() == wanted))
        {
            let eligible = learners
                .iter()
                .filter(|l| !self.is_replaced(l) && self.silence_of(now, l) < self.voter_silence_limit());
            payload = eligible
                .into_iter()
                .find_map(|l| self.node.promote_learner_payload(l));
        }
        if payload.is_none() {
            let dropped = learners
                .iter()
                .find(|l| self.is_replaced(l) || self.silence_of(now, l) > LEARNER_SILENCE_LIMIT);
            payload = dropped.and_then(|l| self.node.remove_member_payload(l));
        }
        if let Some(payload) = payload {
            self.step_consensus(now, consensus::Event::Propose(vec![payload]), out);
        }
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

    /// Time since the latest message that a member has answered, or since the leader first saw it.
    fn silence_of(&self, now: Duration, identity: &str) -> Duration {
        if identity == self.node.id() {
            return Duration::ZERO;
        }
        let first_seen = self.member_first_seen.get(identity).copied().unwrap_or(now);
        let last_answer = self
            .node
            .last_contact(identity)
            .unwrap_or(first_seen)
            .max(first_seen);
        now.saturating_sub(last_answer)
    }
}
