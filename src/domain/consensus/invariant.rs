//! Safety invariants of the protocol, checked after every step.

use super::Node;
use super::Role;

/// Values from before a step, with which the values after it are compared.
pub(super) struct Baseline {
    term: u64,
    vote: Option<String>,
    commit_index: u64,
    committed_term: Option<u64>,
}

impl Node {
    pub(super) fn baseline(&self) -> Baseline {
        Baseline {
            term: self.hard_state.term,
            vote: self.hard_state.vote.clone(),
            commit_index: self.commit_index,
            committed_term: self.journal.term_at(self.commit_index),
        }
    }

    /// Panics when a step violated an invariant.
    pub(super) fn check_invariants(&self, before: &Baseline) {
        assert!(self.hard_state.term >= before.term, "the term never decreases");
        if self.hard_state.term == before.term && before.vote.is_some() {
            assert_eq!(self.hard_state.vote, before.vote, "a voter votes once in a term");
        }
        assert!(
            self.commit_index >= before.commit_index,
            "the commit index never decreases"
        );
        assert!(
            self.applied_index <= self.commit_index,
            "only committed records are applied"
        );
        let last_index = self.journal.last_index();
        assert!(
            self.commit_index <= last_index,
            "the commit index is within the log"
        );
        let term = self.journal.term_at(before.commit_index);
        if term.is_some() && before.committed_term.is_some() {
            assert_eq!(term, before.committed_term, "a committed record never changes");
        }
        if self.role == Role::Leader {
            assert_eq!(
                self.leader.as_deref(),
                Some(self.id.as_str()),
                "a leader names itself as the leader"
            );
        }
    }
}
