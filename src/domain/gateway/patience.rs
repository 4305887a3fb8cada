//! How long a request waits for room before it is refused, and when to come back.
//!
//! Answers the load of a burst: more requests than all groups can serve in time. A request
//! whose objective can still be met waits a small part of it and is then refused at once. A
//! caller that came back after a refusal has missed its objective already, so it leaves the
//! last places to those that have not. Long waits of such callers were tried and took the
//! places of more requests in time than they served.

use std::time::Duration;

use super::Settings;

/// Places of a target that a returned caller leaves free.
const RETURNED_RESERVE: u32 = 1;
/// Shortfall of a caller's deadline against the route's that shows a return.
const RETURNED_LACK: Duration = Duration::from_millis(100);
/// Least time to come back: sooner ones meet the same load.
const BACK_LEAST: Duration = Duration::from_millis(150);
/// Spread of the times to come back, so that refused callers do not return together.
const BACK_SPREAD: Duration = Duration::from_millis(600);

/// What a request may spend on waiting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Patience {
    /// Longest wait for room.
    pub wait: Duration,
    /// Free places that are left to requests that can still be in time.
    pub reserve: u32,
}

/// Patience of a request with `left` of the route's `timeout` at its start.
pub fn patience(settings: &Settings, goal: Duration, timeout: Duration, left: Duration) -> Patience {
    let has_returned = left + RETURNED_LACK < timeout;
    Patience {
        wait: goal.mul_f64(settings.wait_part),
        reserve: if has_returned { RETURNED_RESERVE } else { 0 },
    }
}

/// When a refused caller should come back; `draw` is between 0 and 1.
pub fn come_back(room: Duration, draw: f64) -> Duration {
    room + BACK_LEAST + BACK_SPREAD.mul_f64(draw.clamp(0.0, 1.0))
}
