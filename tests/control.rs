//! Simulated runs of a control process with random faults: entries and VMs pause and
//! restart, messages are lost or late. The test checks, by the copies of the state that entries
//! with a lease hold, that no two entries use one group and no two groups use one VM.
//!
//! `HEATHERRAMP_RUNS` sets the number of runs, `HEATHERRAMP_SEED` the first seed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use heatherramp::domain::consensus;
use heatherramp::domain::consensus::HardState;
use heatherramp::domain::consensus::Record;
use heatherramp::domain::consensus::Recovery;
use heatherramp::domain::consensus::Snapshot;
use heatherramp::domain::control::Action;
use heatherramp::domain::control::Answer;
use heatherramp::domain::control::Core;
use heatherramp::domain::control::Event;
use heatherramp::domain::control::Settings;
use heatherramp::domain::membership::Announcement;
use heatherramp::domain::membership::Raw;
use heatherramp::domain::membership::Report;
use heatherramp::domain::placement::Order;
use heatherramp::domain::state::Change;
use heatherramp::domain::state::Command;
use heatherramp::domain::state::Entry;
use heatherramp::domain::state::State;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

/// Simulated time between ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Lease of an entry, from the sending of its last answered request; equal to the default
/// `lease_ms` of the session settings.
const ENTRY_LEASE: Duration = Duration::from_millis(2_000);
const ZONES: [&str; 2] = ["north", "south"];
const VMS_PER_ZONE: usize = 5;

/// Entry that applies the changes it receives and counts its lease from its requests.
struct FakeEntry {
    session: String,
    state: State,
    lease_end: Duration,
    paused_until: Duration,
    /// Ticket and time of sending of the request that has no answer yet.
    open_request: Option<(u64, Duration)>,
}

/// VM that announces itself and carries out orders.
struct FakeVm {
    name: String,
    zone: String,
    report: Report,
    silent_until: Duration,
    /// Whether the engine carries out an order with an outdated fencing token.
    ignores_fencing: bool,
}

/// One control process with its disk, and entries and VMs that send requests to it, on a
/// simulated clock.
struct Simulation {
    rng: ChaCha8Rng,
    now: Duration,
    core: Core,
    disk: Recovery,
    entries: Vec<FakeEntry>,
    vms: Vec<FakeVm>,
    last_ticket: u64,
    /// Answers in flight: time of delivery, ticket and answer.
    answers: Vec<(Duration, u64, Answer)>,
    /// Orders in flight, with the time of delivery.
    orders: Vec<(Duration, Order)>,
    /// Last order that this leader sent to each VM, until a report of the VM confirms it.
    unconfirmed: BTreeMap<String, Order>,
    last_request: u64,
    released_groups: usize,
    /// Whether messages are no longer lost or late.
    faults_ended: bool,
}

fn settings() -> Settings {
    let mut settings = Settings::default();
    settings.membership.settle_ms = 1_000;
    settings.membership.lost_ms = 1_000;
    settings.membership.wait_for_member_ms = 2_000;
    settings.consensus.snapshot_every = 50;
    settings
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let disk = Recovery {
            hard_state: HardState::default(),
            snapshot: Snapshot {
                index: 0,
                term: 0,
                voters: vec!["c1".to_owned()],
                learners: Vec::new(),
                state: String::new(),
            },
            records: Vec::new(),
        };
        let now = Duration::from_secs(1);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut vms = Vec::new();
        for zone in ZONES {
            for i in 0..VMS_PER_ZONE {
                vms.push(FakeVm {
                    name: format!("{zone}-{i}"),
                    zone: zone.to_owned(),
                    report: Report {
                        incarnation: 1,
                        ..Report::default()
                    },
                    silent_until: Duration::ZERO,
                    ignores_fencing: rng.random_ratio(1, 2),
                });
            }
        }
        let entry = |i: usize| FakeEntry {
            session: format!("e{i}#1"),
            state: State::default(),
            lease_end: Duration::ZERO,
            paused_until: Duration::ZERO,
            open_request: None,
        };
        Simulation {
            core: Core::new("c1", settings(), disk.clone(), now, seed),
            rng,
            now,
            disk,
            entries: (0..3).map(entry).collect(),
            vms,
            last_ticket: 0,
            answers: Vec::new(),
            orders: Vec::new(),
            unconfirmed: BTreeMap::new(),
            last_request: 0,
            released_groups: 0,
            faults_ended: false,
        }
    }

    fn next_ticket(&mut self) -> u64 {
        self.last_ticket += 1;
        self.last_ticket
    }

    fn delivery_time(&mut self) -> Duration {
        let is_slow = !self.faults_ended && self.rng.random_ratio(1, 15);
        let limit_ms = if is_slow { 1_500 } else { 60 };
        self.now + Duration::from_millis(self.rng.random_range(0..limit_ms))
    }

    fn is_lost(&mut self, one_in: u32) -> bool {
        !self.faults_ended && self.rng.random_ratio(1, one_in)
    }

    fn step(&mut self, event: Event) {
        for action in self.core.step(self.now, event) {
            match action {
                Action::Consensus(action) => self.persist(action),
                Action::Answer(ticket, answer) => {
                    let at = self.delivery_time();
                    if !self.is_lost(20) {
                        self.answers.push((at, ticket, answer));
                    }
                }
                Action::Order(order) => self.send_order(order),
                Action::Decision(command, _) => {
                    self.released_groups += usize::from(matches!(command, Command::Release { .. }));
                }
                Action::Leadership(_) => self.unconfirmed.clear(),
            }
        }
    }

    fn persist(&mut self, action: consensus::Action) {
        match action {
            consensus::Action::SaveHardState(hard_state) => self.disk.hard_state = hard_state,
            consensus::Action::SaveRecords(records) => {
                self.disk.records.retain(|r: &Record| r.index < records[0].index);
                self.disk.records.extend(records);
            }
            consensus::Action::SaveSnapshot(snapshot) => {
                self.disk.records.retain(|r| r.index > snapshot.index);
                self.disk.snapshot = snapshot;
            }
            _ => {}
        }
    }

    fn send_order(&mut self, order: Order) {
        if let Some(unconfirmed) = self.unconfirmed.get(&order.vm) {
            let is_retry = unconfirmed.fence == order.fence && unconfirmed.incarnation == order.incarnation;
            let is_restarted = unconfirmed.incarnation != order.incarnation;
            assert!(
                is_retry || is_restarted,
                "a VM has one unconfirmed order: {unconfirmed:?} {order:?}"
            );
        }
        self.unconfirmed.insert(order.vm.clone(), order.clone());
        if !self.is_lost(10) {
            let at = self.delivery_time();
            self.orders.push((at, order));
        }
    }

    fn tick(&mut self) {
        self.now += TICK_INTERVAL;
        let now = self.now;
        for (_, ticket, answer) in take_due(&mut self.answers, now) {
            self.deliver_answer(ticket, answer);
        }
        for (_, order) in take_due(&mut self.orders, now) {
            self.carry_out_order(&order);
        }
        self.step(Event::Tick);
        for i in 0..self.entries.len() {
            self.sync(i);
        }
        // VMs announce themselves every tenth tick.
        if (now.as_millis() / 20).is_multiple_of(10) {
            for i in 0..self.vms.len() {
                self.announce(i);
            }
        }
        self.check_exclusive_use();
    }

    fn sync(&mut self, i: usize) {
        let entry = &self.entries[i];
        // An entry retries a request that has no answer after 700 ms.
        let is_waiting = entry
            .open_request
            .is_some_and(|(_, sent)| self.now < sent + Duration::from_millis(700));
        if is_waiting || self.now < entry.paused_until {
            return;
        }
        let ticket = self.next_ticket();
        let entry = &mut self.entries[i];
        entry.open_request = Some((ticket, self.now));
        let event = Event::Sync {
            ticket,
            session: entry.session.clone(),
            entry: Entry {
                address: format!("127.0.0.1:{}", 1000 + i),
                zone: ZONES[i % 2].to_owned(),
            },
            applied: entry.state.index,
            draining: false,
            busy: Vec::new(),
        };
        if !self.is_lost(20) {
            self.step(event);
        }
    }

    fn deliver_answer(&mut self, ticket: u64, answer: Answer) {
        let now = self.now;
        let found = self
            .entries
            .iter_mut()
            .find(|e| e.open_request.is_some_and(|(t, _)| t == ticket));
        let Some(entry) = found else {
            return;
        };
        if now < entry.paused_until {
            let resume = entry.paused_until;
            self.answers.push((resume, ticket, answer));
            return;
        }
        let (_, sent) = entry
            .open_request
            .take()
            .expect("the entry was found by its open request");
        let Answer::Synced {
            index,
            snapshot,
            changes,
        } = answer
        else {
            return;
        };
        if index < entry.state.index {
            return;
        }
        if let Some(state) = snapshot {
            entry.state = *state;
        }
        for (index, command) in changes {
            if index > entry.state.index {
                entry.state.apply(index, &command);
            }
        }
        entry.state.index = entry.state.index.max(index);
        entry.lease_end = entry.lease_end.max(sent + ENTRY_LEASE);
    }

    fn announce(&mut self, i: usize) {
        let vm = &self.vms[i];
        if self.now < vm.silent_until {
            return;
        }
        let raw = Raw {
            vm: vm.name.clone(),
            address: format!("127.0.0.1:{}", 2000 + i),
            availability_zone: vm.zone.clone(),
            fabric_domain: format!("{}-rack-{}", vm.zone, i % 2),
            accelerators: 1,
            kind: Default::default(),
            report: vm.report.clone(),
        };
        let announcement = Announcement::try_from(raw).unwrap();
        let report = &announcement.report;
        if let Some(unconfirmed) = self.unconfirmed.get(&announcement.vm)
            && (report.fence >= unconfirmed.fence || report.incarnation != unconfirmed.incarnation)
        {
            self.unconfirmed.remove(&announcement.vm);
        }
        let ticket = self.next_ticket();
        self.step(Event::Announce { ticket, announcement });
    }

    fn carry_out_order(&mut self, order: &Order) {
        let vm = self.vms.iter_mut().find(|v| v.name == order.vm).unwrap();
        let is_fenced = order.fence < vm.report.fence && !vm.ignores_fencing;
        if vm.report.incarnation == order.incarnation && !is_fenced {
            vm.report.group = order.group;
            vm.report.fence = order.fence;
            vm.report.model = order.model.clone();
            vm.report.ready = true;
        }
    }

    /// At most one entry may use a group, and a VM may be used for one group only.
    fn check_exclusive_use(&self) {
        let mut owners: BTreeMap<u64, &str> = BTreeMap::new();
        let mut groups_by_vm: BTreeMap<&str, u64> = BTreeMap::new();
        for entry in self.entries.iter().filter(|e| self.now < e.lease_end) {
            let is_owned =
                |g: &&heatherramp::domain::state::Group| g.owner.as_deref() == Some(&entry.session);
            for group in entry.state.groups.values().filter(is_owned) {
                let other_owner = owners.insert(group.id, &entry.session);
                assert!(
                    other_owner.is_none(),
                    "{other_owner:?} and {} own group {}",
                    entry.session,
                    group.id
                );
                for member in &group.members {
                    let other_group = groups_by_vm.insert(&member.vm, group.id);
                    assert!(
                        other_group.is_none(),
                        "VM {} is used for {other_group:?} and {}",
                        member.vm,
                        group.id
                    );
                }
            }
        }
    }

    /// With a chance of 16 in 400, makes one VM, entry or control process fail, or makes one change
    /// as an operator.
    fn inject_faults(&mut self) {
        let (now, i) = (self.now, self.rng.random_range(0..self.vms.len()));
        let until = now + Duration::from_millis(self.rng.random_range(200..5_000));
        match self.rng.random_range(0..400) {
            0..3 => self.vms[i].silent_until = until,
            3..6 => {
                let incarnation = self.vms[i].report.incarnation + 1;
                self.vms[i].report = Report {
                    incarnation,
                    ..Report::default()
                };
            }
            6 => self.vms[i].report.leaving = true,
            7..10 => {
                let e = self.rng.random_range(0..self.entries.len());
                self.entries[e].paused_until = until;
            }
            10 => {
                let e = self.rng.random_range(0..self.entries.len());
                let session = format!("e{e}#{}", now.as_millis());
                self.entries[e] = FakeEntry {
                    session,
                    state: State::default(),
                    lease_end: Duration::ZERO,
                    paused_until: now,
                    open_request: None,
                };
            }
            11 => self.restart(),
            12..15 => {
                let (zone, out) = (ZONES[self.rng.random_range(0..2)], self.rng.random());
                self.operate(Change::SetZone {
                    zone: zone.to_owned(),
                    out,
                });
            }
            15 => {
                let replicas = self.rng.random_range(0..3);
                self.submit_and_promote(replicas);
            }
            _ => {}
        }
    }

    fn restart(&mut self) {
        let seed = self.rng.random();
        self.core = Core::new("c1", settings(), self.disk.clone(), self.now, seed);
        self.unconfirmed.clear();
    }

    fn operate(&mut self, change: Change) {
        self.last_request += 1;
        let command = Command::Operate {
            operator: "test".to_owned(),
            request: self.last_request.to_string(),
            change,
        };
        let ticket = self.next_ticket();
        self.step(Event::Propose(vec![(ticket, command)]));
    }

    fn submit_and_promote(&mut self, replicas: usize) {
        let configuration = self
            .core
            .state()
            .environments
            .get("notes")
            .cloned()
            .unwrap_or_default();
        let document = json!({
            "environment": "notes", "model": "m", "members_per_replica": 2,
            "replicas_per_availability_zone": {"north": replicas, "south": replicas},
            "trial_replicas": 0,
            "client_accounts": [{"name": "a", "key_digest": "0".repeat(64)}],
        });
        self.operate(Change::Submit {
            environment: "notes".to_owned(),
            base: configuration.newest_number(),
            text: document.to_string(),
        });
        self.operate(Change::Promote {
            environment: "notes".to_owned(),
            version: configuration.newest_number() + 1,
            base: configuration.production.unwrap_or(0),
        });
    }

    /// Ends the faults and expects the wanted groups, complete, owned and stable.
    ///
    /// Lost and late messages end too, because a session that expires moves its groups to
    /// another owner.
    fn recover(&mut self) {
        self.faults_ended = true;
        for vm in &mut self.vms {
            vm.silent_until = Duration::ZERO;
            vm.report.leaving = false;
        }
        for _ in 0..200 {
            self.tick();
        }
        for zone in ZONES {
            self.operate(Change::SetZone {
                zone: zone.to_owned(),
                out: false,
            });
        }
        self.submit_and_promote(2);
        for _ in 0..1_500 {
            self.tick();
        }
        let released = self.released_groups;
        let state = self.core.state();
        assert_eq!(state.groups.len(), 4, "{:?}", state.groups);
        let owners: BTreeSet<_> = state.groups.values().map(|g| g.owner.clone()).collect();
        assert!(!owners.contains(&None), "{:?}", state.groups);
        assert_eq!(self.core.shortfall().0, 0, "no group lacks a member");
        for group in state.groups.values() {
            for member in &group.members {
                let vm = self.vms.iter().find(|v| v.name == member.vm).unwrap();
                assert_eq!((vm.report.group, vm.report.fence), (group.id, group.fence));
            }
        }
        for _ in 0..250 {
            self.tick();
        }
        assert_eq!(
            self.released_groups, released,
            "without faults, no group is released"
        );
    }
}

fn take_due<T>(queue: &mut Vec<T>, now: Duration) -> Vec<T>
where
    T: Due,
{
    let (due, later) = queue.drain(..).partition(|item| item.at() <= now);
    *queue = later;
    due
}

/// Message with a time of delivery.
trait Due {
    fn at(&self) -> Duration;
}

impl Due for (Duration, u64, Answer) {
    fn at(&self) -> Duration {
        self.0
    }
}

impl Due for (Duration, Order) {
    fn at(&self) -> Duration {
        self.0
    }
}

fn env_number(name: &str, default: u64) -> u64 {
    let given = std::env::var(name).ok();
    given.and_then(|v| v.parse().ok()).unwrap_or(default)
}

#[test]
fn random_runs_give_a_group_one_owner_and_a_vm_one_group() {
    let first = env_number("HEATHERRAMP_SEED", 1);
    let mut records = 0;
    for seed in first..first + env_number("HEATHERRAMP_RUNS", 20) {
        println!("seed {seed}");
        let mut simulation = Simulation::new(seed);
        for _ in 0..50 {
            simulation.tick();
        }
        simulation.submit_and_promote(2);
        for _ in 0..2_500 {
            simulation.inject_faults();
            simulation.tick();
        }
        simulation.recover();
        records += simulation.core.state().index;
    }
    println!("{records} records in all runs");
}
