//! Load shedding: how long a request waits for a slot, and when a refused caller should retry.
//!
//! In a burst, more requests arrive than all groups can serve within their latency objectives. A
//! request waits for a small fraction of its objective and is then refused. A caller that retries
//! after a refusal has already missed its objective, so it leaves the last slots free for requests
//! that can still meet theirs. Letting such callers wait longer would take slots from more
//! on-time requests than it serves.

use std::time::Duration;

use super::Settings;

/// Slots of a target that a caller's retry leaves free.
const CALLER_RETRY_RESERVE_SLOTS: u32 = 1;
/// A request whose deadline is this much shorter than the route's timeout counts as a caller's retry.
const CALLER_RETRY_SHORTFALL: Duration = Duration::from_millis(100);
/// Shortest delay before a retry: an earlier one would meet the same load.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Range of the random part of the delay, so that refused callers do not retry together.
const RETRY_AFTER_SPREAD: Duration = Duration::from_millis(600);

/// Limits on admitting a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Admission {
    /// Longest wait for a free slot.
    pub max_wait: Duration,
    /// Slots of each target left free for requests that can still meet their objective.
    pub reserve: u32,
}

/// Limits for a request that had `time_left` of the route's `timeout` when it arrived.
pub fn admission_limits(
    settings: &Settings,
    goal: Duration,
    timeout: Duration,
    time_left: Duration,
) -> Admission {
    let is_caller_retry = time_left + CALLER_RETRY_SHORTFALL < timeout;
    Admission {
        max_wait: goal.mul_f64(settings.wait_part),
        reserve: if is_caller_retry {
            CALLER_RETRY_RESERVE_SLOTS
        } else {
            0
        },
    }
}

/// Delay after which a refused caller should retry; `draw` is random, between 0 and 1.
///
/// `until_room` is the expected time until a target has room.
pub fn retry_after(until_room: Duration, draw: f64) -> Duration {
    until_room + MIN_RETRY_AFTER + RETRY_AFTER_SPREAD.mul_f64(draw.clamp(0.0, 1.0))
}
