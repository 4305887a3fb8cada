//! How long a request waits for room before it is refused, and when to come back.
//!
//! Answers the load of a burst: more requests than all groups can serve in time. A request
//! whose objective can still be met waits a small part of it and is then refused at once. A
//! caller that came back after a refusal has missed its objective already, so it loses
//! nothing by waiting longer, behind those that have not.

use std::time::Duration;

use super::Settings;

/// Part of the time left that a returned caller's request may wait.
const RETURNED_PART: f64 = 0.25;
/// Longest wait of a returned caller's request: one answer of an engine takes about as long.
const RETURNED_MOST: Duration = Duration::from_millis(1_500);
/// Shortfall of a caller's deadline against the route's that shows a return.
const RETURNED_LACK: Duration = Duration::from_millis(100);
/// Least time to come back: sooner ones meet the same load.
const BACK_LEAST: Duration = Duration::from_millis(250);
/// Spread of the times to come back, so that refused callers do not return together.
const BACK_SPREAD: Duration = Duration::from_millis(1_000);

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
    if !has_returned {
        return Patience {
            wait: goal.mul_f64(settings.wait_part),
            reserve: 0,
        };
    }
    Patience {
        wait: left.mul_f64(RETURNED_PART).min(RETURNED_MOST),
        reserve: 1,
    }
}

/// When a refused caller should come back; `draw` is between 0 and 1.
pub fn come_back(room: Duration, draw: f64) -> Duration {
    room + BACK_LEAST + BACK_SPREAD.mul_f64(draw.clamp(0.0, 1.0))
}
