//! Simulation of controllers whose log starts with three seed voters, of operators that call them, and
//! of their faults.
#![allow(dead_code)]

mod faults;

use std::collections::BTreeMap;
use std::collections::VecDeque;
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

pub const SEED_VOTER_COUNT: usize = 3;
pub const NODE_COUNT: usize = 5;
/// Time after a restart for which a controller still counts as lost, so that it can catch up.
pub const CATCH_UP_MS: u64 = 4_000;

/// Durable state of a controller.
#[derive(Clone, Default)]
pub struct Disk {
    pub identity: Option<String>,
    pub hard_state: HardState,
    pub snapshot: Option<Snapshot>,
    pub records: Vec<consensus::Record>,
}

pub struct Node {
    pub address: String,
    pub disk: Disk,
    /// None while the controller has no power.
    pub core: Option<Core>,
    /// Time of the next start, or of the latest one while the controller runs.
    pub starts_at: u64,
    /// Time until which it counts as lost: it is off, or has not had time to catch up.
    pub lost_until: u64,
    /// Time until which its disk refuses every write.
    pub full_until: u64,
    /// Actions that are not executed yet, as the first of them is a write that the disk refuses.
    pub unsaved: VecDeque<Action>,
    /// Events that wait until those are executed.
    pub mailbox: VecDeque<Event>,
    /// Time until which it exchanges no messages with other controllers; operators still reach it.
    pub cut_until: u64,
    /// Whether it has received the order to shut down, until it has ended.
    pub is_stopping: bool,
    pub checks_without_leader: u32,
    /// Node, modulo the number of nodes, that is asked next to let this one join.
    pub join_target: usize,
}

pub struct Simulation {
    pub rng: ChaCha8Rng,
    pub now: u64,
    /// Time between two ticks of a controller, in milliseconds; must divide 100.
    pub step_ms: u64,
    pub nodes: Vec<Node>,
    /// Time of arrival, sender, receiver and content.
    pub messages_in_flight: Vec<(u64, String, String, Message)>,
    /// Longest time that a message takes, in steps; with more than one, messages may overtake each other.
    pub max_delay_steps: u64,
    /// Called node and kind of each unanswered call, by ticket.
    pub pending_calls: BTreeMap<u64, (usize, PendingCall)>,
    pub ticket: u64,
    /// Highest version that was acknowledged.
    pub acknowledged: u64,
    /// Highest version that was submitted.
    pub last_submitted: u64,
    /// Events that a failed assertion prints.
    pub trace: Vec<String>,
    /// Membership at the latest entry of the trace.
    pub traced_members: String,
}

pub enum PendingCall {
    /// Version that is submitted.
    Adopt(u64),
    /// Version that is submitted, and passed on if the node redirects.
    Forward(u64),
    /// Highest version acknowledged before the read; a lower one in the answer is a stale read.
    Read(u64),
    /// Node that asks to join.
    Join(usize),
    /// Node that tells that it shuts down.
    Depart(usize),
}

pub fn address(index: usize) -> String {
    format!("10.0.0.{}:7400", index + 1)
}

pub fn catalog(version: u64) -> Definition {
    Definition {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        limits: Limits::default(),
        accounts: None,
    }
}

fn document(version: u64) -> Document {
    Document::new(&version.to_string(), &catalog(version))
}

fn is_write(action: &Action) -> bool {
    matches!(
        action,
        Action::Consensus(
            consensus::Action::SaveHardState(_)
                | consensus::Action::SaveRecords(_)
                | consensus::Action::SaveSnapshot(_)
        )
    )
}

impl Node {
    pub fn new(index: usize) -> Self {
        Node {
            address: address(index),
            disk: Disk::default(),
            core: None,
            starts_at: 0,
            lost_until: 0,
            full_until: 0,
            unsaved: VecDeque::new(),
            mailbox: VecDeque::new(),
            cut_until: 0,
            is_stopping: false,
            checks_without_leader: 0,
            join_target: index,
        }
    }

    /// Whether it has ended and does not start again.
    pub fn has_ended(&self) -> bool {
        self.core.is_none() && self.starts_at == u64::MAX
    }
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        Simulation::with_nodes(seed, NODE_COUNT)
    }

    pub fn with_nodes(seed: u64, count: usize) -> Self {
        let mut simulation = Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            step_ms: 20,
            nodes: (0..count).map(Node::new).collect(),
            messages_in_flight: Vec::new(),
            max_delay_steps: 2,
            pending_calls: BTreeMap::new(),
            ticket: 0,
            acknowledged: 0,
            last_submitted: 0,
            trace: Vec::new(),
            traced_members: String::new(),
        };
        for index in 0..count {
            simulation.start(index, true);
        }
        simulation
    }

    pub fn start(&mut self, index: usize, is_first_start: bool) {
        let nonce: u32 = self.rng.random();
        let node = &mut self.nodes[index];
        let mut voters = Vec::new();
        let identity = node.disk.identity.get_or_insert_with(|| {
            if is_first_start && index < SEED_VOTER_COUNT {
                voters = (0..SEED_VOTER_COUNT).map(address).collect();
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
        let recovery = Recovery {
            hard_state: node.disk.hard_state.clone(),
            snapshot: snapshot.clone(),
            records: node.disk.records.clone(),
        };
        let now = Duration::from_millis(self.now);
        let timing = Timing::default();
        let core = Core::new(
            &identity,
            timing,
            consensus::Timing::default(),
            recovery,
            now,
            u64::from(nonce),
        );
        node.core = Some(core);
        node.starts_at = self.now;
    }

    /// Passes an event to a node; while its disk refuses a write, the event waits, as in the daemon.
    pub fn step(&mut self, index: usize, event: Event) {
        let node = &mut self.nodes[index];
        let is_blocked = !node.unsaved.is_empty();
        if node.core.is_none() || (is_blocked && matches!(event, Event::Tick)) {
            return;
        }
        node.mailbox.push_back(event);
        if !is_blocked {
            self.run_node(index);
        }
    }

    /// Executes what a node has to, and processes its events, until its disk refuses a write.
    pub fn run_node(&mut self, index: usize) {
        let now = Duration::from_millis(self.now);
        loop {
            while let Some(action) = self.nodes[index].unsaved.pop_front() {
                if self.nodes[index].full_until > self.now && is_write(&action) {
                    self.nodes[index].unsaved.push_front(action);
                    return;
                }
                let core = self.nodes[index].core.as_ref().expect("a node that runs");
                let from = core.node().id().to_owned();
                self.execute(index, &from, action);
                if self.nodes[index].core.is_none() {
                    return;
                }
            }
            let node = &mut self.nodes[index];
            let Some(event) = node.mailbox.pop_front() else {
                return;
            };
            let core = node.core.as_mut().expect("a node that runs");
            node.unsaved.extend(core.step(now, event));
        }
    }

    pub fn execute(&mut self, index: usize, from: &str, action: Action) {
        let is_cut = self.nodes[index].cut_until > self.now;
        let disk = &mut self.nodes[index].disk;
        match action {
            Action::Consensus(consensus::Action::Send { .. }) if is_cut => {}
            Action::Consensus(consensus::Action::SaveHardState(hard_state)) => disk.hard_state = hard_state,
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
                let delay = self.rng.random_range(1..=self.max_delay_steps) * self.step_ms;
                self.messages_in_flight
                    .push((self.now + delay, from.to_owned(), to, message));
            }
            Action::Answer(ticket, answer) => self.handle_answer(index, ticket, &answer),
            Action::Leadership(leads) => self.trace.push(format!("{} {from} leads {leads}", self.now)),
            _ => {}
        }
    }

    pub fn handle_answer(&mut self, index: usize, ticket: u64, answer: &Answer) {
        let Some((_, pending)) = self.pending_calls.remove(&ticket) else {
            return;
        };
        match (pending, answer) {
            (PendingCall::Adopt(version), Answer::Done) => self.acknowledged = self.acknowledged.max(version),
            (PendingCall::Forward(version), Answer::Done) => {
                self.acknowledged = self.acknowledged.max(version)
            }
            (PendingCall::Forward(version), Answer::Redirect(Some(leader))) => {
                let is_leader = |n: &Node| n.core.as_ref().is_some_and(|c| c.node().id() == leader);
                if let Some(leader) = self.nodes.iter().position(is_leader) {
                    let call = Call::Adopt(Box::new(document(version)));
                    self.call(leader, PendingCall::Adopt(version), call);
                }
            }
            (PendingCall::Read(min_version), Answer::Text(text)) => {
                let version: u64 = text.as_ref().map_or(0, |t| t.text().unwrap().parse().unwrap());
                assert!(
                    version >= min_version,
                    "node {index} returned version {version} after {min_version} was acknowledged: {:#?}",
                    self.trace
                );
            }
            (PendingCall::Join(joiner), Answer::Redirect(Some(leader))) => {
                let leader = leader.split('~').next().unwrap();
                let found = self.nodes.iter().position(|n| n.address == leader);
                self.nodes[joiner].join_target = found.unwrap_or(0);
            }
            (PendingCall::Depart(node), Answer::Done) => self.end(node),
            (PendingCall::Join(joiner), Answer::Redirect(None)) => self.nodes[joiner].join_target += 1,
            _ => {}
        }
    }

    pub fn call(&mut self, index: usize, pending: PendingCall, call: Call) {
        self.ticket += 1;
        let ticket = self.ticket;
        self.pending_calls.insert(ticket, (index, pending));
        self.step(index, Event::Call { ticket, call });
    }

    pub fn advance(&mut self) {
        self.now += self.step_ms;
        for index in 0..self.nodes.len() {
            if self.nodes[index].core.is_none() && self.nodes[index].starts_at <= self.now {
                self.start(index, false);
            }
        }
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages_in_flight)
            .into_iter()
            .partition(|m| m.0 <= self.now);
        self.messages_in_flight = later;
        for index in 0..self.nodes.len() {
            if self.nodes[index].core.is_some() {
                self.run_node(index);
            }
        }
        for (_, from, to, message) in due {
            let receiver = self
                .nodes
                .iter()
                .position(|n| n.core.as_ref().is_some_and(|c| c.node().id() == to));
            if let Some(index) = receiver.filter(|i| self.nodes[*i].cut_until <= self.now) {
                self.step(index, Event::Consensus { from, message });
            }
        }
        for index in 0..self.nodes.len() {
            self.step(index, Event::Tick);
            self.request_join_if_needed(index);
        }
        self.announce_departures();
        self.trace_membership();
        if self.now.is_multiple_of(300) {
            self.send_operator_call();
        }
    }

    /// Submits changes to all nodes, and asserts that one is accepted within `time_ms`.
    pub fn assert_accepts_changes(&mut self, seed: u64, time_ms: u64) {
        let before = self.acknowledged;
        let until = self.now + time_ms;
        while self.now < until {
            if self.now.is_multiple_of(500) {
                self.submit_to_all_nodes();
            }
            self.advance();
        }
        let trace = &self.trace;
        assert!(
            self.acknowledged > before,
            "seed {seed}: nothing is accepted any more: {trace:#?}"
        );
    }

    pub fn trace_membership(&mut self) {
        let now = Duration::from_millis(self.now);
        let running_cores = self.nodes.iter().filter_map(|n| n.core.as_ref());
        let Some(core) = running_cores.into_iter().find(|c| c.leads(now)) else {
            return;
        };
        let members = format!("{:?}", core.node().journal().members());
        if members != self.traced_members {
            self.trace.push(format!("{} members {members}", self.now));
            self.traced_members = members;
        }
    }

    /// Asks to join in the same cases as the daemon's `fleet::join`, with half as many checks a second.
    pub fn request_join_if_needed(&mut self, index: usize) {
        if !self.now.is_multiple_of(300) || self.nodes[index].is_stopping {
            return;
        }
        // The status of a node that cannot write is not brought up to date.
        let node = &self.nodes[index];
        let Some(core) = node.core.as_ref().filter(|_| node.unsaved.is_empty()) else {
            return;
        };
        let is_member = core.is_member();
        let identity = core.node().id().to_owned();
        if is_member && core.node().leader().is_some() {
            self.nodes[index].checks_without_leader = 0;
            return;
        }
        self.nodes[index].checks_without_leader += 1;
        if is_member && self.nodes[index].checks_without_leader < 4 {
            return;
        }
        let join_target = self.nodes[index].join_target % self.nodes.len();
        if self.nodes[join_target].core.is_none() || self.is_cut(index) || self.is_cut(join_target) {
            self.nodes[index].join_target += 1;
            return;
        }
        self.call(join_target, PendingCall::Join(index), Call::Join { identity });
    }

    pub fn leader(&self) -> Option<usize> {
        let now = Duration::from_millis(self.now);
        let leads = |n: &Node| n.core.as_ref().is_some_and(|c| c.leads(now));
        self.nodes.iter().position(leads)
    }

    pub fn is_cut(&self, index: usize) -> bool {
        self.nodes[index].cut_until > self.now
    }

    /// Submits a new version to one node, which passes it on to the leader if it names one.
    pub fn submit_through(&mut self, index: usize) {
        if self.nodes[index].core.is_none() {
            return;
        }
        self.last_submitted += 1;
        let version = self.last_submitted;
        let call = Call::Adopt(Box::new(document(version)));
        self.call(index, PendingCall::Forward(version), call);
    }

    /// Submits a new version to one node.
    pub fn submit(&mut self, index: usize) {
        self.last_submitted += 1;
        let version = self.last_submitted;
        let call = Call::Adopt(Box::new(document(version)));
        self.call(index, PendingCall::Adopt(version), call);
    }

    pub fn send_operator_call(&mut self) {
        let leader = self.leader();
        let any = self.rng.random_range(0..self.nodes.len());
        let index = leader.filter(|_| self.rng.random_bool(0.7)).unwrap_or(any);
        if self.rng.random_bool(0.5) {
            self.submit(index);
        } else {
            self.call(index, PendingCall::Read(self.acknowledged), Call::Read);
        }
    }

    /// Submits a new version to every node, so one call reaches the leader.
    pub fn submit_to_all_nodes(&mut self) {
        self.last_submitted += 1;
        let version = self.last_submitted;
        for index in 0..self.nodes.len() {
            let call = Call::Adopt(Box::new(document(version)));
            self.call(index, PendingCall::Adopt(version), call);
        }
    }
}

pub fn run_count_and_first_seed(default_runs: u64) -> (u64, u64) {
    let read = |name: &str, default: u64| {
        std::env::var(name)
            .ok()
            .and_then(|v| v.parse().ok())
            .unwrap_or(default)
    };
    (
        read("HEATHERRAMP_RUNS", default_runs),
        read("HEATHERRAMP_SEED", 1),
    )
}
