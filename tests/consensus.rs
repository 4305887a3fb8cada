//! Simulated runs of the replicated log with random faults: lost, delayed, duplicated and
//! reordered messages, partitions, pauses and crashes.
//!
//! `HEATHERRAMP_RUNS` sets the number of runs, `HEATHERRAMP_SEED` the first seed.

use std::collections::BTreeMap;
use std::time::Duration;

use heatherramp::domain::consensus::Action;
use heatherramp::domain::consensus::Event;
use heatherramp::domain::consensus::HardState;
use heatherramp::domain::consensus::Message;
use heatherramp::domain::consensus::Node;
use heatherramp::domain::consensus::Payload;
use heatherramp::domain::consensus::Record;
use heatherramp::domain::consensus::Recovery;
use heatherramp::domain::consensus::Role;
use heatherramp::domain::consensus::Snapshot;
use heatherramp::domain::consensus::Timing;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Simulated time between ticks, in milliseconds.
const TICK_MS: u64 = 10;
/// Ticks of one run with faults.
const TICKS_PER_RUN: u64 = 1_500;

/// Durable state of one node.
struct Disk {
    hard_state: HardState,
    snapshot: Snapshot,
    records: Vec<Record>,
}

/// Nodes, their disks and the network between them, on a simulated clock.
struct Simulation {
    rng: ChaCha8Rng,
    now: Duration,
    nodes: BTreeMap<String, Node>,
    disks: BTreeMap<String, Disk>,
    /// Paused nodes, and when each resumes.
    paused: BTreeMap<String, Duration>,
    /// Messages in flight: time of delivery, sender, receiver and message. Those to a paused
    /// node are delivered when it resumes.
    network: Vec<(Duration, String, String, Message)>,
    /// Nodes on one side of a partition; all others are on the other side.
    isolated: Vec<String>,
    /// Pairs of nodes, in alphabetical order, that cannot reach each other, though others may
    /// reach both.
    cut_links: Vec<(String, String)>,
    /// Term and payload that the first node to apply each index applied there.
    applied: BTreeMap<u64, (u64, Payload)>,
    leaders_by_term: BTreeMap<u64, String>,
    proposed_commands: u64,
    /// Number of indexes that at least one node has applied.
    committed_records: usize,
}

fn run_count(default: u64) -> u64 {
    let given = std::env::var("HEATHERRAMP_RUNS").ok();
    given.and_then(|v| v.parse().ok()).unwrap_or(default)
}

fn first_seed() -> u64 {
    let given = std::env::var("HEATHERRAMP_SEED").ok();
    given.and_then(|v| v.parse().ok()).unwrap_or(1)
}

fn timing() -> Timing {
    Timing {
        snapshot_every: 40,
        batch_records: 8,
        ..Timing::default()
    }
}

impl Simulation {
    fn new(seed: u64, size: usize) -> Self {
        let names: Vec<String> = (1..=size).map(|i| format!("c{i}")).collect();
        let mut simulation = Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::from_millis(1),
            nodes: BTreeMap::new(),
            disks: BTreeMap::new(),
            paused: BTreeMap::new(),
            network: Vec::new(),
            isolated: Vec::new(),
            cut_links: Vec::new(),
            applied: BTreeMap::new(),
            leaders_by_term: BTreeMap::new(),
            proposed_commands: 0,
            committed_records: 0,
        };
        for name in &names {
            simulation.disks.insert(name.clone(), initial_disk(&names));
            simulation.restart(name);
        }
        simulation
    }

    fn restart(&mut self, name: &str) {
        let disk = &self.disks[name];
        let recovery = Recovery {
            hard_state: disk.hard_state.clone(),
            snapshot: disk.snapshot.clone(),
            records: disk.records.clone(),
        };
        let seed = self.rng.random();
        let node = Node::new(name, timing(), recovery, self.now, seed);
        self.nodes.insert(name.to_owned(), node);
    }

    fn step(&mut self, name: &str, event: Event) {
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        let actions = node.step(self.now, event);
        // The node may crash between any two actions, which loses the later ones.
        let crash_at = if self.rng.random_ratio(1, 4_000) {
            self.rng.random_range(0..=actions.len())
        } else {
            usize::MAX
        };
        for (i, action) in actions.into_iter().enumerate() {
            if i == crash_at {
                self.nodes.remove(name);
                return;
            }
            self.execute(name, action);
        }
        self.check_leader(name);
    }

    fn execute(&mut self, name: &str, action: Action) {
        match action {
            Action::SaveHardState(hard_state) => self.disks.get_mut(name).unwrap().hard_state = hard_state,
            Action::SaveRecords(records) => {
                let disk = self.disks.get_mut(name).unwrap();
                disk.records.retain(|r| r.index < records[0].index);
                disk.records.extend(records);
            }
            Action::SaveSnapshot(snapshot) => {
                let disk = self.disks.get_mut(name).unwrap();
                disk.records.retain(|r| r.index > snapshot.index);
                disk.snapshot = snapshot;
            }
            Action::Restore(snapshot) => {
                assert!(
                    snapshot.state.starts_with("at "),
                    "the restored state is one that a node compacted"
                );
            }
            Action::Send { to, message } => self.send(name, to, message),
            Action::Apply(record) => {
                let applied = self.applied.get(&record.index).cloned();
                let current = (record.term, record.payload);
                match applied {
                    Some(known) => assert_eq!(known, current, "each index has one record"),
                    None => {
                        self.committed_records += 1;
                        self.applied.insert(record.index, current);
                    }
                }
            }
        }
    }

    fn send(&mut self, from: &str, to: String, message: Message) {
        if self.rng.random_ratio(1, 20) {
            return;
        }
        let copies = if self.rng.random_ratio(1, 30) { 2 } else { 1 };
        for _ in 0..copies {
            let is_slow = self.rng.random_ratio(1, 25);
            let delay_ms = self.rng.random_range(0..if is_slow { 900 } else { 25 });
            let at = self.now + Duration::from_millis(delay_ms);
            self.network
                .push((at, from.to_owned(), to.clone(), message.clone()));
        }
    }

    /// At most one node leads in a term, and one with a valid lease has all committed records.
    fn check_leader(&mut self, name: &str) {
        let Some(node) = self.nodes.get(name) else {
            return;
        };
        if node.role() == Role::Leader {
            let leader = self
                .leaders_by_term
                .entry(node.term())
                .or_insert_with(|| name.to_owned());
            assert_eq!(leader, name, "a term has one leader");
        }
        if node.role() == Role::Leader && node.holds_lease(self.now) {
            let newest = self.applied.keys().next_back().copied().unwrap_or(0);
            assert!(
                node.commit_index() >= newest,
                "a leader with a valid lease has the newest state"
            );
        }
    }

    fn tick(&mut self) {
        self.now += Duration::from_millis(TICK_MS);
        self.inject_faults();
        let due: Vec<_> = {
            let now = self.now;
            let (due, later) = self.network.drain(..).partition(|(at, ..)| *at <= now);
            self.network = later;
            due
        };
        for (_, from, to, message) in due {
            let is_partitioned = self.isolated.contains(&from) != self.isolated.contains(&to);
            let pair = if from < to { (&from, &to) } else { (&to, &from) };
            let is_cut = self.cut_links.iter().any(|(a, b)| (a, b) == pair);
            if is_partitioned || is_cut {
                continue;
            }
            if self.paused.contains_key(&to) {
                let later = self.paused[&to];
                self.network.push((later, from, to, message));
                continue;
            }
            self.step(&to, Event::Receive { from, message });
        }
        let names: Vec<String> = self.disks.keys().cloned().collect();
        for name in names {
            if self.paused.contains_key(&name) {
                continue;
            }
            self.step(&name, Event::Tick);
            self.propose(&name);
            self.compact(&name);
        }
    }

    fn propose(&mut self, name: &str) {
        let leads = self.nodes.get(name).is_some_and(|n| n.role() == Role::Leader);
        if leads && self.rng.random_ratio(1, 4) {
            let count = self.rng.random_range(1..4);
            let payloads = (0..count)
                .map(|_| {
                    self.proposed_commands += 1;
                    Payload::Command(format!("{}", self.proposed_commands))
                })
                .collect();
            self.step(name, Event::Propose(payloads));
        }
    }

    fn compact(&mut self, name: &str) {
        let Some(node) = self.nodes.get(name) else {
            return;
        };
        let index = node.commit_index();
        // About `snapshot_every` of `timing`, which the node itself does not read.
        if index > node.journal().snapshot().index + 40 {
            let state = format!("at {index}");
            self.step(name, Event::Compact { index, state });
        }
    }

    fn inject_faults(&mut self) {
        let names: Vec<String> = self.disks.keys().cloned().collect();
        let pick = names[self.rng.random_range(0..names.len())].clone();
        if self.rng.random_ratio(1, 250) {
            self.nodes.remove(&pick);
        }
        if !self.nodes.contains_key(&pick) && self.rng.random_ratio(1, 20) {
            self.restart(&pick);
        }
        if self.rng.random_ratio(1, 200) {
            let until = self.now + Duration::from_millis(self.rng.random_range(100..3_000));
            self.paused.insert(pick.clone(), until);
        }
        let now = self.now;
        self.paused.retain(|_, until| *until > now);
        if self.rng.random_ratio(1, 200) {
            self.isolated = names
                .iter()
                .filter(|_| self.rng.random_ratio(1, 3))
                .cloned()
                .collect();
        }
        if self.rng.random_ratio(1, 150) {
            let other = names[self.rng.random_range(0..names.len())].clone();
            let pair = if pick < other {
                (pick.clone(), other)
            } else {
                (other, pick.clone())
            };
            self.cut_links.push(pair);
        }
        if self.rng.random_ratio(1, 60) {
            self.isolated.clear();
        }
        if self.rng.random_ratio(1, 100) {
            self.cut_links.clear();
        }
        if self.rng.random_ratio(1, 300) {
            self.step(&pick, Event::TransferLeadership);
        }
    }

    /// Ends partitions, pauses and outages, and expects that further records are committed.
    ///
    /// Messages still get lost, and nodes still crash and then restart immediately.
    fn recover(&mut self) {
        self.isolated.clear();
        self.cut_links.clear();
        self.paused.clear();
        let names: Vec<String> = self.disks.keys().cloned().collect();
        for name in &names {
            if !self.nodes.contains_key(name) {
                self.restart(name);
            }
        }
        let before = self.committed_records;
        for _ in 0..800 {
            self.now += Duration::from_millis(TICK_MS);
            let now = self.now;
            let (due, later): (Vec<_>, Vec<_>) = self.network.drain(..).partition(|(at, ..)| *at <= now);
            self.network = later;
            for (_, from, to, message) in due {
                self.step(&to, Event::Receive { from, message });
            }
            for name in &names {
                if !self.nodes.contains_key(name) {
                    self.restart(name);
                }
                self.step(name, Event::Tick);
                self.propose(name);
            }
        }
        assert!(
            self.committed_records > before,
            "records are committed after the partitions and pauses"
        );
    }
}

fn initial_disk(voters: &[String]) -> Disk {
    Disk {
        hard_state: HardState::default(),
        snapshot: Snapshot {
            index: 0,
            term: 0,
            voters: voters.to_vec(),
            learners: Vec::new(),
            state: String::new(),
        },
        records: Vec::new(),
    }
}

#[test]
fn random_runs_keep_the_log_safe() {
    let (first, count) = (first_seed(), run_count(60));
    let mut committed = 0;
    for seed in first..first + count {
        let size = if seed % 3 == 0 { 5 } else { 3 };
        let mut simulation = Simulation::new(seed, size);
        for _ in 0..TICKS_PER_RUN {
            simulation.tick();
        }
        simulation.recover();
        committed += simulation.committed_records;
    }
    println!("{count} runs from seed {first}, {committed} records committed");
}

/// Leader of three voters, elected in term 3, whose log has one record of term 2 before
/// its own first one.
fn new_leader() -> (Node, Duration) {
    let voters = ["c1", "c2", "c3"].map(str::to_owned);
    let disk = initial_disk(&voters);
    let recovery = Recovery {
        hard_state: HardState { term: 2, vote: None },
        snapshot: disk.snapshot,
        records: vec![Record {
            index: 1,
            term: 2,
            payload: Payload::Command("old".to_owned()),
        }],
    };
    let now = Duration::from_secs(10);
    let mut node = Node::new("c1", Timing::default(), recovery, Duration::ZERO, 1);
    node.step(now, Event::Tick);
    for pre in [true, false] {
        let message = Message::VoteResponse {
            term: 3,
            pre,
            granted: true,
        };
        let from = "c2".to_owned();
        node.step(now, Event::Receive { from, message });
    }
    assert_eq!((node.role(), node.term()), (Role::Leader, 3));
    (node, now)
}

fn acknowledge(node: &mut Node, now: Duration, index: u64) {
    let message = Message::Acknowledge {
        term: 3,
        stored: true,
        index,
        sent_ms: now.as_millis() as u64,
    };
    let from = "c2".to_owned();
    node.step(now, Event::Receive { from, message });
}

#[test]
fn a_record_of_an_older_term_is_committed_only_with_one_of_the_current_term() {
    let (mut node, now) = new_leader();
    acknowledge(&mut node, now, 1);
    assert_eq!(
        node.commit_index(),
        0,
        "another leader may still replace it, although a quorum holds it"
    );
    acknowledge(&mut node, now, 2);
    assert_eq!(node.commit_index(), 2);
}

#[test]
fn a_lease_that_was_given_up_for_a_transfer_does_not_resume() {
    let (mut node, mut now) = new_leader();
    acknowledge(&mut node, now, 2);
    assert!(node.holds_lease(now));
    node.step(now, Event::TransferLeadership);
    assert!(!node.holds_lease(now));
    for _ in 0..100 {
        now += Duration::from_millis(20);
        node.step(now, Event::Tick);
        acknowledge(&mut node, now, 2);
        assert!(
            !node.holds_lease(now),
            "the successor may still receive the order to start an election"
        );
    }
}

#[test]
fn a_voter_that_hears_a_leader_grants_no_vote() {
    let voters = ["c1", "c2", "c3"].map(str::to_owned);
    let disk = initial_disk(&voters);
    let recovery = Recovery {
        // The voter has taken part in a term, so it may have acknowledged that term's leader.
        hard_state: HardState { term: 8, vote: None },
        snapshot: disk.snapshot,
        records: disk.records,
    };
    let start = Duration::from_secs(10);
    let mut node = Node::new("c2", Timing::default(), recovery, start, 1);
    let vote_request = |pre| Event::Receive {
        from: "c3".to_owned(),
        message: Message::RequestVote {
            term: 9,
            pre,
            transfer: false,
            last_index: 99,
            last_term: 8,
        },
    };
    // The start counts as contact with a leader: a restart loses the time of the last one.
    for pre in [true, false] {
        assert!(
            node.step(start + Duration::from_millis(400), vote_request(pre))
                .is_empty()
        );
    }
    let later = start + Duration::from_millis(600);
    let actions = node.step(later, vote_request(false));
    let is_grant = |a: &Action| {
        matches!(
            a,
            Action::Send {
                message: Message::VoteResponse { granted: true, .. },
                ..
            }
        )
    };
    assert!(actions.iter().any(is_grant), "{actions:?}");
}

/// A voter in term 0 has never acknowledged a leader, so no lease depends on it.
#[test]
fn a_voter_before_its_first_term_grants_immediately() {
    let voters = ["c1", "c2", "c3"].map(str::to_owned);
    let disk = initial_disk(&voters);
    let recovery = Recovery {
        hard_state: disk.hard_state,
        snapshot: disk.snapshot,
        records: disk.records,
    };
    let start = Duration::from_secs(10);
    let mut node = Node::new("c2", Timing::default(), recovery, start, 1);
    let vote_request = Event::Receive {
        from: "c3".to_owned(),
        message: Message::RequestVote {
            term: 1,
            pre: true,
            transfer: false,
            last_index: 0,
            last_term: 0,
        },
    };
    assert_eq!(node.step(start, vote_request).len(), 1);
}
