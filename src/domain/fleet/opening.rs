//! Orders to open that the head of one group may still carry out.
//!
//! An order without an answer may have been accepted, or may be carried out seconds later, after newer ones. No time
//! limit tells when it no longer is, so it stays unsettled until its answer shows its fate, or the connection
//! shows that nothing of it was delivered. An earlier leader's orders are unknown here and stay unsettled.

use std::time::Duration;

use super::Reply;

/// Orders to open that one head was sent.
#[derive(Clone, Debug, Default)]
pub(super) struct Openings {
    /// Orders of this leader whose fate is not known.
    unsettled: u32,
    /// Whether an earlier leader may have sent one.
    is_inherited: bool,
    /// When the head answered one last.
    answered_at: Option<Duration>,
}

impl Openings {
    /// Orders of a group that an earlier leader may have ordered to open.
    pub(super) fn inherited() -> Self {
        Openings {
            is_inherited: true,
            ..Openings::default()
        }
    }

    /// Records that an order is sent.
    pub(super) fn record_sent(&mut self) {
        self.unsettled += 1;
    }

    /// Records how an order ended.
    pub(super) fn record_reply(&mut self, now: Duration, reply: Reply) {
        match reply {
            Reply::Answered => self.answered_at = Some(now),
            Reply::Refused | Reply::Misdirected | Reply::Unsent => {}
            Reply::Accepted | Reply::Unclear => return,
        }
        self.unsettled = self.unsettled.saturating_sub(1);
    }

    /// Whether one may still be carried out.
    pub(super) fn is_any_unsettled(&self) -> bool {
        self.is_inherited || self.unsettled > 0
    }

    /// When the head answered one last; it opens some time later.
    pub(super) fn answered_at(&self) -> Option<Duration> {
        self.answered_at
    }
}
