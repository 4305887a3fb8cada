//! Reach of targets: which of them this gateway connects to directly, and which through another gateway.
//!
//! A gateway may lose its links to some or all targets while other gateways keep theirs. When a direct
//! connection fails and a helper connects to the same target, the link is at fault, not the target. The gateway
//! then takes the detour for a while, tries both ways when that time is over, and returns as soon as the direct
//! way is the first to connect. Each target returns by itself, with a request that connects.
//!
//! A gateway that takes detours to several targets is partitioned: what it sees of targets on its own links is
//! no evidence against them, and it helps no other gateway.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which a target is reached by detour before the direct way is tried again.
const DETOUR_TIME: Duration = Duration::from_millis(1_500);
/// Time after the end of a detour in which it still shows that the links are at fault.
const DETOUR_MEMORY: Duration = Duration::from_millis(3_000);
/// Time without anything on any direct link after which targets that have stalled do not show whose fault it is; a
/// stream without an event for that long counts as stalled.
const LINK_SILENCE: Duration = Duration::from_millis(350);
/// Targets with detours from which on the gateway is partitioned.
const PARTITIONED_TARGETS: usize = 2;
/// Time for which a helper that did not answer is asked last.
const HELPER_PENALTY: Duration = Duration::from_millis(2_000);

/// How to begin connecting to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// Directly, and through a helper if that fails or takes long.
    Direct,
    /// Directly, and through a helper almost at once.
    Cautious,
    /// Through a helper, and directly if that fails.
    Detour,
}

/// Change of what the gateway knows of its links.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The gateway is partitioned from targets.
    Partitioned,
    /// The gateway reaches its targets again.
    Restored,
}

/// Detour to one target.
#[derive(Clone, Copy, Debug)]
struct Detour {
    taken_at: Duration,
    until: Duration,
}

/// Reach of targets as one gateway sees it.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    /// Latest detours, by target.
    detours: BTreeMap<String, Detour>,
    /// When a target with a detour was last reached directly.
    returned_at: Option<Duration>,
    /// When anything last arrived on a direct link.
    heard_at: Option<Duration>,
    /// Helpers, in the order in which this gateway prefers them.
    helpers: Vec<SocketAddr>,
    /// Open tunnels, by helper.
    tunnels: BTreeMap<SocketAddr, u32>,
    /// Ends of penalties, by helper.
    penalties: BTreeMap<SocketAddr, Duration>,
    is_partitioned: bool,
}

impl Reach {
    /// How to begin connecting to `target`.
    pub fn way(&self, now: Duration, target: &str) -> Way {
        match self.detours.get(target) {
            Some(detour) if now < detour.until && self.is_current(now, detour) => Way::Detour,
            Some(detour) if now < detour.until + DETOUR_MEMORY => Way::Cautious,
            _ if self.is_partitioned(now) => Way::Cautious,
            _ => Way::Direct,
        }
    }

    /// Whether the link to `target` may be at fault: it is, those to several other targets are, or one is and
    /// nothing has arrived on any direct link since.
    pub fn is_link_suspect(&self, now: Duration, target: &str) -> bool {
        let detour = self.detours.get(target);
        if detour.is_some_and(|d| self.is_current(now, d)) || self.is_partitioned(now) {
            return true;
        }
        let current = self.detours.values().filter(|d| self.is_current(now, d));
        let taken_at = current.map(|d| d.taken_at).max();
        taken_at.is_some_and(|at| self.heard_at.is_none_or(|heard| heard < at))
    }

    /// Records that something has arrived on a direct link.
    pub fn record_heard(&mut self, now: Duration) {
        self.heard_at = Some(now);
    }

    /// Whether the links of all targets may be at fault: several of them have stalled, and nothing has arrived on any
    /// direct link for a while, not even the acceptance of a connection.
    pub fn is_cut_off(&self, now: Duration, stalled: usize) -> bool {
        let is_silent = self.heard_at.is_none_or(|at| now > at + LINK_SILENCE);
        stalled >= PARTITIONED_TARGETS && is_silent
    }

    /// Whether detours lead to several targets, or have done so and one is left.
    pub fn is_partitioned(&self, now: Duration) -> bool {
        let least = if self.is_partitioned {
            1
        } else {
            PARTITIONED_TARGETS
        };
        let current = self.detours.values().filter(|d| self.is_current(now, d));
        current.count() >= least
    }

    /// Whether a detour still shows that the links are at fault.
    fn is_current(&self, now: Duration, detour: &Detour) -> bool {
        now < detour.until + DETOUR_MEMORY && self.returned_at.is_none_or(|at| detour.taken_at > at)
    }

    /// Number of targets that are reached by detour.
    pub fn detours(&self) -> usize {
        self.detours.len()
    }

    /// Records that a direct connection to `target` was established.
    ///
    /// After a return from one detour the others show no fault any more; both ways are tried for their targets.
    pub fn record_direct(&mut self, now: Duration, target: &str) {
        self.record_heard(now);
        if self.detours.remove(target).is_some() {
            self.returned_at = Some(now);
        }
    }

    /// Records that a helper has connected to `target` while a direct connection failed or took longer; returns
    /// whether that is new.
    pub fn record_detour(&mut self, now: Duration, target: &str) -> bool {
        let known = self.detours.get(target).filter(|d| self.is_current(now, d));
        let is_new = known.is_none();
        // A detour that is taken again without a direct try shows nothing new of the link.
        if known.is_some_and(|d| now < d.until) {
            return is_new;
        }
        let detour = Detour {
            taken_at: now,
            until: now + DETOUR_TIME,
        };
        self.detours.insert(target.to_owned(), detour);
        is_new
    }

    /// Forgets detours that ended long ago; returns whether the gateway has been partitioned or restored since
    /// the last call.
    pub fn update(&mut self, now: Duration) -> Option<Change> {
        self.detours.retain(|_, d| now < d.until + DETOUR_MEMORY);
        self.penalties.retain(|_, until| now < *until);
        let was_partitioned = self.is_partitioned;
        self.is_partitioned = self.is_partitioned(now);
        match (was_partitioned, self.is_partitioned) {
            (false, true) => Some(Change::Partitioned),
            (true, false) => Some(Change::Restored),
            _ => None,
        }
    }

    /// Replaces the helpers.
    pub fn set_helpers(&mut self, helpers: Vec<SocketAddr>) {
        self.helpers = helpers;
    }

    /// Helpers to ask, at most `count`: first those that have answered, with the fewest tunnels of this gateway.
    ///
    /// Among equals the order of the list decides, which differs between gateways.
    pub fn helpers(&self, now: Duration, count: usize) -> Vec<SocketAddr> {
        let mut helpers = self.helpers.clone();
        helpers.sort_by_key(|helper| {
            let is_penalized = self.penalties.get(helper).is_some_and(|until| now < *until);
            (is_penalized, self.tunnels.get(helper).copied().unwrap_or(0))
        });
        helpers.truncate(count);
        helpers
    }

    /// Records that `helper` gave no answer, or one that is of no use.
    pub fn record_helper_failure(&mut self, now: Duration, helper: SocketAddr) {
        self.penalties.insert(helper, now + HELPER_PENALTY);
    }

    /// Counts a tunnel through `helper` as open.
    pub fn open_tunnel(&mut self, helper: SocketAddr) {
        *self.tunnels.entry(helper).or_default() += 1;
    }

    /// Counts a tunnel through `helper` as closed.
    pub fn close_tunnel(&mut self, helper: SocketAddr) {
        let Some(count) = self.tunnels.get_mut(&helper) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.tunnels.remove(&helper);
        }
    }
}
