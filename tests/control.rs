//! Random runs of a control process with entries and VMs that lag, pause, restart
//! and lose messages; ownership and claims are watched from outside.
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

const STEP: Duration = Duration::from_millis(20);
const LEASE: Duration = Duration::from_millis(2_000);
const ZONES: [&str; 2] = ["north", "south"];
const VMS_PER_ZONE: usize = 5;

struct FakeEntry {
    session: String,
    state: State,
    permit: Duration,
    paused_until: Duration,
    /// Ticket and time of sending of the request that is open.
    open: Option<(u64, Duration)>,
}

struct FakeVm {
    name: String,
    zone: String,
    report: Report,
    silent_until: Duration,
    ignores_fencing: bool,
}

struct World {
    random: ChaCha8Rng,
    now: Duration,
    core: Core,
    disk: Recovery,
    entries: Vec<FakeEntry>,
    vms: Vec<FakeVm>,
    tickets: u64,
    answers: Vec<(Duration, u64, Answer)>,
    orders: Vec<(Duration, Order)>,
    /// Last order sent to each VM by this leader, until a report confirms it.
    unconfirmed: BTreeMap<String, Order>,
    requests: u64,
    released: usize,
    /// Whether messages are lost or late no more.
    calm: bool,
}

fn settings() -> Settings {
    let mut settings = Settings::default();
    settings.membership.settle_ms = 1_000;
    settings.membership.lost_ms = 1_000;
    settings.membership.wait_for_member_ms = 2_000;
    settings.consensus.snapshot_every = 50;
    settings
}

impl World {
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
        let mut random = ChaCha8Rng::seed_from_u64(seed);
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
                    ignores_fencing: random.random_ratio(1, 2),
                });
            }
        }
        let entry = |i: usize| FakeEntry {
            session: format!("e{i}#1"),
            state: State::default(),
            permit: Duration::ZERO,
            paused_until: Duration::ZERO,
            open: None,
        };
        World {
            core: Core::new("c1", settings(), disk.clone(), now, seed),
            random,
            now,
            disk,
            entries: (0..3).map(entry).collect(),
            vms,
            tickets: 0,
            answers: Vec::new(),
            orders: Vec::new(),
            unconfirmed: BTreeMap::new(),
            requests: 0,
            released: 0,
            calm: false,
        }
    }

    fn ticket(&mut self) -> u64 {
        self.tickets += 1;
        self.tickets
    }

    fn delay(&mut self) -> Duration {
        let slow = !self.calm && self.random.random_ratio(1, 15);
        let limit = if slow { 1_500 } else { 60 };
        self.now + Duration::from_millis(self.random.random_range(0..limit))
    }

    fn is_lost(&mut self, one_in: u32) -> bool {
        !self.calm && self.random.random_ratio(1, one_in)
    }

    fn feed(&mut self, event: Event) {
        for action in self.core.step(self.now, event) {
            match action {
                Action::Consensus(action) => self.persist(action),
                Action::Answer(ticket, answer) => {
                    let at = self.delay();
                    if !self.is_lost(20) {
                        self.answers.push((at, ticket, answer));
                    }
                }
                Action::Order(sending) => self.send_order(sending),
                Action::Decision(command, _) => {
                    self.released += usize::from(matches!(command, Command::Release { .. }));
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

    fn send_order(&mut self, sending: Order) {
        if let Some(open) = self.unconfirmed.get(&sending.vm) {
            let same = open.fence == sending.fence && open.incarnation == sending.incarnation;
            let restarted = open.incarnation != sending.incarnation;
            assert!(
                same || restarted,
                "one open order for each VM: {open:?} {sending:?}"
            );
        }
        self.unconfirmed.insert(sending.vm.clone(), sending.clone());
        if !self.is_lost(10) {
            let at = self.delay();
            self.orders.push((at, sending));
        }
    }

    fn turn(&mut self) {
        self.now += STEP;
        let now = self.now;
        for (_, ticket, answer) in take_due(&mut self.answers, now) {
            self.deliver(ticket, answer);
        }
        for (_, sending) in take_due(&mut self.orders, now) {
            self.carry_out(&sending);
        }
        self.feed(Event::Tick);
        for i in 0..self.entries.len() {
            self.sync(i);
        }
        if (now.as_millis() / 20).is_multiple_of(10) {
            for i in 0..self.vms.len() {
                self.announce(i);
            }
        }
        self.check();
    }

    fn sync(&mut self, i: usize) {
        let entry = &self.entries[i];
        let waits = entry
            .open
            .is_some_and(|(_, sent)| self.now < sent + Duration::from_millis(700));
        if waits || self.now < entry.paused_until {
            return;
        }
        let ticket = self.ticket();
        let entry = &mut self.entries[i];
        entry.open = Some((ticket, self.now));
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
            self.feed(event);
        }
    }

    fn deliver(&mut self, ticket: u64, answer: Answer) {
        let now = self.now;
        let found = self
            .entries
            .iter_mut()
            .find(|e| e.open.is_some_and(|(t, _)| t == ticket));
        let Some(entry) = found else {
            return;
        };
        if now < entry.paused_until {
            let resume = entry.paused_until;
            self.answers.push((resume, ticket, answer));
            return;
        }
        let (_, sent) = entry.open.take().expect("found by it");
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
        entry.permit = entry.permit.max(sent + LEASE);
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
        if let Some(open) = self.unconfirmed.get(&announcement.vm)
            && (report.fence >= open.fence || report.incarnation != open.incarnation)
        {
            self.unconfirmed.remove(&announcement.vm);
        }
        let ticket = self.ticket();
        self.feed(Event::Announce { ticket, announcement });
    }

    fn carry_out(&mut self, sending: &Order) {
        let vm = self.vms.iter_mut().find(|v| v.name == sending.vm).unwrap();
        let old = sending.fence < vm.report.fence && !vm.ignores_fencing;
        if vm.report.incarnation == sending.incarnation && !old {
            vm.report.group = sending.group;
            vm.report.fence = sending.fence;
            vm.report.model = sending.model.clone();
            vm.report.ready = true;
        }
    }

    /// Nobody but one entry may act on a group, and on a VM only for one group.
    fn check(&self) {
        let mut owners: BTreeMap<u64, &str> = BTreeMap::new();
        let mut users: BTreeMap<&str, u64> = BTreeMap::new();
        for entry in self.entries.iter().filter(|e| self.now < e.permit) {
            let mine = |g: &&heatherramp::domain::state::Group| g.owner.as_deref() == Some(&entry.session);
            for group in entry.state.groups.values().filter(mine) {
                let other = owners.insert(group.id, &entry.session);
                assert!(
                    other.is_none(),
                    "{other:?} and {} own group {}",
                    entry.session,
                    group.id
                );
                for member in &group.members {
                    let used = users.insert(&member.vm, group.id);
                    assert!(
                        used.is_none(),
                        "VM {} is used for {used:?} and {}",
                        member.vm,
                        group.id
                    );
                }
            }
        }
    }

    fn disturb(&mut self) {
        let (now, i) = (self.now, self.random.random_range(0..self.vms.len()));
        let until = now + Duration::from_millis(self.random.random_range(200..5_000));
        match self.random.random_range(0..400) {
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
                let e = self.random.random_range(0..self.entries.len());
                self.entries[e].paused_until = until;
            }
            10 => {
                let e = self.random.random_range(0..self.entries.len());
                let session = format!("e{e}#{}", now.as_millis());
                self.entries[e] = FakeEntry {
                    session,
                    state: State::default(),
                    permit: Duration::ZERO,
                    paused_until: now,
                    open: None,
                };
            }
            11 => self.restart(),
            12..15 => {
                let (zone, out) = (ZONES[self.random.random_range(0..2)], self.random.random());
                self.operate(Change::SetZone {
                    zone: zone.to_owned(),
                    out,
                });
            }
            15 => {
                let replicas = self.random.random_range(0..3);
                self.submit(replicas);
            }
            _ => {}
        }
    }

    fn restart(&mut self) {
        let seed = self.random.random();
        self.core = Core::new("c1", settings(), self.disk.clone(), self.now, seed);
        self.unconfirmed.clear();
    }

    fn operate(&mut self, change: Change) {
        self.requests += 1;
        let command = Command::Operate {
            operator: "test".to_owned(),
            request: self.requests.to_string(),
            change,
        };
        let ticket = self.ticket();
        self.feed(Event::Propose(vec![(ticket, command)]));
    }

    fn submit(&mut self, replicas: usize) {
        let known = self
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
            base: known.newest_number(),
            text: document.to_string(),
        });
        self.operate(Change::Promote {
            environment: "notes".to_owned(),
            version: known.newest_number() + 1,
            base: known.production.unwrap_or(0),
        });
    }

    /// Ends the disturbances and expects the wanted groups, whole and owned.
    ///
    /// Losses and delays end too: a session that runs out moves groups for a moment.
    fn settle(&mut self) {
        self.calm = true;
        for vm in &mut self.vms {
            vm.silent_until = Duration::ZERO;
            vm.report.leaving = false;
        }
        for _ in 0..200 {
            self.turn();
        }
        for zone in ZONES {
            self.operate(Change::SetZone {
                zone: zone.to_owned(),
                out: false,
            });
        }
        self.submit(2);
        for _ in 0..1_500 {
            self.turn();
        }
        let released = self.released;
        let state = self.core.state();
        assert_eq!(state.groups.len(), 4, "{:?}", state.groups);
        let owners: BTreeSet<_> = state.groups.values().map(|g| g.owner.clone()).collect();
        assert!(!owners.contains(&None), "{:?}", state.groups);
        assert_eq!(self.core.shortfall().0, 0, "no group is broken");
        for group in state.groups.values() {
            for member in &group.members {
                let vm = self.vms.iter().find(|v| v.name == member.vm).unwrap();
                assert_eq!((vm.report.group, vm.report.fence), (group.id, group.fence));
            }
        }
        for _ in 0..250 {
            self.turn();
        }
        assert_eq!(self.released, released, "a settled system changes nothing");
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

/// Item that is delivered at a time.
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

fn number(name: &str, default: u64) -> u64 {
    let given = std::env::var(name).ok();
    given.and_then(|v| v.parse().ok()).unwrap_or(default)
}

#[test]
fn random_runs_keep_groups_and_owners_apart() {
    let first = number("HEATHERRAMP_SEED", 1);
    let mut groups = 0;
    for seed in first..first + number("HEATHERRAMP_RUNS", 20) {
        println!("seed {seed}");
        let mut world = World::new(seed);
        for _ in 0..50 {
            world.turn();
        }
        world.submit(2);
        for _ in 0..2_500 {
            world.disturb();
            world.turn();
        }
        world.settle();
        groups += world.core.state().index;
    }
    println!("{groups} records in all runs");
}
