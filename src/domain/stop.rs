//! Planned stop of a process with callers: which requests are still begun, and until when all are answered.
//!
//! What is begun is answered. Requests that can be sent again are accepted for as long as the load balancer in front
//! may send new connections, and are answered with an error if they outlast the grace period. One that cannot be
//! sent again is begun only if its caller stops waiting before.

use std::time::Duration;

/// Time at the end of the grace period that is left for the process to exit.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Time before that for the last answers to reach their callers.
const FLUSH_MARGIN: Duration = Duration::from_millis(200);

/// Schedule of a planned stop, as times of the process's clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stop {
    /// Requests that arrive from then on are refused.
    pub intake_end: Duration,
    /// Requests that are still in progress then are answered without a result.
    pub answers_end: Duration,
    /// The process exits then at the latest.
    pub exit: Duration,
}

impl Stop {
    /// Stop that begins at `now`, with requests accepted for `intake` of the grace period.
    pub fn new(now: Duration, intake: Duration, grace_period: Duration) -> Self {
        let exit = now + grace_period.saturating_sub(EXIT_MARGIN);
        Stop {
            intake_end: now + intake,
            answers_end: exit.saturating_sub(FLUSH_MARGIN).max(now),
            exit,
        }
    }

    /// Whether a request that has arrived whole at `now` is accepted, when its caller waits until `deadline`.
    pub fn accepts(&self, now: Duration, deadline: Duration, is_repeatable: bool) -> bool {
        now < self.intake_end && self.may_begin(deadline, is_repeatable)
    }

    /// Whether an accepted request may be sent to an upstream, when its caller waits until `deadline`.
    pub fn may_begin(&self, deadline: Duration, is_repeatable: bool) -> bool {
        is_repeatable || deadline <= self.answers_end
    }
}
