//! Fleet controllers with relays and gateways, without a network: messages arrive at once.
#![allow(dead_code)]

use std::collections::VecDeque;
use std::time::Duration;

use heatherramp::domain::consensus;
use heatherramp::domain::consensus::HardState;
use heatherramp::domain::consensus::Message;
use heatherramp::domain::consensus::Recovery;
use heatherramp::domain::consensus::Snapshot;
use heatherramp::domain::fleet::Action;
use heatherramp::domain::fleet::Announcement;
use heatherramp::domain::fleet::Answer;
use heatherramp::domain::fleet::Call;
use heatherramp::domain::fleet::Controller;
use heatherramp::domain::fleet::Core;
use heatherramp::domain::fleet::Event;
use heatherramp::domain::fleet::Input;
use heatherramp::domain::fleet::Relay;
use heatherramp::domain::fleet::Report;
use heatherramp::domain::fleet::Telemetry;
use heatherramp::domain::fleet::Timing;
use heatherramp::domain::quarantine::Observations;

pub const STEP_MS: u64 = 20;
pub const NAMES: [&str; 3] = ["10.0.0.1:7400", "10.0.0.2:7400", "10.0.0.3:7400"];

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn strings(parts: &[&str]) -> Vec<String> {
    parts.iter().map(|p| (*p).to_owned()).collect()
}

/// Gateway, and what the leader last named to it.
#[derive(Default)]
pub struct Gateway {
    pub observations: Observations,
    pub suspects: Vec<String>,
    pub quarantined: Vec<String>,
}

/// Controllers, each with a relay and one gateway that reports to it.
pub struct Fleet {
    pub now: u64,
    pub cores: Vec<Core>,
    relays: Vec<Relay>,
    pub gateways: Vec<Gateway>,
    /// Controllers that run and reach each other.
    pub is_up: Vec<bool>,
    /// Sender, receiver and content.
    messages: VecDeque<(String, String, Message)>,
    /// Parts that leaders reported as quarantined, with the targets, and as released, with none.
    pub telemetry: Vec<(String, Vec<String>)>,
    /// Number of records with a command about the quarantine that leaders have written.
    pub proposals: usize,
    pub snapshots: Vec<Snapshot>,
    /// Tickets of calls that were answered with `Done`.
    pub done: Vec<u64>,
}

pub fn core(name: &str, voters: &[&str], snapshot: Option<Snapshot>, now: u64) -> Core {
    let initial = Snapshot {
        index: 0,
        term: 0,
        voters: strings(voters),
        learners: Vec::new(),
        state: String::new(),
    };
    let recovery = Recovery {
        hard_state: HardState::default(),
        snapshot: snapshot.unwrap_or(initial),
        records: Vec::new(),
    };
    let seed = name.bytes().map(u64::from).sum();
    let timing = consensus::Timing::default();
    Core::new(name, Timing::default(), timing, recovery, ms(now), seed)
}

pub fn relay(name: &str) -> Relay {
    let controller = Controller {
        address: name.to_owned(),
        zone: "z".to_owned(),
    };
    Relay::new(controller, Timing::default())
}

impl Fleet {
    /// Fleet of `count` controllers, with a leader.
    pub fn start(count: usize) -> Self {
        let names = &NAMES[..count];
        let mut fleet = Fleet {
            now: 0,
            cores: names.iter().map(|name| core(name, names, None, 0)).collect(),
            relays: names.iter().map(|name| relay(name)).collect(),
            gateways: (0..count).map(|_| Gateway::default()).collect(),
            is_up: vec![true; count],
            messages: VecDeque::new(),
            telemetry: Vec::new(),
            proposals: 0,
            snapshots: Vec::new(),
            done: Vec::new(),
        };
        fleet.advance_until(|fleet| fleet.leader().is_some());
        fleet
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |i: &usize| self.is_up[*i] && self.cores[*i].leads(ms(self.now));
        (0..self.cores.len()).find(leads)
    }

    pub fn step(&mut self, index: usize, event: Event) {
        let now = ms(self.now);
        let from = self.cores[index].node().id().to_owned();
        for action in self.cores[index].step(now, event) {
            match action {
                Action::Consensus(consensus::Action::Send { to, message }) => {
                    self.messages.push_back((from.clone(), to, message));
                }
                Action::Consensus(consensus::Action::SaveRecords(records))
                    if Some(index) == self.leader() =>
                {
                    let is_command = |text: &str| text.contains("Quarantine") || text.contains("Release");
                    let texts = records.iter().filter_map(|r| match &r.payload {
                        consensus::Payload::Command(text) => Some(text),
                        _ => None,
                    });
                    self.proposals += texts.filter(|text| is_command(text)).count();
                }
                Action::Consensus(consensus::Action::SaveSnapshot(snapshot)) => self.snapshots.push(snapshot),
                Action::Answer(ticket, Answer::Overview(overview)) => {
                    let relay = ticket as usize;
                    let asked_at = now.saturating_sub(ms(2 * STEP_MS));
                    let answers = self.relays[relay].step(now, Input::Overview(asked_at, overview));
                    self.answer_gateway(relay, answers);
                }
                Action::Answer(ticket, Answer::Done) => self.done.push(ticket),
                Action::Telemetry(Telemetry::Quarantined { part, targets }) => {
                    self.telemetry.push((part, targets));
                }
                Action::Telemetry(Telemetry::Released(part)) => self.telemetry.push((part, Vec::new())),
                _ => {}
            }
        }
    }

    /// One interval: messages arrive, gateways report and relays send digests.
    pub fn advance(&mut self) {
        self.now += STEP_MS;
        for index in (0..self.cores.len())
            .filter(|i| self.is_up[*i])
            .collect::<Vec<_>>()
        {
            self.step(index, Event::Tick);
        }
        while let Some((from, to, message)) = self.messages.pop_front() {
            let index_of = |id: &str| self.cores.iter().position(|c| c.node().id() == id).unwrap();
            let (sender, receiver) = (index_of(&from), index_of(&to));
            if self.is_up[sender] && self.is_up[receiver] {
                self.step(receiver, Event::Consensus { from, message });
            }
        }
        if self.now.is_multiple_of(2 * STEP_MS) {
            for index in 0..self.relays.len() {
                self.report(index);
            }
        }
    }

    /// A gateway reports to its relay, which sends a digest to the leader.
    fn report(&mut self, index: usize) {
        let now = ms(self.now);
        let gateway = &self.gateways[index];
        let report = Report {
            gateway: format!("g{index}"),
            evidence: gateway.observations.evidence(now, &gateway.suspects),
            ..Report::default()
        };
        let answers = self.relays[index].step(now, Input::Report(1, Box::new(report)));
        self.answer_gateway(index, answers);
        let digest = self.relays[index].digest(now);
        if let Some(leader) = self.leader() {
            let ticket = index as u64;
            let call = Call::Digest(Box::new(digest));
            self.step(leader, Event::Call { ticket, call });
        }
    }

    /// A VM sends a heartbeat to a controller.
    pub fn announce(&mut self, index: usize, announcement: Announcement) {
        let now = ms(self.now);
        self.relays[index].step(now, Input::Heartbeat(2, Box::new(announcement)));
    }

    fn answer_gateway(&mut self, index: usize, answers: Vec<(u64, Answer)>) {
        for (_, answer) in answers {
            if let Answer::Overview(overview) = answer {
                self.gateways[index].suspects = overview.suspects;
                self.gateways[index].quarantined = overview.quarantined;
            }
        }
    }

    pub fn advance_until(&mut self, is_reached: impl Fn(&Fleet) -> bool) {
        for _ in 0..1_500 {
            if is_reached(self) {
                return;
            }
            self.advance();
        }
        panic!("not reached within 30 s");
    }

    pub fn advance_by(&mut self, time_ms: u64) {
        for _ in 0..time_ms / STEP_MS {
            self.advance();
        }
    }

    pub fn crash(&mut self, gateway: usize, target: &str, parts: &[&str]) {
        let now = ms(self.now);
        self.gateways[gateway]
            .observations
            .record_crash(now, now, target, 1, &strings(parts));
    }

    pub fn run_soundly(&mut self, gateway: usize, parts: &[&str]) {
        let now = ms(self.now);
        self.gateways[gateway]
            .observations
            .record_sound(now, strings(parts));
    }

    pub fn quarantined(&self) -> Vec<&str> {
        let leader = self.leader().expect("a leader");
        self.cores[leader]
            .state()
            .quarantined
            .keys()
            .map(String::as_str)
            .collect()
    }

    pub fn knows_quarantine(&self, parts: &[&str]) -> bool {
        self.gateways.iter().all(|g| g.quarantined == parts)
    }

    /// Crashes with the bad part, seen by different gateways, until it is in quarantine.
    pub fn quarantine(&mut self, bad: &str) {
        for i in 0..3 {
            let gateway = i % self.gateways.len();
            self.crash(gateway, &format!("{bad}-t{i}"), &["first", bad]);
            self.advance_by(300);
            self.run_soundly(gateway, &["first"]);
            self.advance_by(100);
        }
        self.advance_until(|fleet| fleet.quarantined().contains(&bad));
        self.advance_by(100);
    }
}
