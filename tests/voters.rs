//! Random runs of five controllers that form a log from three seeds, lose power, lose disks
//! and replace each other. What was acknowledged is never lost or shown older, and a leader
//! is found again whenever no more disks are lost at once than the log bears.
//!
//! `HEATHERRAMP_RUNS` sets the number of runs and `HEATHERRAMP_SEED` the first seed.

use std::collections::BTreeMap;
use std::time::Duration;

use heatherramp::domain::catalog::Definition;
use heatherramp::domain::catalog::Limits;
use heatherramp::domain::consensus;
use heatherramp::domain::consensus::HardState;
use heatherramp::domain::consensus::Message;
use heatherramp::domain::consensus::Recovery;
use heatherramp::domain::consensus::Snapshot;
use heatherramp::domain::fleet::Action;
use heatherramp::domain::fleet::Answer;
use heatherramp::domain::fleet::Call;
use heatherramp::domain::fleet::Core;
use heatherramp::domain::fleet::Document;
use heatherramp::domain::fleet::Event;
use heatherramp::domain::fleet::Timing;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const STEP: u64 = 20;
const SEEDS: usize = 3;
const NODES: usize = 5;
/// Time for which a controller that is back still counts as lost.
const SYNC: u64 = 4_000;

#[derive(Clone, Default)]
struct Disk {
    identity: Option<String>,
    hard: HardState,
    snapshot: Option<Snapshot>,
    records: Vec<consensus::Record>,
}

struct Node {
    address: String,
    disk: Disk,
    core: Option<Core>,
    up_at: u64,
    /// Until when it counts as lost.
    lost_until: u64,
    looks: u32,
    target: usize,
}

struct World {
    rng: ChaCha8Rng,
    now: u64,
    nodes: Vec<Node>,
    mail: Vec<(u64, String, String, Message)>,
    calls: BTreeMap<u64, (usize, Pending)>,
    ticket: u64,
    acknowledged: u64,
    sent: u64,
    trace: Vec<String>,
    members: String,
}

enum Pending {
    Adopt(u64),
    Read(u64),
    Join(usize),
}

fn address(index: usize) -> String {
    format!("10.0.0.{}:7400", index + 1)
}

fn catalog(version: u64) -> Definition {
    Definition {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        limits: Limits::default(),
        accounts: Vec::new(),
        needs_keys: false,
    }
}

impl World {
    fn new(seed: u64) -> Self {
        let nodes = (0..NODES).map(|index| Node {
            address: address(index),
            disk: Disk::default(),
            core: None,
            up_at: 0,
            lost_until: 0,
            looks: 0,
            target: index,
        });
        let mut world = World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            nodes: nodes.collect(),
            mail: Vec::new(),
            calls: BTreeMap::new(),
            ticket: 0,
            acknowledged: 0,
            sent: 0,
            trace: Vec::new(),
            members: String::new(),
        };
        for index in 0..NODES {
            world.start(index, true);
        }
        world
    }

    fn start(&mut self, index: usize, first: bool) {
        let nonce: u32 = self.rng.random();
        let node = &mut self.nodes[index];
        let mut voters = Vec::new();
        let identity = node.disk.identity.get_or_insert_with(|| {
            if first && index < SEEDS {
                voters = (0..SEEDS).map(address).collect();
                address(index)
            } else {
                format!("{}~{nonce:08x}", address(index))
            }
        });
        let identity = identity.clone();
        let snapshot = node.disk.snapshot.get_or_insert(Snapshot {
            index: 0,
            term: 0,
            voters,
            learners: Vec::new(),
            state: String::new(),
        });
        let restart = Recovery {
            hard_state: node.disk.hard.clone(),
            snapshot: snapshot.clone(),
            records: node.disk.records.clone(),
        };
        let now = Duration::from_millis(self.now);
        let timing = Timing::default();
        let core = Core::new(
            &identity,
            timing,
            consensus::Timing::default(),
            restart,
            now,
            u64::from(nonce),
        );
        node.core = Some(core);
        node.up_at = self.now;
    }

    fn step(&mut self, index: usize, event: Event) {
        let now = Duration::from_millis(self.now);
        let Some(core) = self.nodes[index].core.as_mut() else {
            return;
        };
        let from = core.node().id().to_owned();
        for action in core.step(now, event) {
            self.carry_out(index, &from, action);
        }
    }

    fn carry_out(&mut self, index: usize, from: &str, action: Action) {
        let disk = &mut self.nodes[index].disk;
        match action {
            Action::Consensus(consensus::Action::SaveHardState(hard)) => disk.hard = hard,
            Action::Consensus(consensus::Action::SaveRecords(records)) => {
                let first = records[0].index;
                disk.records.retain(|r| r.index < first);
                disk.records.extend(records);
            }
            Action::Consensus(consensus::Action::SaveSnapshot(snapshot)) => {
                disk.records.retain(|r| r.index > snapshot.index);
                disk.snapshot = Some(snapshot);
            }
            Action::Consensus(consensus::Action::Send { to, message }) => {
                let delay = self.rng.random_range(1..=2) * STEP;
                self.mail.push((self.now + delay, from.to_owned(), to, message));
            }
            Action::Answer(ticket, answer) => self.answered(index, ticket, &answer),
            Action::Leadership(leads) => self.trace.push(format!("{} {from} leads {leads}", self.now)),
            _ => {}
        }
    }

    fn answered(&mut self, index: usize, ticket: u64, answer: &Answer) {
        let Some((_, pending)) = self.calls.remove(&ticket) else {
            return;
        };
        match (pending, answer) {
            (Pending::Adopt(version), Answer::Done) => self.acknowledged = self.acknowledged.max(version),
            (Pending::Read(least), Answer::Text(text)) => {
                let version: u64 = text.as_ref().map_or(0, |t| t.text().unwrap().parse().unwrap());
                assert!(
                    version >= least,
                    "node {index} shows {version} after {least} was acknowledged: {:#?}",
                    self.trace
                );
            }
            (Pending::Join(asking), Answer::Redirect(Some(leader))) => {
                let leader = leader.split('~').next().unwrap();
                let found = self.nodes.iter().position(|n| n.address == leader);
                self.nodes[asking].target = found.unwrap_or(0);
            }
            (Pending::Join(asking), Answer::Redirect(None)) => self.nodes[asking].target += 1,
            _ => {}
        }
    }

    fn call(&mut self, index: usize, pending: Pending, call: Call) {
        self.ticket += 1;
        let ticket = self.ticket;
        self.calls.insert(ticket, (index, pending));
        self.step(index, Event::Call { ticket, call });
    }

    fn advance(&mut self) {
        self.now += STEP;
        for index in 0..NODES {
            if self.nodes[index].core.is_none() && self.nodes[index].up_at <= self.now {
                self.start(index, false);
            }
        }
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.mail)
            .into_iter()
            .partition(|m| m.0 <= self.now);
        self.mail = later;
        for (_, from, to, message) in due {
            let receiver = self
                .nodes
                .iter()
                .position(|n| n.core.as_ref().is_some_and(|c| c.node().id() == to));
            if let Some(index) = receiver {
                self.step(index, Event::Consensus { from, message });
            }
        }
        for index in 0..NODES {
            self.step(index, Event::Tick);
            self.look(index);
        }
        self.watch_members();
        if self.now.is_multiple_of(300) {
            self.operate();
        }
    }

    fn watch_members(&mut self) {
        let now = Duration::from_millis(self.now);
        let leading = self.nodes.iter().filter_map(|n| n.core.as_ref());
        let Some(core) = leading.into_iter().find(|c| c.leads(now)) else {
            return;
        };
        let members = format!("{:?}", core.node().journal().members());
        if members != self.members {
            self.trace.push(format!("{} members {members}", self.now));
            self.members = members;
        }
    }

    /// What the daemon's join loop does.
    fn look(&mut self, index: usize) {
        if !self.now.is_multiple_of(300) {
            return;
        }
        let Some(core) = self.nodes[index].core.as_ref() else {
            return;
        };
        let is_member = core.is_member();
        let identity = core.node().id().to_owned();
        if is_member && core.node().leader().is_some() {
            self.nodes[index].looks = 0;
            return;
        }
        self.nodes[index].looks += 1;
        if is_member && self.nodes[index].looks < 4 {
            return;
        }
        let target = self.nodes[index].target % NODES;
        if self.nodes[target].core.is_none() {
            self.nodes[index].target += 1;
            return;
        }
        self.call(target, Pending::Join(index), Call::Join { identity });
    }

    fn operate(&mut self) {
        let now = Duration::from_millis(self.now);
        let leader = self
            .nodes
            .iter()
            .position(|n| n.core.as_ref().is_some_and(|c| c.leads(now)));
        let any = self.rng.random_range(0..NODES);
        let index = leader.filter(|_| self.rng.random_bool(0.7)).unwrap_or(any);
        if self.rng.random_bool(0.5) {
            self.sent += 1;
            let version = self.sent;
            let document = Document::new(&version.to_string(), &catalog(version));
            let call = Call::Adopt(Box::new(document));
            self.call(index, Pending::Adopt(version), call);
        } else {
            self.call(index, Pending::Read(self.acknowledged), Call::Read);
        }
    }

    fn operate_everywhere(&mut self) {
        self.sent += 1;
        let version = self.sent;
        for index in 0..NODES {
            let document = Document::new(&version.to_string(), &catalog(version));
            let call = Call::Adopt(Box::new(document));
            self.call(index, Pending::Adopt(version), call);
        }
    }

    fn lost(&self) -> usize {
        self.nodes.iter().filter(|n| n.lost_until > self.now).count()
    }

    fn power_off(&mut self, index: usize, dark: u64, wipe: bool) {
        self.trace
            .push(format!("{} node {index} off for {dark}, wiped {wipe}", self.now));
        let node = &mut self.nodes[index];
        node.core = None;
        node.up_at = self.now + dark;
        node.lost_until = self.now + dark + SYNC;
        if wipe {
            node.disk = Disk::default();
        }
        self.calls.retain(|_, (at, _)| *at != index);
    }

    fn disturb(&mut self) {
        if !self.rng.random_bool(0.015) || self.lost() >= 2 {
            return;
        }
        let index = self.rng.random_range(0..NODES);
        if self.nodes[index].lost_until > self.now {
            return;
        }
        let dark = self.rng.random_range(50..7_000);
        let wipe = self.rng.random_bool(0.5);
        self.power_off(index, dark, wipe);
    }

    /// Two disks are lost right after an acknowledgement, while all others lose power.
    fn final_fault(&mut self) {
        let before = self.acknowledged;
        let until = self.now + 12_000;
        while self.acknowledged == before {
            assert!(self.now < until, "nothing is accepted: {:#?}", self.trace);
            self.advance();
        }
        for node in &self.nodes {
            if let Some(core) = &node.core {
                let (voters, learners) = core.node().journal().members();
                let line = format!(
                    "{} knows voters {voters:?} learners {learners:?}",
                    core.node().id()
                );
                self.trace.push(line);
            }
        }
        let first = self.rng.random_range(0..NODES);
        let second = (first + self.rng.random_range(1..NODES)) % NODES;
        for index in 0..NODES {
            self.power_off(index, 1_000, index == first || index == second);
        }
    }
}

fn runs() -> (u64, u64) {
    let read = |name: &str, default: u64| {
        std::env::var(name)
            .ok()
            .and_then(|v| v.parse().ok())
            .unwrap_or(default)
    };
    (read("HEATHERRAMP_RUNS", 40), read("HEATHERRAMP_SEED", 1))
}

#[test]
fn acknowledged_changes_survive_losses_and_a_leader_is_found_again() {
    let (runs, first) = runs();
    for seed in first..first + runs {
        let mut world = World::new(seed);
        while world.now < 4_000 {
            world.advance();
        }
        // Operators call any controller; one of these calls meets the leader.
        world.operate_everywhere();
        while world.now < 5_000 {
            world.advance();
        }
        let trace = &world.trace;
        assert!(
            world.acknowledged > 0,
            "seed {seed}: no change was accepted: {trace:#?}"
        );
        while world.now < 40_000 {
            world.disturb();
            world.advance();
        }
        while world.lost() > 0 {
            world.advance();
        }
        world.final_fault();
        let before = world.acknowledged;
        let until = world.now + 12_000;
        while world.now < until {
            world.advance();
        }
        let trace = &world.trace;
        assert!(
            world.acknowledged > before,
            "seed {seed}: nothing was accepted after the final fault: {trace:#?}"
        );
    }
}
