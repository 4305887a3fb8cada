//! Targets whose host refuses this gateway's connections.
//!
//! A gateway reports them to the leader, which takes them as a second witness beside its own connections that the
//! target's process has ended; the report alone decides nothing, since the gateway's link may be at fault.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a refused connection is reported. The leader needs less to try itself.
const REPORTED_TIME: Duration = Duration::from_millis(1_500);
/// Targets with a refused connection; further ones are not reported.
const MAX_TARGETS: usize = 1_024;

/// Refused connections, by target.
#[derive(Clone, Debug, Default)]
pub struct Refusals {
    /// Incarnation of the target, and time of its latest refusal.
    by_target: BTreeMap<String, (u64, Duration)>,
}

impl Refusals {
    /// Records that the host of a target has refused a connection, and that no other gateway that was asked has
    /// opened one.
    pub fn record(&mut self, now: Duration, target: &str, incarnation: u64) {
        if self.by_target.len() < MAX_TARGETS || self.by_target.contains_key(target) {
            self.by_target.insert(target.to_owned(), (incarnation, now));
        }
    }

    /// Records that a target has accepted a connection.
    pub fn clear(&mut self, target: &str) {
        self.by_target.remove(target);
    }

    /// Incarnation of each target that has refused a connection lately and accepted none since.
    pub fn report(&mut self, now: Duration) -> BTreeMap<String, u64> {
        self.by_target.retain(|_, (_, at)| now < *at + REPORTED_TIME);
        let reported = self.by_target.iter();
        reported
            .map(|(id, (incarnation, _))| (id.clone(), *incarnation))
            .collect()
    }
}
