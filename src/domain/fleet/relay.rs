//! Relay of one controller between its gateways and VMs and the leader.
//!
//! Every controller runs a relay, the leader too. It answers gateways' reports from the leader's last
//! overview and sums them up. Of the heartbeats it passes on those with new content in full, and the
//! others as renewals. A heartbeat has new content for the leader unless it directly follows one whose
//! content this leader has received from this relay.
//!
//! A relay that has lost the leader answers neither reports nor heartbeats, so that their senders turn
//! to another controller.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Announcement;
use super::Answer;
use super::Controller;
use super::Digest;
use super::Heard;
use super::Overview;
use super::Renewal;
use super::Report;
use super::Table;
use super::Timing;
use super::event::Ticket;

/// Age of the leader's overview up to which reports are answered from it.
const OVERVIEW_VALIDITY: Duration = Duration::from_millis(450);
/// Age of the leader's overview up to which heartbeats are acknowledged; longer than an election
/// takes, and short against the silence after which a VM counts as lost.
const HEARTBEAT_VALIDITY: Duration = Duration::from_millis(1_500);
/// Time for which a gateway's report on targets and demand counts.
const REPORT_VALIDITY: Duration = Duration::from_millis(1_500);
/// Time without a report after which a gateway is forgotten and its share of the limits goes to the
/// others.
const GATEWAY_EXPIRY: Duration = Duration::from_secs(20);
/// Fraction of shared limits that is split equally between gateways whatever their demand, so that
/// a gateway whose callers have just arrived can serve them.
const EQUAL_SHARE_FRACTION: f64 = 0.3;

/// Input to [`Relay::step`].
#[derive(Clone, Debug)]
pub enum Input {
    /// Report of a gateway.
    Report(Ticket, Box<Report>),
    /// Heartbeat of a VM.
    Heartbeat(Ticket, Box<Announcement>),
    /// A VM has shut down, or is shutting down, and tells the leader through this controller.
    Departure(String),
    /// The leader's answer to the last digest, which was sent at this time.
    Overview(Duration, Box<Overview>),
    /// The last digest got no answer.
    DigestLost,
}

/// Gateway and its latest report.
struct Gateway {
    report: Report,
    reported_at: Duration,
}

/// Report that waits for a change before it is answered.
struct Poll {
    ticket: Ticket,
    gateway: String,
    targets: (u64, u64),
    version: u64,
    zone_changes: usize,
    arrived_at: Duration,
    deadline: Duration,
}

/// What of a VM's latest heartbeat the leader lacks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Pending {
    Nothing,
    Renewal,
    Content,
}

/// VM and its latest heartbeat.
struct Vm {
    announcement: Announcement,
    heard_at: Duration,
    pending: Pending,
}

/// The leader's last overview.
struct Held {
    table: Table,
    demand: f64,
    /// When the digest was sent that it answers.
    asked_at: Duration,
}

/// Relay of one controller.
pub struct Relay {
    controller: Controller,
    timing: Timing,
    gateways: BTreeMap<String, Gateway>,
    /// Requests in progress from all gateways with a valid report, by target.
    running: BTreeMap<String, u32>,
    vms: BTreeMap<String, Vm>,
    held: Option<Held>,
    /// Changes of the zones out of service that overviews have shown.
    zone_changes: usize,
    polls: Vec<Poll>,
    /// Heartbeats in the digest that has no answer yet: VM, incarnation and sequence.
    in_flight: Vec<(String, u64, u64)>,
}

impl Relay {
    /// Relay of `controller`.
    pub fn new(controller: Controller, timing: Timing) -> Self {
        Relay {
            controller,
            timing,
            gateways: BTreeMap::new(),
            running: BTreeMap::new(),
            vms: BTreeMap::new(),
            held: None,
            zone_changes: 0,
            polls: Vec::new(),
            in_flight: Vec::new(),
        }
    }

    /// Handles one input and returns the answers to give.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<(Ticket, Answer)> {
        let mut out = Vec::new();
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
            Input::Departure(id) => drop(self.vms.remove(&id)),
            Input::Overview(asked_at, overview) => self.receive_overview(now, asked_at, *overview),
            Input::DigestLost => self.in_flight.clear(),
        }
        self.answer_polls(now, &mut out);
        out
    }

    /// Addresses and zones of the controllers, as of the leader's last overview.
    pub fn controllers(&self) -> &[Controller] {
        self.held.as_ref().map_or(&[], |h| &h.table.controllers)
    }

    /// Digest for the leader of what this relay has heard since the last one.
    pub fn digest(&mut self, now: Duration) -> Digest {
        self.expire(now);
        let mut changed = Vec::new();
        let mut renewed = Vec::new();
        self.in_flight.clear();
        for vm in self.vms.values().filter(|vm| vm.pending != Pending::Nothing) {
            let announcement = &vm.announcement;
            let (id, incarnation, sequence) = (
                announcement.id.clone(),
                announcement.incarnation,
                announcement.sequence,
            );
            self.in_flight.push((id.clone(), incarnation, sequence));
            if vm.pending == Pending::Content {
                changed.push(Heard {
                    announcement: announcement.clone(),
                    age_ms: (now - vm.heard_at).as_millis() as u64,
                });
            } else {
                renewed.push(Renewal {
                    id,
                    incarnation,
                    sequence,
                });
            }
        }
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
        let table = self.held.as_ref().map(|h| &h.table);
        Digest {
            controller: self.controller.clone(),
            targets: table.map_or((0, 0), |t| t.revision),
            version: table.map_or(0, |t| t.version),
            gateways: self.gateways.keys().cloned().collect(),
            running: self.running.clone(),
            served,
            stalled,
            demand,
            changed,
            renewed,
        }
    }

    fn receive_report(&mut self, now: Duration, ticket: Ticket, report: Report) {
        self.polls.push(Poll {
            ticket,
            gateway: report.gateway.clone(),
            targets: report.targets,
            version: report.version,
            zone_changes: self.zone_changes,
            arrived_at: now,
            deadline: now + Duration::from_millis(self.timing.poll_ms),
        });
        for (target, count) in &report.running {
            match self.running.get_mut(target) {
                Some(total) => *total += count,
                None => drop(self.running.insert(target.clone(), *count)),
            }
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

    fn receive_heartbeat(&mut self, now: Duration, announcement: Announcement) {
        let id = announcement.id.clone();
        let previous = self.vms.get(&id);
        let latest = previous.map(|p| (p.announcement.incarnation, p.announcement.sequence));
        if latest.is_some_and(|latest| (announcement.incarnation, announcement.sequence) <= latest) {
            return;
        }
        // A gap may hide a heartbeat with other content that reached the leader through another relay.
        let is_renewal = previous.is_some_and(|p| {
            p.pending != Pending::Content
                && p.announcement.sequence + 1 == announcement.sequence
                && p.announcement.has_content_of(&announcement)
        });
        let pending = if is_renewal {
            Pending::Renewal
        } else {
            Pending::Content
        };
        let vm = Vm {
            announcement,
            heard_at: now,
            pending,
        };
        self.vms.insert(id, vm);
    }

    fn receive_overview(&mut self, now: Duration, asked_at: Duration, overview: Overview) {
        for (id, incarnation, sequence) in std::mem::take(&mut self.in_flight) {
            let Some(vm) = self.vms.get_mut(&id) else {
                continue;
            };
            if (vm.announcement.incarnation, vm.announcement.sequence) == (incarnation, sequence) {
                vm.pending = Pending::Nothing;
            }
        }
        let mut table = overview.table;
        let previous = self.held.take();
        // A leader forgets silent VMs, so after a long time without an answer it may know none.
        let is_same_leader = previous.as_ref().is_some_and(|p| {
            p.table.revision.0 == table.revision.0 && asked_at < p.asked_at + self.timing.vm_silence_limit()
        });
        if !is_same_leader {
            self.resend_recent_heartbeats(now);
        }
        if let Some(previous) = previous.map(|h| h.table) {
            if previous.zones_out != table.zones_out {
                self.zone_changes += 1;
            }
            if table.targets.is_none() {
                table.targets = previous.targets;
            }
            if table.catalog.is_none() && table.version == previous.version {
                table.catalog = previous.catalog;
            }
        }
        self.held = Some(Held {
            table,
            demand: overview.demand,
            asked_at,
        });
    }

    /// Marks heartbeats for a new leader, which knows no VM.
    ///
    /// Older ones are left out: their VM may have told the earlier leader, through another relay, that
    /// it shuts down.
    fn resend_recent_heartbeats(&mut self, now: Duration) {
        let limit = self.timing.stalled_vm_silence_limit();
        self.vms.retain(|_, vm| now < vm.heard_at + limit);
        for vm in self.vms.values_mut() {
            vm.pending = Pending::Content;
        }
    }

    /// Answers reports whose gateway has outdated data or whose deadline has passed, or all of them
    /// with a redirect while the leader is lost.
    fn answer_polls(&mut self, now: Duration, out: &mut Vec<(Ticket, Answer)>) {
        let is_held = self.is_held_for(now, OVERVIEW_VALIDITY);
        for poll in std::mem::take(&mut self.polls) {
            let Some(held) = self.held.as_ref().filter(|_| is_held) else {
                out.push((poll.ticket, Answer::Redirect(None)));
                continue;
            };
            let has_change = poll.targets != held.table.revision
                || poll.version < held.table.version
                || poll.zone_changes != self.zone_changes;
            if has_change || now >= poll.deadline {
                let table = self.table(held, &poll);
                out.push((poll.ticket, Answer::Table(Box::new(table))));
            } else {
                self.polls.push(poll);
            }
        }
    }

    /// Routing table for the gateway of a poll.
    fn table(&self, held: &Held, poll: &Poll) -> Table {
        let own_report = self.gateways.get(&poll.gateway).map(|g| &g.report);
        let mut running = held.table.running.clone();
        for (target, count) in &self.running {
            match running.get_mut(target) {
                Some(total) => *total += count,
                None => drop(running.insert(target.clone(), *count)),
            }
        }
        if let Some(report) = own_report {
            subtract(&mut running, &report.running);
        }
        let table = &held.table;
        let has_new_targets = poll.targets != table.revision;
        Table {
            revision: table.revision,
            targets: table.targets.clone().filter(|_| has_new_targets),
            closed: table.closed.clone(),
            zones_out: table.zones_out.clone(),
            catalog: table.catalog.clone().filter(|_| poll.version < table.version),
            version: table.version,
            running,
            stalled: table.stalled.clone(),
            share: share(own_report, held),
            gateways: table.gateways,
            controllers: table.controllers.clone(),
            age_ms: poll.arrived_at.saturating_sub(held.asked_at).as_millis() as u64,
        }
    }

    fn is_held_for(&self, now: Duration, validity: Duration) -> bool {
        self.held.as_ref().is_some_and(|h| now < h.asked_at + validity)
    }

    /// Drops what is too old to count.
    fn expire(&mut self, now: Duration) {
        for gateway in self.gateways.values_mut().filter(|g| !is_fresh(g, now)) {
            subtract(&mut self.running, &gateway.report.running);
            gateway.report.running.clear();
        }
        self.gateways.retain(|_, g| now < g.reported_at + GATEWAY_EXPIRY);
        let retention = self.timing.vm_retention();
        self.vms.retain(|_, vm| now < vm.heard_at + retention);
    }
}

fn is_fresh(gateway: &Gateway, now: Duration) -> bool {
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

/// Fraction of shared limits that a gateway gets: [`EQUAL_SHARE_FRACTION`] is split equally, the
/// rest by demand. Without any demand all of it is split equally.
///
/// The fractions of all gateways add up to 1 once the leader's overview includes their reports.
fn share(own_report: Option<&Report>, held: &Held) -> f64 {
    let equal = 1.0 / held.table.gateways.max(1) as f64;
    if held.demand <= 0.0 {
        return equal;
    }
    let own: f64 = own_report.map_or(0.0, |r| r.demand.values().sum());
    let by_demand = (own / held.demand).min(1.0);
    EQUAL_SHARE_FRACTION * equal + (1.0 - EQUAL_SHARE_FRACTION) * by_demand
}
