//! Gateways and the relays that they report to, in simulated time and without a network.
//!
//! A controller's time for one job after another is simulated, over the decision code of gateways and relays.
//! With 300 gateways, one late overview made all of them connect to other controllers again and again: the
//! handshakes took the time in which the controllers would have received the next overview.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use heatherramp::domain::fleet::Admission;
use heatherramp::domain::fleet::Answer;
use heatherramp::domain::fleet::Arrival;
use heatherramp::domain::fleet::Attachment;
use heatherramp::domain::fleet::Choice;
use heatherramp::domain::fleet::Confirmation;
use heatherramp::domain::fleet::Controller;
use heatherramp::domain::fleet::Input;
use heatherramp::domain::fleet::Intake;
use heatherramp::domain::fleet::IntakeLimits;
use heatherramp::domain::fleet::Outcome;
use heatherramp::domain::fleet::Overview;
use heatherramp::domain::fleet::Relay;
use heatherramp::domain::fleet::Report;
use heatherramp::domain::fleet::Timing;
use heatherramp::domain::fleet::is_path_dead;

const STEP_MS: u64 = 5;
const RELAYS: usize = 5;
/// Processor time of jobs on 0.3 of a core, in microseconds. A handshake takes as measured in a deployment: 150
/// each second were 70 % of a controller.
const HANDSHAKE_US: i64 = 4_700;
const REFUSAL_US: i64 = 100;
const REPORT_US: i64 = 100;
/// Heartbeat over a new connection. This cost is assumed; with less, the storm before the change ended by itself.
const HEARTBEAT_US: i64 = 1_700;
const PERMIT_US: i64 = 100;
const OVERVIEW_US: i64 = 1_000;
/// Time limits of the adapters.
const CONNECT_TIMEOUT_MS: u64 = 300;
const SILENCE_LIMIT_MS: u64 = 600;
const REPORT_TIMEOUT_MS: u64 = 1_800;
const DIGEST_TIMEOUT_MS: u64 = 800;
const TICK_MS: u64 = 20;
const DIGEST_RETRY_MS: u64 = 20;
/// Time for which the leader holds a digest.
const DIGEST_INTERVAL_MS: u64 = 90;
/// VMs that send heartbeats to one gateway, or to a controller while the gateway refuses them.
const VMS_PER_GATEWAY: u64 = 10;
const HEARTBEAT_MS: u64 = 1_200;
const CONTACT_VALIDITY_MS: u64 = 1_000;
/// Interval in which requests at one gateway ask for a permit, and their longest wait for it.
const PERMIT_MS: u64 = 200;
const MAX_PERMIT_WAIT_MS: u64 = 200;
const LEASE_MS: u64 = 4_500;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(relay: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, relay as u8], 7_400))
}

fn relay_of(address: SocketAddr) -> usize {
    (0..RELAYS).find(|r| self::address(*r) == address).unwrap()
}

fn controllers() -> Vec<Controller> {
    let controller = |r: usize| Controller {
        address: address(r).to_string(),
        zone: format!("z{}", r % 3),
    };
    (0..RELAYS).map(controller).collect()
}

enum Job {
    /// Handshake with a gateway, for the call with this number; whether the gateway was asked to come again.
    Handshake(usize, u64, bool),
    Report(usize, u64, Box<Report>),
    /// Request of a gateway for a permit, with the time at which it was sent.
    Permit(usize, u64),
    Overview(u64, Box<Overview>),
}

struct Host {
    relay: Relay,
    is_up: bool,
    reaches_leader: bool,
    jobs: VecDeque<Job>,
    /// Heartbeats of VMs, which wait for another thread.
    heartbeats: usize,
    intake: Intake,
    /// Processor time left, in microseconds; negative while a job takes longer than one step.
    credit: i64,
    web_credit: i64,
    digest_sent_at: Option<u64>,
    next_digest_at: u64,
}

struct Call {
    number: u64,
    choice: Choice,
    started_at: u64,
    sent_at: Option<u64>,
    /// Whether the relay has read the report, which it acknowledges.
    is_read: bool,
}

struct Gateway {
    attachment: Attachment,
    connections: BTreeSet<usize>,
    call: Option<Call>,
    wait_until: u64,
    confirmed_at: u64,
    revision: (u64, u64),
}

struct Site {
    now: u64,
    hosts: Vec<Host>,
    gateways: Vec<Gateway>,
    calls: u64,
    /// Times at which the leader answers nothing.
    late: std::ops::Range<u64>,
    /// Handshakes that gateways have begun, by second.
    handshakes: BTreeMap<u64, usize>,
    /// Longest time since the leader confirmed the state of a gateway.
    oldest: u64,
}

impl Site {
    fn new(gateways: usize, late: std::ops::Range<u64>) -> Self {
        let host = |controller| Host {
            relay: Relay::new(controller, Timing::default()),
            is_up: true,
            reaches_leader: true,
            jobs: VecDeque::new(),
            heartbeats: 0,
            intake: Intake::new(IntakeLimits::default(), Duration::ZERO),
            credit: 0,
            web_credit: 0,
            digest_sent_at: None,
            next_digest_at: 0,
        };
        let seeds: Vec<SocketAddr> = (0..RELAYS).map(address).collect();
        let gateway = |g: usize| Gateway {
            attachment: Attachment::new(&seeds, &format!("z{}", g % 3), g as u64),
            connections: BTreeSet::new(),
            call: None,
            // All processes do not start within the same second.
            wait_until: g as u64 * 5,
            confirmed_at: 0,
            revision: (0, 0),
        };
        Site {
            now: 0,
            hosts: controllers().into_iter().map(host).collect(),
            gateways: (0..gateways).map(gateway).collect(),
            calls: 0,
            late,
            handshakes: BTreeMap::new(),
            oldest: 0,
        }
    }

    fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.now += STEP_MS;
            (0..RELAYS).for_each(|r| self.run_host(r));
            (0..self.gateways.len()).for_each(|g| self.run_gateway(g));
        }
    }

    /// Handshakes per second in a period.
    fn rate(&self, seconds: std::ops::Range<u64>) -> f64 {
        let count: usize = self.handshakes.range(seconds.clone()).map(|(_, n)| n).sum();
        count as f64 / (seconds.end - seconds.start) as f64
    }

    fn run_host(&mut self, r: usize) {
        let now = self.now;
        if !self.hosts[r].is_up {
            self.hosts[r].jobs.clear();
            return;
        }
        self.exchange_digest(r);
        if self.now.is_multiple_of(TICK_MS) {
            let answers = self.hosts[r].relay.step(ms(now), Input::Tick);
            self.deliver(answers);
        }
        let host = &mut self.hosts[r];
        // Two threads share the processor in equal parts, unless one of them needs less.
        let step_us = 1_000 * STEP_MS as i64;
        let share = if host.heartbeats > 0 { step_us / 2 } else { step_us };
        host.credit += share;
        while self.hosts[r].credit > 0 {
            let Some(job) = self.hosts[r].jobs.pop_front() else {
                break;
            };
            let host = &mut self.hosts[r];
            match job {
                Job::Handshake(g, number, is_validated) => {
                    let call = self.gateways[g].call.as_ref();
                    let is_awaited = call.is_some_and(|c| c.number == number);
                    let arrival = Arrival {
                        is_controller: false,
                        is_validated,
                        connections: 0,
                        memory_mb: 0,
                    };
                    match host.intake.admit(ms(now), arrival) {
                        Admission::Accept => {
                            host.credit -= HANDSHAKE_US;
                            if is_awaited {
                                self.gateways[g].connections.insert(r);
                                self.send_report(g);
                            }
                        }
                        Admission::Validate => {
                            host.credit -= REFUSAL_US;
                            if is_awaited {
                                host.jobs.push_back(Job::Handshake(g, number, true));
                            }
                        }
                        Admission::Refuse(_) => {
                            host.credit -= REFUSAL_US;
                            if is_awaited {
                                self.end_call(g, Outcome::Failed);
                            }
                        }
                    }
                }
                Job::Report(g, number, report) => {
                    host.credit -= REPORT_US;
                    if let Some(call) = &mut self.gateways[g].call
                        && call.number == number
                    {
                        call.is_read = true;
                    }
                    let answers = host.relay.step(ms(now), Input::Report(number, report));
                    self.deliver(answers);
                }
                Job::Permit(g, sent_at) => {
                    host.credit -= PERMIT_US;
                    let waited = now - sent_at;
                    // The wait of a request ends at any time. A controller that is busy acknowledges nothing.
                    let limit = (sent_at / STEP_MS * 37 + g as u64 * 11) % MAX_PERMIT_WAIT_MS;
                    if waited > limit && is_path_dead(ms(limit), false) {
                        self.gateways[g].connections.remove(&r);
                    }
                }
                Job::Overview(asked_at, overview) => {
                    host.credit -= OVERVIEW_US;
                    host.digest_sent_at = None;
                    host.next_digest_at = now;
                    let answers = host.relay.step(ms(now), Input::Overview(ms(asked_at), overview));
                    self.deliver(answers);
                }
            }
        }
        let host = &mut self.hosts[r];
        host.web_credit += step_us - share + host.credit.max(0);
        host.credit = host.credit.min(0);
        while host.web_credit > 0 && host.heartbeats > 0 {
            host.web_credit -= HEARTBEAT_US;
            host.heartbeats -= 1;
        }
        host.web_credit = host.web_credit.min(0);
    }

    /// Sends a digest to the leader, whose answer takes a place among the jobs.
    fn exchange_digest(&mut self, r: usize) {
        let (now, count) = (self.now, self.gateways.len());
        let host = &mut self.hosts[r];
        match host.digest_sent_at {
            None if now >= host.next_digest_at => {
                host.relay.digest(ms(now));
                host.digest_sent_at = Some(now);
            }
            Some(at) if now >= at + DIGEST_TIMEOUT_MS => {
                host.jobs.retain(|job| !matches!(job, Job::Overview(..)));
                host.digest_sent_at = None;
                host.next_digest_at = now + DIGEST_RETRY_MS;
                let answers = host.relay.step(ms(now), Input::DigestLost);
                self.deliver(answers);
            }
            Some(at)
                if now >= at + DIGEST_INTERVAL_MS && host.reaches_leader && !self.late.contains(&now) =>
            {
                let is_answered = host.jobs.iter().any(|job| matches!(job, Job::Overview(..)));
                if !is_answered {
                    let overview = Overview {
                        revision: (1, 1),
                        gateways: count,
                        controllers: controllers(),
                        ..Overview::default()
                    };
                    host.jobs.push_back(Job::Overview(at, Box::new(overview)));
                }
            }
            _ => {}
        }
    }

    fn run_gateway(&mut self, g: usize) {
        let now = self.now;
        let age = now - self.gateways[g].confirmed_at;
        if now > 5_000 {
            self.oldest = self.oldest.max(age);
        }
        if age > CONTACT_VALIDITY_MS && (now + g as u64 * STEP_MS).is_multiple_of(HEARTBEAT_MS) {
            for vm in 0..VMS_PER_GATEWAY {
                let r = (g + vm as usize) % RELAYS;
                self.hosts[r].heartbeats += 1;
            }
        }
        if (now + g as u64 * STEP_MS).is_multiple_of(PERMIT_MS)
            && let Some(relay) = self.gateways[g].attachment.current().map(relay_of)
            && self.gateways[g].connections.contains(&relay)
        {
            self.hosts[relay].jobs.push_back(Job::Permit(g, now));
        }
        let Some(call) = &self.gateways[g].call else {
            if now >= self.gateways[g].wait_until {
                self.start_call(g);
            }
            return;
        };
        let has_failed = match call.sent_at {
            None => now >= call.started_at + CONNECT_TIMEOUT_MS,
            Some(at) => now >= at + REPORT_TIMEOUT_MS || (!call.is_read && now >= at + SILENCE_LIMIT_MS),
        };
        if has_failed {
            if is_path_dead(ms(SILENCE_LIMIT_MS), call.is_read) {
                let r = relay_of(call.choice.address);
                self.gateways[g].connections.remove(&r);
            }
            self.end_call(g, Outcome::Failed);
        }
    }

    fn start_call(&mut self, g: usize) {
        let gateway = &mut self.gateways[g];
        let choice = gateway.attachment.choose(ms(self.now)).unwrap();
        self.calls += 1;
        gateway.call = Some(Call {
            number: self.calls,
            choice,
            started_at: self.now,
            sent_at: None,
            is_read: false,
        });
        let r = relay_of(choice.address);
        if gateway.connections.contains(&r) {
            self.send_report(g);
        } else {
            *self.handshakes.entry(self.now / 1_000).or_default() += 1;
            self.hosts[r].jobs.push_back(Job::Handshake(g, self.calls, false));
        }
    }

    fn send_report(&mut self, g: usize) {
        let gateway = &mut self.gateways[g];
        let call = gateway.call.as_mut().unwrap();
        call.sent_at = Some(self.now);
        let report = Report {
            gateway: format!("g{g}"),
            targets: gateway.revision,
            ..Report::default()
        };
        let job = Job::Report(g, call.number, Box::new(report));
        self.hosts[relay_of(call.choice.address)].jobs.push_back(job);
    }

    fn deliver(&mut self, answers: Vec<(u64, Answer)>) {
        for (number, answer) in answers {
            let is_caller = |gateway: &Gateway| gateway.call.as_ref().is_some_and(|c| c.number == number);
            let Some(g) = self.gateways.iter().position(is_caller) else {
                continue;
            };
            let outcome = match answer {
                Answer::Overview(overview) => {
                    let gateway = &mut self.gateways[g];
                    let sent_at = gateway.call.as_ref().and_then(|c| c.sent_at).unwrap();
                    let confirmed_at = sent_at.saturating_sub(overview.age_ms);
                    gateway.confirmed_at = gateway.confirmed_at.max(confirmed_at);
                    gateway.revision = overview.revision;
                    let attachment = &mut gateway.attachment;
                    attachment.set_controllers(&overview.controllers, overview.gateways);
                    Outcome::Answered {
                        confirmation: Confirmation::new(ms(sent_at), ms(overview.age_ms)),
                        is_applied: true,
                    }
                }
                _ => Outcome::Empty,
            };
            self.end_call(g, outcome);
        }
    }

    fn end_call(&mut self, g: usize, outcome: Outcome) {
        let gateway = &mut self.gateways[g];
        let call = gateway.call.take().unwrap();
        let verdict = gateway.attachment.record(ms(self.now), call.choice, outcome);
        gateway.wait_until = self.now + verdict.delay.as_millis() as u64;
        if let Some(left) = verdict.left {
            gateway.connections.remove(&relay_of(left));
        }
    }
}

/// The loop: the connections went on after the leader had answered again.
#[test]
fn a_leader_that_is_late_for_two_seconds_causes_no_storm_of_handshakes() {
    let mut site = Site::new(300, 10_000..12_000);
    site.run_until(40_000);
    let rates = [
        site.rate(6..10),
        site.rate(10..13),
        site.rate(13..20),
        site.rate(20..40),
    ];
    println!(
        "handshakes per second before, during, after and later: {rates:.1?}; oldest {} ms",
        site.oldest
    );
    assert!(rates[0] < 1.0, "in normal operation");
    assert!(rates[1] < 60.0, "while the leader is late");
    assert!(rates[2] < 30.0, "after it");
    assert!(rates[3] < 1.0, "later");
    assert!(site.oldest < LEASE_MS, "a gateway lost its lease");
}

/// Gateways found the loss of their controller together, and moved together.
#[test]
fn gateways_of_a_controller_that_has_ended_move_one_after_the_other_within_their_lease() {
    let mut site = Site::new(300, 0..0);
    site.run_until(10_000);
    site.hosts[2].is_up = false;
    site.run_until(20_000);
    println!("handshakes: {:?}; oldest {} ms", site.handshakes, site.oldest);
    assert!(site.oldest < LEASE_MS, "a gateway lost its lease");
    assert!(
        site.gateways
            .iter()
            .all(|g| g.attachment.current() != Some(address(2)))
    );
    // A hundred gateways have one new controller each, and some try their zone again.
    assert!(site.rate(10..14) < 60.0, "while they move");
    assert!(site.rate(14..20) < 20.0, "afterwards");
    site.hosts[2].is_up = true;
    site.run_until(80_000);
    let returned = site
        .gateways
        .iter()
        .filter(|g| g.attachment.current() == Some(address(2)));
    assert_eq!(
        returned.count(),
        100,
        "all gateways of the zone return to its controller"
    );
    assert!(site.rate(20..80) < 20.0, "they return one after the other");
}

/// A controller that answers, from an overview that is older and older, must not hold its gateways for ever.
#[test]
fn gateways_leave_a_controller_that_is_cut_off_from_the_leader_within_their_lease() {
    let mut site = Site::new(300, 0..0);
    site.run_until(10_000);
    site.hosts[2].reaches_leader = false;
    site.hosts[0].reaches_leader = false;
    site.run_until(30_000);
    println!("handshakes: {:?}; oldest {} ms", site.handshakes, site.oldest);
    assert!(site.oldest < LEASE_MS, "a gateway lost its lease");
    assert!(site.rate(10..14) < 75.0, "while they move");
    assert!(site.rate(14..30) < 20.0, "afterwards");
}

/// Without an overview anywhere, each new gateway went from one controller to the next without a pause.
#[test]
fn gateways_that_start_before_there_is_a_leader_wait_where_they_are() {
    let mut site = Site::new(300, 0..4_000);
    site.run_until(15_000);
    println!("handshakes: {:?}", site.handshakes);
    let most = site.handshakes.values().max().unwrap();
    assert!(*most < 400, "{most} handshakes in one second");
    assert!(site.rate(7..15) < 30.0, "later");
    assert!(
        site.gateways.iter().all(|g| g.confirmed_at > 14_000),
        "not confirmed"
    );
}
