//! Invariants that hold across every step.

use super::Node;
use super::Role;

/// Values before a step that may only grow.
pub(super) struct Mark {
    term: u64,
    vote: Option<String>,
    commit: u64,
    committed_term: Option<u64>,
}

impl Node {
    pub(super) fn mark(&self) -> Mark {
        Mark {
            term: self.hard_state.term,
            vote: self.hard_state.vote.clone(),
            commit: self.commit,
            committed_term: self.journal.term_at(self.commit),
        }
    }

    /// Panics when a step broke a rule of the protocol.
    pub(super) fn check(&self, before: &Mark) {
        assert!(self.hard_state.term >= before.term, "term never falls");
        if self.hard_state.term == before.term && before.vote.is_some() {
            assert_eq!(self.hard_state.vote, before.vote, "one vote in a term");
        }
        assert!(self.commit >= before.commit, "commit index never falls");
        assert!(self.applied <= self.commit, "only committed records are applied");
        let last = self.journal.last_index();
        assert!(self.commit <= last, "commit index within the log");
        let term = self.journal.term_at(before.commit);
        if term.is_some() && before.committed_term.is_some() {
            assert_eq!(term, before.committed_term, "committed record never changes");
        }
        if self.role == Role::Leader {
            assert_eq!(
                self.leader.as_deref(),
                Some(self.id.as_str()),
                "leader knows itself"
            );
        }
    }
}
