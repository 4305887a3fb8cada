//! Load, health and pacing of one target, as one gateway sees them.

use std::time::Duration;

use super::links::DIAL_TIME;
use crate::domain::fleet::Target;

/// Time without an event on any open stream of a target after which it gets no new requests. In that
/// time even a full engine makes several passes over its batch.
const STREAM_SILENCE_LIMIT: Duration = Duration::from_millis(350);
/// Time after a failed connection in which no other one is tried to the same target.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Time after which failed connections to a target that nobody has tried since say nothing any more.
const RECONNECT_MEMORY: Duration = Duration::from_millis(500);

/// Load, health and pacing of one target.
#[derive(Clone, Debug)]
pub(super) struct Tracker {
    pub(super) target: Target,
    /// Requests in progress from this gateway.
    pub(super) running: u32,
    /// Requests in progress from other gateways, as of the leader's last answer.
    pub(super) running_elsewhere: u32,
    /// Whether the target takes no new requests.
    pub(super) closed: bool,
    /// Failed sends since the last answer or ejection.
    pub(super) failures: u32,
    /// Ejections since the last answer.
    pub(super) ejections: u32,
    pub(super) ejected_until: Duration,
    /// When the target last answered or sent an event.
    pub(super) last_activity: Option<Duration>,
    /// Whether a send has failed and the target has not answered or sent an event since.
    pub(super) has_failed: bool,
    /// Streams that have sent an event and have not ended.
    pub(super) open_streams: u32,
    /// Whether some gateway has reported the target as stalled and none has seen it answer since.
    pub(super) is_reported_stalled: bool,
    /// When the target was first listed, last went from warm to cold, or its availability zone last returned.
    pub(super) appeared_at: Option<Duration>,
    /// Earliest time of the next request that the rate limit allows.
    pub(super) next_allowed: Duration,
    /// When a connection failed first since the target was last reached.
    pub(super) unreached_at: Option<Duration>,
    /// Earliest time of the next connection, after two in a row have failed; unset once the target is reached.
    pub(super) reconnect_at: Option<Duration>,
}

impl Tracker {
    pub(super) fn new(target: Target) -> Self {
        Tracker {
            target,
            running: 0,
            running_elsewhere: 0,
            closed: false,
            failures: 0,
            ejections: 0,
            ejected_until: Duration::ZERO,
            last_activity: None,
            has_failed: false,
            open_streams: 0,
            is_reported_stalled: false,
            appeared_at: None,
            next_allowed: Duration::ZERO,
            unreached_at: None,
            reconnect_at: None,
        }
    }

    /// Forgets failures and ejections.
    pub(super) fn clear_failures(&mut self) {
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = Duration::ZERO;
        self.has_failed = false;
    }

    /// Whether a connection to the target may be tried.
    pub(super) fn may_connect(&self, now: Duration) -> bool {
        self.reconnect_at.is_none_or(|at| at <= now)
    }

    /// Records that a connection that was begun at `begun` could be established neither directly nor through a
    /// helper.
    ///
    /// The first failure may be that of a helper which does not know yet that its own links are at fault.
    pub(super) fn record_unreached(&mut self, now: Duration, begun: Duration) {
        match self.unreached_at {
            Some(at) if at <= begun => self.reconnect_at = Some(now + RECONNECT_DELAY),
            Some(_) => {}
            None => self.unreached_at = Some(now),
        }
    }

    /// Forgets failed connections: the target was reached, or they failed long ago.
    pub(super) fn clear_unreached(&mut self) {
        self.unreached_at = None;
        self.reconnect_at = None;
    }

    /// Lets a single request find out whether a target that was not reached can be.
    ///
    /// Failures long ago say nothing any more, and do not keep other requests back.
    pub(super) fn start_connecting(&mut self, now: Duration) {
        if self.reconnect_at.is_some_and(|at| at + RECONNECT_MEMORY <= now) {
            self.clear_unreached();
        }
        self.reconnect_at = self.reconnect_at.map(|_| now + DIAL_TIME);
    }

    /// Whether no open stream of the target has sent an event for too long.
    pub(super) fn has_silent_streams(&self, now: Duration) -> bool {
        let last_activity = self.last_activity.unwrap_or(Duration::ZERO);
        self.open_streams > 0 && now > last_activity + STREAM_SILENCE_LIMIT
    }

    /// Whether the target may get a request.
    ///
    /// After an ejection a single request probes the target before it gets more. An answer or event
    /// to this gateway within [`STREAM_SILENCE_LIMIT`] outweighs a reported stall.
    pub(super) fn is_healthy(&self, now: Duration) -> bool {
        let is_recently_active = self
            .last_activity
            .is_some_and(|at| now < at + STREAM_SILENCE_LIMIT);
        let is_probe_running = self.ejections > 0 && self.running > 0;
        self.ejected_until <= now
            && !is_probe_running
            && !self.has_silent_streams(now)
            && (!self.is_reported_stalled || is_recently_active)
    }
}
