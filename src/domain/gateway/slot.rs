//! What a gateway knows of one target.

use std::time::Duration;

use crate::domain::fleet::Target;

/// Silence of all running streams of a target after which it gets no new requests: several
/// passes of a full engine.
const SUSPECT_AFTER: Duration = Duration::from_millis(350);

/// Target as one gateway sees it.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    pub(super) target: Target,
    /// Own requests in progress.
    pub(super) running: u32,
    /// Requests in progress from other gateways.
    pub(super) others: u32,
    pub(super) closed: bool,
    pub(super) failures: u32,
    pub(super) ejections: u32,
    pub(super) ejected_until: Duration,
    pub(super) answered: Option<Duration>,
    /// Whether a send has failed and none was answered since.
    pub(super) has_failed: bool,
    /// Streams that have sent an event and not ended.
    pub(super) streaming: u32,
    /// Whether other gateways have reported the target as stalled.
    pub(super) is_accused: bool,
    /// When the target was first named, or named as cold.
    pub(super) appeared: Option<Duration>,
    /// Earliest time of the next request, by the rate that a cold target bears.
    pub(super) next: Duration,
}

impl Slot {
    pub(super) fn new(target: Target) -> Self {
        Slot {
            target,
            running: 0,
            others: 0,
            closed: false,
            failures: 0,
            ejections: 0,
            ejected_until: Duration::ZERO,
            answered: None,
            has_failed: false,
            streaming: 0,
            is_accused: false,
            appeared: None,
            next: Duration::ZERO,
        }
    }

    pub(super) fn load(&self) -> u32 {
        self.running + self.others
    }

    /// Whether all running streams of the target have been silent for too long.
    pub(super) fn is_suspect(&self, now: Duration) -> bool {
        let heard = self.answered.unwrap_or(Duration::ZERO);
        self.streaming > 0 && now > heard + SUSPECT_AFTER
    }

    /// Whether the target may get a request; one that was left out gets a single one at first.
    pub(super) fn is_healthy(&self, now: Duration) -> bool {
        let is_vouched = self.answered.is_some_and(|at| now < at + SUSPECT_AFTER);
        let is_probed = self.ejections > 0 && self.running > 0;
        self.ejected_until <= now && !is_probed && !self.is_suspect(now) && (!self.is_accused || is_vouched)
    }
}
