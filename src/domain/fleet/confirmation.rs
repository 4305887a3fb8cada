//! When the leader last confirmed what a process holds from it.
//!
//! A confirmation is passed on with its age, by processes that may be cut off from the leader for as long as they
//! run. So it may be older than the process that receives it, whose clock starts at zero.

use std::time::Duration;

/// Moment of a confirmation on the clock of this process, which may lie before its start.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Confirmation {
    at_ms: i128,
}

impl Confirmation {
    /// Confirmation that was `age` old at `now`.
    pub fn new(now: Duration, age: Duration) -> Self {
        Confirmation {
            at_ms: now.as_millis() as i128 - age.as_millis() as i128,
        }
    }

    /// Whether the confirmation counts at `now` if it does so for `validity`.
    pub fn is_valid(self, now: Duration, validity: Duration) -> bool {
        (now.as_millis() as i128) < self.at_ms + validity.as_millis() as i128
    }

    /// Whether this confirmation is later than `other` by more than `margin`.
    pub fn is_later_by(self, margin: Duration, other: Confirmation) -> bool {
        self.at_ms > other.at_ms + margin.as_millis() as i128
    }
}
