//! Detection of stragglers: replicas that are much slower than their peers.

use std::time::Duration;

/// Ratio of the step time to the median of the peers, above which a replica is slow.
const SLOW_RATIO: f64 = 2.0;
/// Ratio of the step time to the median of the peers, below which it has recovered.
const RECOVERED_RATIO: f64 = 1.4;
/// Time for which a replica must stay slow before it is marked.
const MARK_AFTER: Duration = Duration::from_secs(3);
/// Time for which it must stay recovered before the mark is removed.
const CLEAR_AFTER: Duration = Duration::from_secs(10);

/// Straggler mark of one replica.
///
/// Two thresholds and two delays give hysteresis, so that the mark of a replica near a
/// threshold does not change with every report.
#[derive(Clone, Debug, Default)]
pub struct Straggler {
    marked: bool,
    /// Time since which the ratio has been past the threshold that changes the mark.
    past_threshold_since: Option<Duration>,
}

impl Straggler {
    /// Updates the mark from the step time of the replica and the median of its peers, in
    /// microseconds; 0 means that one is not known.
    pub fn observe(&mut self, now: Duration, step_us: u64, median_us: u64) {
        if step_us == 0 || median_us == 0 {
            self.past_threshold_since = None;
            return;
        }
        let ratio = step_us as f64 / median_us as f64;
        let (is_past_threshold, delay) = if self.marked {
            (ratio < RECOVERED_RATIO, CLEAR_AFTER)
        } else {
            (ratio > SLOW_RATIO, MARK_AFTER)
        };
        if !is_past_threshold {
            self.past_threshold_since = None;
            return;
        }
        let since = *self.past_threshold_since.get_or_insert(now);
        if now >= since + delay {
            self.marked = !self.marked;
            self.past_threshold_since = None;
        }
    }

    /// Whether the replica is marked as slow.
    pub fn is_marked(&self) -> bool {
        self.marked
    }
}
