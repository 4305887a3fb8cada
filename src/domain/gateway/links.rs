//! What the load balancer knows of targets when links are at fault, its own or another gateway's.

use std::time::Duration;

use super::Balancer;
use super::tracker::Tracker;

/// Time in which a connection is established or fails, whichever way it takes.
pub const DIAL_TIME: Duration = Duration::from_millis(600);

impl Balancer {
    /// Forgets failures and ejections of target `id`: the link to it was at fault.
    pub fn clear_failures(&mut self, id: &str) {
        if let Some(tracker) = self.trackers.get_mut(id) {
            tracker.clear_failures();
        }
    }

    /// Forgets failures and ejections of all targets.
    pub fn clear_all_failures(&mut self) {
        self.trackers.values_mut().for_each(Tracker::clear_failures);
    }

    /// Records that a connection to target `id`, begun at `begun`, could be established neither directly nor through
    /// a helper.
    pub fn record_unreached(&mut self, now: Duration, begun: Duration, id: &str) {
        if let Some(tracker) = self.trackers.get_mut(id) {
            tracker.record_unreached(now, begun);
        }
    }

    /// Records that a connection to target `id` was established.
    pub fn record_reached(&mut self, id: &str) {
        if let Some(tracker) = self.trackers.get_mut(id) {
            tracker.clear_unreached();
        }
    }

    /// Whether target `id` at `address` may get new requests.
    pub fn is_listed(&self, id: &str, address: &str) -> bool {
        self.trackers.get(id).is_some_and(|t| {
            t.target.address == address && !t.closed && !self.zones_out.contains(&t.target.zone)
        })
    }

    /// Address of another target than `id`, selected by the random number `draw`.
    pub fn other_address(&self, id: &str, draw: u64) -> Option<&str> {
        let others: Vec<&Tracker> = self.trackers.values().filter(|t| t.target.id != id).collect();
        let index = draw % (others.len() as u64).max(1);
        others.get(index as usize).map(|t| t.target.address.as_str())
    }
}
