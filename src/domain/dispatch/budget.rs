//! Retry budget, so that failures do not multiply the load.
//!
//! The first retry of a call does not come out of the budget, because the loss of one
//! replica or owner fails many calls at the same time; as there is one for each call, such retries
//! at most double the load. Every later retry withdraws from the budget.

/// Retries that one first attempt deposits.
const DEPOSIT_PER_CALL: f64 = 0.1;
/// Largest number of retries that can be saved up.
const MAX_BALANCE: f64 = 100.0;
/// Retries available before any call is made.
const INITIAL_BALANCE: f64 = 10.0;

/// Token bucket that first attempts fill and retries drain.
#[derive(Clone, Debug)]
pub struct Budget {
    balance: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget {
            balance: INITIAL_BALANCE,
        }
    }
}

impl Budget {
    /// Adds the share of a retry that one first attempt allows.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT_PER_CALL).min(MAX_BALANCE);
    }

    /// Whether a retry is left.
    pub fn has_retry(&self) -> bool {
        self.balance >= 1.0
    }

    /// Takes one retry; false when less than one is left.
    pub fn try_withdraw(&mut self) -> bool {
        if !self.has_retry() {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
