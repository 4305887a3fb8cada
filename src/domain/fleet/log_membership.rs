//! Voters and learners of the controllers' log.
//!
//! A controller's identity is its address, and a nonce when its disk was empty at the start,
//! so a disk that was lost never votes under its old identity.

use std::time::Duration;

use super::core::Core;
use super::event::Action;
use crate::domain::consensus;

/// Silence after which a learner is dropped.
const LEARNER_LOST: Duration = Duration::from_secs(30);

/// Address in a controller's identity.
pub fn controller_address(identity: &str) -> &str {
    identity.split('~').next().unwrap_or(identity)
}

impl Core {
    /// Admits a controller as a learner.
    pub(super) fn join(&mut self, now: Duration, identity: &str, out: &mut Vec<Action>) {
        let (voters, learners) = self.node.journal().members();
        if voters.iter().chain(&learners).any(|m| m == identity) {
            return;
        }
        if let Some(payload) = self.node.add_learner_payload(identity) {
            self.consensus(now, consensus::Event::Propose(vec![payload]), out);
        }
    }

    /// Promotes learners up to the wanted number of voters and removes replaced ones.
    pub(super) fn maintain_members(&mut self, now: Duration, out: &mut Vec<Action>) {
        if !self.node.is_membership_committed() {
            return;
        }
        let (voters, learners) = self.node.journal().members();
        self.known
            .retain(|id, _| voters.contains(id) || learners.contains(id));
        for id in voters.iter().chain(&learners) {
            self.known.entry(id.clone()).or_insert(now);
        }
        let wanted = self.timing.voters;
        let lost = |id: &String| self.is_replaced(id) || self.silence(now, id) > self.voter_lost();
        let lost_voter = voters.iter().find(|v| lost(v));
        let mut payload = None;
        if let Some(voter) = lost_voter.filter(|_| voters.len() > wanted) {
            payload = self.node.remove_member_payload(voter);
        }
        if payload.is_none() && (voters.len() < wanted || lost_voter.is_some_and(|_| voters.len() == wanted))
        {
            let fit = learners
                .iter()
                .filter(|l| !self.is_replaced(l) && self.silence(now, l) < self.voter_lost());
            payload = fit.into_iter().find_map(|l| self.node.promote_learner_payload(l));
        }
        if payload.is_none() {
            let dropped = learners
                .iter()
                .find(|l| self.is_replaced(l) || self.silence(now, l) > LEARNER_LOST);
            payload = dropped.and_then(|l| self.node.remove_member_payload(l));
        }
        if let Some(payload) = payload {
            self.consensus(now, consensus::Event::Propose(vec![payload]), out);
        }
    }

    fn voter_lost(&self) -> Duration {
        Duration::from_millis(self.timing.voter_lost_ms)
    }

    /// Whether a later member has the same address: its disk was lost or exchanged.
    ///
    /// Members are listed in the order in which they joined, so any leader knows it.
    fn is_replaced(&self, identity: &str) -> bool {
        let (voters, learners) = self.node.journal().members();
        let mut later = voters
            .iter()
            .chain(&learners)
            .skip_while(|m| *m != identity)
            .skip(1);
        later.any(|m| controller_address(m) == controller_address(identity))
    }

    /// Time since the leader last heard of a member, or since it first knew of it.
    fn silence(&self, now: Duration, identity: &str) -> Duration {
        if identity == self.node.id() {
            return Duration::ZERO;
        }
        let known = self.known.get(identity).copied().unwrap_or(now);
        let heard = self.node.last_contact(identity).unwrap_or(known).max(known);
        now.saturating_sub(heard)
    }
}
