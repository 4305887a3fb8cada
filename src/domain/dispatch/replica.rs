//! One owned replica: leases of its members, limit and calls in flight.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Ramp;
use crate::domain::environment::Document;
use crate::domain::membership::Lease;
use crate::domain::membership::Straggler;
use crate::domain::state::Group;

/// A call in flight at a replica.
#[derive(Clone, Debug)]
pub struct ActiveCall {
    /// Time of dispatch.
    pub dispatched_at: Duration,
    /// Whether the first part of the response has arrived.
    pub response_started: bool,
}

/// A replica that this entry owns.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Group of the replica, as in the replicated state.
    pub group: Group,
    /// Lease of each member, by position.
    pub leases: Vec<Lease>,
    /// Limit of calls in flight.
    pub ramp: Ramp,
    /// Calls in flight from this owner, by identifier.
    pub active_calls: BTreeMap<String, ActiveCall>,
    /// Calls that a previous owner may still have in flight, as the first member reports;
    /// `None` once a report shows that there are none.
    pub inherited_calls: Option<usize>,
    /// Detector that marks the replica while it is slow.
    pub straggler: Straggler,
    /// Time since which every member has held a valid lease.
    pub complete_since: Option<Duration>,
    /// Time at which the leases were revoked on suspicion, until all are renewed.
    pub suspected_at: Option<Duration>,
}

impl Replica {
    /// Replica that is newly owned; it starts cold because its state is not known.
    pub fn new(group: &Group, document: &Document) -> Self {
        let limits = &document.limits;
        Replica {
            leases: vec![Lease::default(); group.members.len()],
            group: group.clone(),
            ramp: Ramp::new(limits),
            active_calls: BTreeMap::new(),
            inherited_calls: Some(0),
            straggler: Straggler::default(),
            complete_since: None,
            suspected_at: None,
        }
    }

    /// Applies a newer state of the group; with a new fencing number the replica starts cold.
    pub fn update(&mut self, group: &Group, document: &Document) {
        let limits = &document.limits;
        self.ramp.set_limits(limits);
        if self.group.fence != group.fence {
            self.leases = vec![Lease::default(); group.members.len()];
            self.ramp.reset();
            self.complete_since = None;
        }
        self.group = group.clone();
    }

    /// Whether every member holds a valid lease.
    pub fn is_complete(&self, now: Duration, lease_length: Duration) -> bool {
        let members = self.group.members.iter().zip(&self.leases);
        members.clone().count() == self.group.members.len()
            && members
                .into_iter()
                .all(|(member, lease)| lease.is_valid(now, lease_length, &self.group, member))
    }

    /// Whether the members can take new calls, apart from the limit.
    pub fn is_open(&self, now: Duration, lease_length: Duration) -> bool {
        let leaving = self.leases.iter().any(Lease::is_leaving);
        !leaving && self.group.draining.is_none() && self.is_complete(now, lease_length)
    }

    /// Closes the replica until every member answers a probe sent at `now` or later.
    pub fn suspect(&mut self, now: Duration) {
        for lease in &mut self.leases {
            lease.revoke(now);
        }
        self.complete_since = None;
        self.suspected_at = Some(now);
    }

    /// Whether the next probes may open the replica again, because it was only suspected.
    pub fn may_reopen(&self, now: Duration, lease_length: Duration) -> bool {
        let recently = self.suspected_at.is_some_and(|at| now < at + lease_length);
        recently && self.group.draining.is_none()
    }

    /// Updates the calls of a previous owner from the number of calls that the replica reports.
    pub fn update_inherited_calls(&mut self, running: usize) {
        if self.inherited_calls.is_some() {
            let others = running.saturating_sub(self.active_calls.len());
            self.inherited_calls = (others > 0).then_some(others);
        }
    }

    /// Number of calls that may be dispatched now.
    pub fn free_slots(&self) -> usize {
        self.ramp.limit().saturating_sub(self.load())
    }

    /// Number of calls in flight, from this owner and from a previous one.
    pub fn load(&self) -> usize {
        self.active_calls.len() + self.inherited_calls.unwrap_or(0)
    }
}
