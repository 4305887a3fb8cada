//! Planned stop of a gateway: which requests are still begun, and until when all are answered.
//!
//! What is begun is answered. Requests that can be sent again are accepted for as long as the load balancer in front
//! may send new connections, and are answered with an error if they outlast the grace period. One that cannot be
//! sent again is begun only if its caller stops waiting before.

use std::time::Duration;

/// Fraction of the grace period in which requests are still accepted, meant to last until the load
/// balancer has stopped sending connections: 2.9 s of the default 8 s. The accepted requests have the
/// rest to end.
const INTAKE_FRACTION: f64 = 0.36;
/// Time at the end of the grace period that is left for the process to exit.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Time before that for the last answers to reach their callers.
const FLUSH_MARGIN: Duration = Duration::from_millis(200);

/// Schedule of a planned stop, as times of the process's clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stop {
    /// Requests that arrive from then on are refused.
    intake_end: Duration,
    /// Requests that are still in progress then are answered without a result.
    pub answers_end: Duration,
    /// The process exits then at the latest.
    pub exit: Duration,
}

impl Stop {
    /// Stop that begins at `now`, of a process that is killed after `grace_period`.
    pub fn new(now: Duration, grace_period: Duration) -> Self {
        let exit = now + grace_period.saturating_sub(EXIT_MARGIN);
        Stop {
            intake_end: now + grace_period.mul_f64(INTAKE_FRACTION),
            answers_end: exit.saturating_sub(FLUSH_MARGIN).max(now),
            exit,
        }
    }

    /// Whether a request that has arrived whole at `now` is accepted.
    pub fn accepts(&self, now: Duration, deadline: Duration, is_repeatable: bool) -> bool {
        now < self.intake_end && self.may_begin(deadline, is_repeatable)
    }

    /// Whether a request may be sent to an upstream, when its caller waits until `deadline`.
    pub fn may_begin(&self, deadline: Duration, is_repeatable: bool) -> bool {
        is_repeatable || deadline <= self.answers_end
    }
}
