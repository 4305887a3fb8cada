//! Lease of one group member, renewed by its answers to probes.

use std::time::Duration;

use super::Report;
use crate::domain::state::Group;
use crate::domain::state::Member;

/// Lease of one group member: its latest answer to a probe.
///
/// The lease runs from the time the probe was sent, so a delayed answer does not extend it.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    /// Time at which the probe was sent, and the report in the answer.
    latest: Option<(Duration, Report)>,
    /// Probes sent before this time do not renew the lease.
    revoked_at: Duration,
}

impl Lease {
    /// Renews the lease by the answer to a probe sent at `sent`, unless it is outdated.
    pub fn renew(&mut self, sent: Duration, report: Report) {
        let is_newer = self.latest.as_ref().is_none_or(|(latest, _)| *latest <= sent);
        if is_newer && sent >= self.revoked_at {
            self.latest = Some((sent, report));
        }
    }

    /// Ends the lease; only probes sent at `now` or later renew it.
    pub fn revoke(&mut self, now: Duration) {
        self.latest = None;
        self.revoked_at = now;
    }

    /// Latest report, also after the lease has expired.
    pub fn report(&self) -> Option<&Report> {
        self.latest.as_ref().map(|(_, report)| report)
    }

    /// Whether the lease, which lasts for `length`, covers `now` and the latest report says
    /// that `member` is ready in `group`.
    pub fn is_valid(&self, now: Duration, length: Duration, group: &Group, member: &Member) -> bool {
        let Some((sent, report)) = &self.latest else {
            return false;
        };
        now < *sent + length
            && report.incarnation == member.incarnation
            && report.group == group.id
            && report.fence == group.fence
            && report.ready
    }

    /// Whether the latest report says that the member is leaving.
    pub fn is_leaving(&self) -> bool {
        self.report().is_some_and(|r| r.leaving)
    }
}
