//! Budget of retries, so that failures do not multiply the load.
//!
//! The first retry of each call is free, since the death of one replica or owner
//! breaks many calls at once; so failures at most double the load. Later retries
//! come out of the budget.

/// Retries that one first attempt earns.
const EARNED_PER_CALL: f64 = 0.1;
/// Retries saved up at most.
const MAX_SAVED: f64 = 100.0;
/// Retries available at the start.
const SAVED_AT_START: f64 = 10.0;

/// Token bucket that first attempts fill and retries drain.
#[derive(Clone, Debug)]
pub struct Budget {
    saved: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget {
            saved: SAVED_AT_START,
        }
    }
}

impl Budget {
    /// Records a first attempt.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + EARNED_PER_CALL).min(MAX_SAVED);
    }

    /// Takes one retry if there is one.
    pub fn try_withdraw(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
