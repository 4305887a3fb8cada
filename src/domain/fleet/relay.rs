//! Relay of one controller between its gateways and VMs and the leader.
//!
//! Every controller runs a relay, the leader too. It answers gateways' reports from the leader's last
//! overview and sums them up. Of the heartbeats it passes on those with new content in full, and the
//! others as renewals. A heartbeat has new content for the leader unless it directly follows one whose
//! content this leader has received from this relay.
//!
//! A relay that has lost the leader acknowledges no heartbeats, so that VMs turn to another controller. It goes
//! on to answer reports from the last overview, and states how old that is.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Announcement;
use super::Answer;
use super::Controller;
use super::Digest;
use super::Helper;
use super::Helpers;
use super::Overview;
use super::Report;
use super::TargetLog;
use super::Timing;
use super::event::Ticket;
use super::heard::Vm;
use super::reports::Poll;
use crate::domain::limit::Issuer;
use crate::domain::pace::Ask;
use crate::domain::pace::Check;
use crate::domain::pace::Pacer;
use crate::domain::quarantine::Evidence;

/// Age of the leader's overview up to which permits are issued from it, and gateways rely on its load.
pub(super) const OVERVIEW_VALIDITY: Duration = Duration::from_millis(900);
/// Age of the leader's overview up to which heartbeats are acknowledged: less than their interval, so
/// that at most one heartbeat of a VM is acknowledged in vain.
const HEARTBEAT_VALIDITY: Duration = Duration::from_millis(1_000);
/// Time for which a gateway's report on targets and demand counts.
const REPORT_VALIDITY: Duration = Duration::from_millis(1_500);
/// Time for which the requests in progress of a gateway's report count. A gateway that turns to another
/// controller is counted by both for so long, and gateways would refuse callers for want of room.
const RUNNING_VALIDITY: Duration = Duration::from_millis(500);
/// Time without a report after which a gateway is forgotten and its share of the limits goes to the
/// others.
const GATEWAY_EXPIRY: Duration = Duration::from_secs(20);
/// Input to [`Relay::step`].
#[derive(Clone, Debug)]
pub enum Input {
    /// Report of a gateway.
    Report(Ticket, Box<Report>),
    /// A gateway asks for a permit of one of these targets.
    Permit(Ticket, Vec<String>),
    /// A gateway asks for a permit for a target that may be cold.
    Ask(Ticket, Box<Ask>),
    /// Answer to a health check of a target: the remaining time of its cold start, none without a usable answer.
    Checked(Check, Option<Duration>),
    /// The gateway with this identity now reports to another controller.
    Withdrawal(String),
    /// Heartbeat of a VM.
    Heartbeat(Ticket, Box<Announcement>),
    /// A VM has shut down, or is shutting down, and tells the leader through this controller; with its incarnation,
    /// if it has stated that.
    Departure(String, Option<u64>),
    /// The leader's answer to the last digest, which was sent at this time.
    Overview(Duration, Box<Overview>),
    /// The last digest got no answer.
    DigestLost,
    /// Time has passed, and reports may have waited long enough.
    Tick,
}

/// Gateway and its latest report.
pub(super) struct Gateway {
    pub(super) report: Report,
    pub(super) reported_at: Duration,
}

/// The leader's last overview.
pub(super) struct Held {
    pub(super) overview: Overview,
    /// Requests in progress from gateways that report to other controllers, by target.
    pub(super) running: BTreeMap<String, u32>,
    /// When the digest was sent that it answers.
    pub(super) asked_at: Duration,
}

/// Relay of one controller.
pub struct Relay {
    controller: Controller,
    pub(super) timing: Timing,
    pub(super) gateways: BTreeMap<String, Gateway>,
    /// Requests in progress from all gateways with a valid report, by target.
    pub(super) running: BTreeMap<String, u32>,
    /// VMs by identifier and incarnation, since another writer's entry must not hide those of the VM itself;
    /// the leader decides which one holds.
    pub(super) vms: BTreeMap<(String, u64), Vm>,
    pub(super) held: Option<Held>,
    /// Targets as of the leader's last overview.
    pub(super) targets: TargetLog,
    /// Changes of the zones out of service and of the quarantine that overviews have shown.
    pub(super) urgent_changes: usize,
    pub(super) polls: Vec<Poll>,
    /// Permits for targets with a rate limit.
    pub(super) issuer: Issuer,
    /// Permits for targets that may be cold.
    pub(super) pacer: Pacer,
    /// Helpers of all controllers, as of the leader's last list.
    pub(super) helpers: Helpers,
    /// Helpers that the leader has received from this relay; none if it may have lost them.
    received_helpers: Option<Vec<Helper>>,
    /// Helpers in the digest that has no answer yet.
    sent_helpers: Option<Vec<Helper>>,
    /// Heartbeats in the digest that has no answer yet: VM, incarnation and sequence.
    pub(super) in_flight: Vec<(String, u64, u64)>,
}

impl Relay {
    /// Relay of `controller`.
    pub fn new(controller: Controller, timing: Timing) -> Self {
        Relay {
            issuer: Issuer::new(hash(&controller.address)),
            controller,
            timing,
            gateways: BTreeMap::new(),
            running: BTreeMap::new(),
            vms: BTreeMap::new(),
            held: None,
            targets: TargetLog::default(),
            urgent_changes: 0,
            polls: Vec::new(),
            pacer: Pacer::default(),
            helpers: Helpers::default(),
            received_helpers: None,
            sent_helpers: None,
            in_flight: Vec::new(),
        }
    }

    /// Handles one input and returns the answers to give.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<(Ticket, Answer)> {
        let mut out = Vec::new();
        let is_batch = matches!(input, Input::Overview(..) | Input::DigestLost | Input::Tick);
        match input {
            Input::Report(ticket, report) => self.receive_report(now, ticket, *report),
            Input::Heartbeat(ticket, announcement) => {
                if self.is_held_for(now, HEARTBEAT_VALIDITY) {
                    self.receive_heartbeat(now, *announcement);
                    out.push((ticket, Answer::Done));
                } else {
                    out.push((ticket, Answer::Redirect(None)));
                }
            }
            Input::Permit(ticket, targets) => {
                let granted = self.issue_one(now, targets);
                out.push((ticket, Answer::Permit(granted)));
            }
            Input::Ask(ticket, ask) => out.extend(self.receive_ask(now, ticket, *ask)),
            Input::Checked(check, cold) => self.pacer.record_check(now, &check, cold),
            Input::Withdrawal(gateway) => {
                if let Some(gateway) = self.gateways.remove(&gateway) {
                    subtract(&mut self.running, &gateway.report.running);
                }
            }
            Input::Departure(id, incarnation) => {
                // A late call of an earlier start must not end a later one.
                let has_left = |known: u64| incarnation.is_none_or(|left| known <= left);
                self.vms
                    .retain(|(known, start), _| *known != id || !has_left(*start));
            }
            Input::Overview(asked_at, overview) => self.receive_overview(now, asked_at, *overview),
            Input::DigestLost => {
                self.in_flight.clear();
                // The leader may have received them all the same, or be another one.
                self.sent_helpers = None;
                self.received_helpers = None;
            }
            Input::Tick => {}
        }
        self.answer_polls(now, is_batch, &mut out);
        self.answer_asks(now, &mut out);
        out
    }

    /// Addresses and zones of the controllers, as of the leader's last overview.
    pub fn controllers(&self) -> &[Controller] {
        self.held.as_ref().map_or(&[], |h| &h.overview.controllers)
    }

    /// Address at which a gateway takes heartbeats of the VM `id` over, if there is one.
    ///
    /// Rendezvous hashing spreads the VMs, and moves few of them when a gateway comes or goes.
    pub fn heartbeat_address(&self, now: Duration, id: &str) -> Option<&str> {
        let fresh = self.gateways.values().filter(|g| is_fresh(g, now));
        let addresses = fresh.filter_map(|g| g.report.heartbeat_address.as_deref());
        let weight = |address: &&str| xxhash_rust::xxh3::xxh3_64_with_seed(address.as_bytes(), hash(id));
        addresses.max_by_key(weight)
    }

    /// Digest for the leader of what this relay has heard since the last one.
    pub fn digest(&mut self, now: Duration) -> Digest {
        self.expire(now);
        let (changed, renewed) = self.take_pending(now);
        let fresh = || self.gateways.values().filter(move |g| is_fresh(g, now));
        let mut served: BTreeMap<String, bool> = BTreeMap::new();
        let mut stalled: Vec<String> = Vec::new();
        let mut demand: BTreeMap<String, f64> = BTreeMap::new();
        for report in fresh().map(|g| &g.report) {
            for target in &report.served {
                let is_sound = !report.stalled.contains(target);
                match served.get_mut(target) {
                    Some(known) => *known |= is_sound,
                    None => drop(served.insert(target.clone(), is_sound)),
                }
            }
            stalled.extend(report.stalled.iter().cloned());
            for (key, work) in &report.demand {
                *demand.entry(key.clone()).or_default() += work;
            }
        }
        stalled.sort_unstable();
        stalled.dedup();
        let own_helpers = self.own_helpers(now);
        let own_helpers = (self.received_helpers.as_ref() != Some(&own_helpers)).then_some(own_helpers);
        self.sent_helpers.clone_from(&own_helpers);
        let fresh = || self.gateways.values().filter(move |g| is_fresh(g, now));
        let evidence = fresh().map(|g| (&g.report.evidence, now.saturating_sub(g.reported_at)));
        Digest {
            controller: self.controller.clone(),
            targets: self.targets.revision(),
            version: self.held.as_ref().and_then(|h| h.overview.version),
            gateways: self.gateways.keys().cloned().collect(),
            running: self.running.clone(),
            served,
            stalled,
            refused: fresh().flat_map(|g| g.report.refused.clone()).collect(),
            demand,
            changed,
            renewed,
            limits: self.unlisted_limits(now),
            evidence: Evidence::merged(evidence),
            own_helpers,
            helpers: self.helpers.revision,
        }
    }

    fn receive_report(&mut self, now: Duration, ticket: Ticket, mut report: Report) {
        let renewed = std::mem::take(&mut report.renewed).into_iter();
        let unknown = renewed.filter(|renewal| !self.receive_renewal(now, renewal));
        let unknown = unknown.map(|renewal| renewal.id).collect();
        self.polls.push(Poll {
            ticket,
            targets: report.targets,
            version: report.version,
            urgent_changes: self.urgent_changes,
            arrived_at: now,
            deadline: now + self.report_interval(now),
            gateway: report.gateway.clone(),
            unknown,
        });
        for (target, count) in &report.running {
            match self.running.get_mut(target) {
                Some(total) => *total += count,
                None => drop(self.running.insert(target.clone(), *count)),
            }
        }
        for (target, ask) in &report.asks {
            self.issuer.take_back(target, ask.returned);
        }
        let identity = report.gateway.clone();
        let gateway = Gateway {
            report,
            reported_at: now,
        };
        if let Some(previous) = self.gateways.insert(identity, gateway) {
            subtract(&mut self.running, &previous.report.running);
        }
    }

    fn receive_overview(&mut self, now: Duration, asked_at: Duration, mut overview: Overview) {
        self.settle_pending();
        let previous = self.held.take();
        // A leader forgets silent VMs, so after a long time without an answer it may know none.
        let is_same_leader = previous.as_ref().is_some_and(|p| {
            p.overview.revision.0 == overview.revision.0
                && asked_at < p.asked_at + self.timing.vm_silence_limit()
        });
        match self.sent_helpers.take() {
            Some(sent) => self.received_helpers = Some(sent),
            None if !is_same_leader => self.received_helpers = None,
            None => {}
        }
        if let Some(helpers) = overview.helpers.take() {
            self.helpers = helpers;
        }
        if !is_same_leader {
            self.resend_recent_heartbeats(now);
        }
        self.resend_heartbeats_of(&std::mem::take(&mut overview.unknown));
        if let Some(previous) = previous.map(|h| h.overview) {
            if previous.zones_out != overview.zones_out || previous.quarantined != overview.quarantined {
                self.urgent_changes += 1;
            }
            if overview.catalog.is_none() && overview.version == previous.version {
                overview.catalog = previous.catalog;
            }
        }
        if let Some(update) = overview.update.take() {
            self.targets.apply(overview.revision, update);
        }
        self.held = Some(Held {
            running: self.targets.by_target(&overview.running),
            overview,
            asked_at,
        });
    }

    pub(super) fn is_held_for(&self, now: Duration, validity: Duration) -> bool {
        self.held.as_ref().is_some_and(|h| now < h.asked_at + validity)
    }

    /// Drops what is too old to count.
    fn expire(&mut self, now: Duration) {
        let is_outdated = |g: &&mut Gateway| now >= g.reported_at + RUNNING_VALIDITY;
        for gateway in self.gateways.values_mut().filter(is_outdated) {
            subtract(&mut self.running, &gateway.report.running);
            gateway.report.running.clear();
        }
        self.gateways.retain(|_, g| now < g.reported_at + GATEWAY_EXPIRY);
        self.issuer.expire(now);
        self.pacer.expire(now);
        let retention = self.timing.vm_retention();
        self.vms.retain(|_, vm| now < vm.heard_at + retention);
    }
}

pub(super) fn is_fresh(gateway: &Gateway, now: Duration) -> bool {
    now < gateway.reported_at + REPORT_VALIDITY
}

/// Subtracts counts that were added before, and removes those that become 0.
fn subtract(total: &mut BTreeMap<String, u32>, counts: &BTreeMap<String, u32>) {
    for (key, count) in counts {
        let Some(sum) = total.get_mut(key) else {
            continue;
        };
        *sum = sum.saturating_sub(*count);
        if *sum == 0 {
            total.remove(key);
        }
    }
}

fn hash(id: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes())
}
