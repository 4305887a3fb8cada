//! Permits of one target in a sliding window, and what checks have shown of it.

use std::collections::VecDeque;
use std::time::Duration;

/// Time from the issue of a permit in which its request has to be sent.
pub const PERMIT_VALIDITY: Duration = Duration::from_millis(100);
/// Length of the window in which permits are counted: requests that arrive within one second have permits that
/// were issued within this time.
pub const WINDOW: Duration = Duration::from_secs(1).saturating_add(PERMIT_VALIDITY);
/// Shortest time between two checks of a target.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time until the next check of a target after one without a usable answer.
const CHECK_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Permits that were issued for one target.
#[derive(Clone, Debug, Default)]
pub(super) struct Window {
    issued: VecDeque<Duration>,
    last_issued: Option<Duration>,
    /// Sending time of the last check whose answer announced no cold start.
    warm_at: Option<Duration>,
    /// End of the cold start that a check's answer announced.
    cold_until: Duration,
    checked_at: Option<Duration>,
    has_check_failed: bool,
}

impl Window {
    /// When a permit was issued last.
    pub(super) fn last_issued(&self) -> Option<Duration> {
        self.last_issued
    }

    /// Whether a check has shown that the target is in a cold start.
    pub(super) fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Whether a further permit keeps to `allowed` permits in a window.
    ///
    /// Of less than one permit, one is issued in a correspondingly longer time. The last place of several is kept
    /// for a check, as it may count as a request, too.
    pub(super) fn has_room(&mut self, now: Duration, allowed: f64) -> bool {
        if allowed < 1.0 {
            let interval_s = WINDOW.as_secs_f64() / allowed.max(f64::MIN_POSITIVE);
            let last = self.last_issued;
            return last.is_none_or(|at| now.saturating_sub(at).as_secs_f64() >= interval_s);
        }
        let allowed = allowed as usize;
        let reserved = usize::from(allowed > 1 && !self.has_check_failed);
        self.count(now) + reserved < allowed
    }

    /// Whether to check the target now: its permits are running short and there is a place left for the check.
    pub(super) fn wants_check(&mut self, now: Duration, allowed: f64) -> bool {
        let allowed = allowed as usize;
        let interval = if self.has_check_failed {
            CHECK_RETRY_INTERVAL
        } else {
            CHECK_INTERVAL
        };
        let is_due = self.checked_at.is_none_or(|at| now >= at + interval);
        let count = self.count(now);
        allowed > 1 && is_due && 2 * count >= allowed && count < allowed
    }

    /// Records that a permit was issued.
    pub(super) fn record(&mut self, now: Duration) {
        self.issued.push_back(now);
        self.last_issued = Some(now);
    }

    /// Records that a check is sent, which may count as a request.
    pub(super) fn record_check(&mut self, now: Duration) {
        self.issued.push_back(now);
        self.checked_at = Some(now);
    }

    /// Records the answer to a check that was sent at `sent_at`: the remaining time of the cold start, or none
    /// without a usable answer.
    pub(super) fn record_answer(&mut self, now: Duration, sent_at: Duration, cold: Option<Duration>) {
        self.has_check_failed = cold.is_none();
        match cold {
            Some(Duration::ZERO) => self.warm_at = self.warm_at.max(Some(sent_at)),
            Some(remaining) => self.cold_until = now + remaining,
            None => {}
        }
    }

    /// Permits that count at `now`: those in the window whose requests may have arrived since the target was last
    /// known to be warm.
    fn count(&mut self, now: Duration) -> usize {
        let warm_since = self.warm_at.unwrap_or_default();
        let counts = |at: Duration| at + WINDOW > now && at + PERMIT_VALIDITY >= warm_since;
        while self.issued.front().is_some_and(|at| !counts(*at)) {
            self.issued.pop_front();
        }
        self.issued.len()
    }
}
