//! Random runs of a fleet controller against simulated VMs.
//!
//! VMs crash, restart under their name, fall silent while they go on, carry orders out late,
//! and the controller restarts from its log. Invariants: no VM takes a join while the head of
//! its group may serve, and no group opens before every member was ready in it.
//!
//! `HEATHERRAMP_RUNS` sets the number of runs and `HEATHERRAMP_SEED` the first seed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use heatherramp::domain::catalog::Definition;
use heatherramp::domain::catalog::Engine;
use heatherramp::domain::catalog::Limits;
use heatherramp::domain::catalog::Model;
use heatherramp::domain::catalog::Service;
use heatherramp::domain::consensus;
use heatherramp::domain::consensus::HardState;
use heatherramp::domain::consensus::Recovery;
use heatherramp::domain::consensus::Snapshot;
use heatherramp::domain::fleet::Action;
use heatherramp::domain::fleet::Announcement;
use heatherramp::domain::fleet::Answer;
use heatherramp::domain::fleet::Call;
use heatherramp::domain::fleet::Core;
use heatherramp::domain::fleet::Document;
use heatherramp::domain::fleet::Event;
use heatherramp::domain::fleet::Membership;
use heatherramp::domain::fleet::Order;
use heatherramp::domain::fleet::Report;
use heatherramp::domain::fleet::Stage;
use heatherramp::domain::fleet::Task;
use heatherramp::domain::fleet::Timing;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const STEP: u64 = 50;
const STALL: u64 = 4_000;
const HEARTBEAT: u64 = 1_200;

fn catalog() -> Definition {
    let model = |name: &str, size, share, load_ms| Model {
        name: name.to_owned(),
        size,
        share,
        pace: 1.0,
        load_ms,
        warm_ms: 1_600,
    };
    let engine = Engine {
        slots: 26,
        models: vec![model("large", 4, 0.67, 5_000), model("small", 2, 0.33, 4_000)],
        step_ms: 6.0,
        step_request_ms: 0.25,
        steps_per_pass: 5,
        read_per_s: 46_000.0,
        loads_per_s: 4.0,
        loads_at_once: 6,
        open_ms: 300,
        mean_prompt: 1_076.0,
        mean_answer: 116.0,
    };
    Definition {
        version: 1,
        routes: Vec::new(),
        services: vec![Service {
            name: "engine".to_owned(),
            health_path: "/".to_owned(),
            max_connections: 100,
            cold_ms: 0,
            cold_rate: 0.0,
            engine: Some(engine),
        }],
        limits: Limits::default(),
        accounts: Vec::new(),
        needs_keys: false,
    }
}

#[derive(Clone, Debug)]
struct Place {
    epoch: u64,
    model: String,
    members: Vec<String>,
    rank: usize,
    stage: Stage,
    /// When the join is done.
    ready_at: u64,
    open_at: Option<u64>,
    stalled_since: Option<u64>,
}

#[derive(Clone, Debug)]
struct Vm {
    id: String,
    domain: String,
    incarnation: u64,
    sequence: u64,
    alive: bool,
    /// Cut off from the controller, while members reach it.
    silent_until: u64,
    staged: Vec<String>,
    staging: Option<(String, u64)>,
    last_model: Option<String>,
    place: Option<Place>,
    seen_epoch: u64,
    beat_at: u64,
}

impl Vm {
    /// VM in a fabric domain, before its first heartbeat at `beat_at`.
    fn new(number: u64, domain: u64, beat_at: u64) -> Self {
        Vm {
            id: format!("vm{number:02}"),
            domain: format!("d{domain}"),
            incarnation: 1,
            sequence: 0,
            alive: true,
            silent_until: 0,
            staged: Vec::new(),
            staging: None,
            last_model: None,
            place: None,
            seen_epoch: 0,
            beat_at,
        }
    }
}

#[derive(Default)]
struct Disk {
    hard: HardState,
    snapshot: Option<Snapshot>,
    records: Vec<consensus::Record>,
}

struct World {
    rng: ChaCha8Rng,
    now: u64,
    core: Core,
    disk: Disk,
    vms: BTreeMap<String, Vm>,
    orders: Vec<(u64, Order)>,
    /// Members that were ready, by epoch.
    ever_ready: BTreeMap<u64, BTreeSet<String>>,
    opened: usize,
    max_fence: u64,
    ticket: u64,
    /// Whether requests arrive.
    is_served: bool,
}

impl World {
    fn new(seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let disk = Disk::default();
        let core = core(&disk, 0);
        let vms = (0..16u64).map(|i| {
            let vm = Vm::new(i, i / 8, (i * 77) % HEARTBEAT);
            (vm.id.clone(), vm)
        });
        World {
            rng,
            now: 0,
            core,
            disk,
            vms: vms.collect(),
            orders: Vec::new(),
            ever_ready: BTreeMap::new(),
            opened: 0,
            max_fence: 0,
            ticket: 0,
            is_served: true,
        }
    }

    /// World whose operator sets a catalog after two seconds, run until `until`.
    fn run(seed: u64, until: u64) -> Self {
        let mut world = World::new(seed);
        world.advance_to(2_000);
        world.call(Call::Adopt(Box::new(Document::new("{}", &catalog()))));
        world.advance_to(until);
        world
    }

    fn advance_to(&mut self, until: u64) {
        while self.now < until {
            self.advance();
        }
    }

    fn step(&mut self, event: Event) {
        let actions = self.core.step(Duration::from_millis(self.now), event);
        for action in actions {
            match action {
                Action::Consensus(consensus::Action::SaveHardState(hard)) => self.disk.hard = hard,
                Action::Consensus(consensus::Action::SaveRecords(records)) => {
                    let first = records[0].index;
                    self.disk.records.retain(|r| r.index < first);
                    self.disk.records.extend(records);
                }
                Action::Consensus(consensus::Action::SaveSnapshot(snapshot)) => {
                    self.disk.records.retain(|r| r.index > snapshot.index);
                    self.disk.snapshot = Some(snapshot);
                }
                Action::Order(order) => {
                    let late = self.rng.random_bool(0.15);
                    let delay = if late {
                        self.rng.random_range(2_000..12_000)
                    } else {
                        STEP
                    };
                    if !self.rng.random_bool(0.05) {
                        self.orders.push((self.now + delay, order));
                    }
                }
                _ => {}
            }
        }
    }

    fn call(&mut self, call: Call) {
        self.ticket += 1;
        let ticket = self.ticket;
        self.step(Event::Call { ticket, call });
    }

    fn advance(&mut self) {
        self.now += STEP;
        self.disturb();
        self.deliver();
        let ids: Vec<String> = self.vms.keys().cloned().collect();
        for id in ids {
            self.run_vm(&id);
        }
        self.step(Event::Tick);
        if self.is_served && self.now.is_multiple_of(200) {
            let report = Report {
                gateway: "g".to_owned(),
                demand: BTreeMap::from([("engine/large".to_owned(), 1.5), ("engine/small".to_owned(), 1.5)]),
                ..Report::default()
            };
            self.call(Call::Report(Box::new(report)));
        }
    }

    fn disturb(&mut self) {
        if self.now < 12_000 || !self.rng.random_bool(0.03) {
            return;
        }
        let pick = self.rng.random_range(0..self.vms.len());
        let id = self.vms.keys().nth(pick).unwrap().clone();
        let kind = self.rng.random_range(0..5);
        let silence = self.rng.random_range(1_000..12_000);
        let now = self.now;
        let vm = self.vms.get_mut(&id).unwrap();
        match kind {
            0 => vm.alive = false,
            1 => {
                // A restart under the same name holds and knows nothing of before.
                vm.alive = true;
                vm.incarnation += 1 + now;
                vm.sequence = 0;
                vm.place = None;
                vm.last_model = None;
                vm.staging = None;
                vm.seen_epoch = 0;
                vm.beat_at = now + STEP;
            }
            2 | 3 => vm.silent_until = now + silence,
            _ => self.core = core(&self.disk, self.now),
        }
    }

    fn deliver(&mut self) {
        let due: Vec<Order> = self
            .orders
            .iter()
            .filter(|(at, _)| *at <= self.now)
            .map(|(_, o)| o.clone())
            .collect();
        self.orders.retain(|(at, _)| *at > self.now);
        for order in due {
            self.apply(order);
        }
    }

    fn apply(&mut self, order: Order) {
        self.max_fence = self.max_fence.max(order.fence);
        let now = self.now;
        let Some(vm) = self.vms.get(&order.vm) else {
            return;
        };
        if !vm.alive || now < vm.silent_until {
            return;
        }
        if let Task::Join { .. } = &order.task {
            self.check_join(&order);
        }
        let vm = self.vms.get_mut(&order.vm).unwrap();
        vm.beat_at = now + STEP;
        match &order.task {
            Task::Join { model, members } => join(vm, now, order.epoch, model, members),
            Task::Stage { model } => {
                if !vm.staged.contains(model) && vm.staging.is_none() {
                    vm.staging = Some((model.clone(), now + 5_000));
                }
            }
            task => {
                let Some(place) = vm.place.as_mut().filter(|p| p.epoch == order.epoch) else {
                    return;
                };
                match task {
                    Task::Open if place.stage == Stage::Ready && place.rank == 0 => {
                        place.open_at = Some(now + 300);
                        place.stage = Stage::Open;
                        self.check_open(&order.vm, order.epoch);
                    }
                    Task::Close if place.stage == Stage::Open => place.stage = Stage::Ready,
                    Task::Leave => vm.place = None,
                    _ => {}
                }
            }
        }
    }

    /// No VM takes a join while the head of its group may serve.
    fn check_join(&self, order: &Order) {
        let vm = &self.vms[&order.vm];
        if order.epoch < vm.seen_epoch {
            return;
        }
        let Some(place) = vm.place.as_ref().filter(|p| p.epoch != order.epoch) else {
            return;
        };
        let head = &self.vms[&place.members[0]];
        let held = head.place.as_ref().filter(|p| p.epoch == place.epoch);
        let serves = head.alive && held.is_some_and(|p| matches!(p.stage, Stage::Open | Stage::Closing));
        assert!(
            !serves,
            "at {}: {} joins {} while {} is open in {}",
            self.now, order.vm, order.epoch, head.id, place.epoch
        );
    }

    /// No group opens before every member was ready in it.
    fn check_open(&mut self, head: &str, epoch: u64) {
        self.opened += 1;
        let members = self.vms[head].place.as_ref().unwrap().members.clone();
        let ready = self.ever_ready.get(&epoch).cloned().unwrap_or_default();
        for member in members {
            assert!(ready.contains(&member), "{member} was never ready in {epoch}");
        }
    }

    fn run_vm(&mut self, id: &str) {
        let now = self.now;
        let members_lost = self.members_lost(id);
        let vm = self.vms.get_mut(id).unwrap();
        if !vm.alive {
            return;
        }
        if let Some((model, _)) = vm.staging.take_if(|(_, at)| *at <= now) {
            vm.staged = vec![model];
            vm.beat_at = now;
        }
        if let Some(place) = vm.place.as_mut() {
            if place.stage == Stage::Joining && place.ready_at <= now {
                place.stage = Stage::Ready;
                vm.staged = vec![place.model.clone()];
                vm.last_model = Some(place.model.clone());
                vm.beat_at = now;
                self.ever_ready
                    .entry(place.epoch)
                    .or_default()
                    .insert(id.to_owned());
            }
            if place.stage == Stage::Open && members_lost {
                let since = *place.stalled_since.get_or_insert(now);
                if now >= since + STALL {
                    place.stage = Stage::Broken;
                    vm.beat_at = now;
                }
            }
        }
        if now < vm.beat_at || now < vm.silent_until {
            return;
        }
        vm.beat_at = now + HEARTBEAT;
        vm.sequence += 1;
        let announcement = announcement(vm);
        self.call(Call::Announce(Box::new(announcement)));
    }

    fn members_lost(&self, id: &str) -> bool {
        let Some(place) = self.vms[id].place.as_ref().filter(|p| p.rank == 0) else {
            return false;
        };
        place.members.iter().any(|m| {
            let vm = &self.vms[m];
            !vm.alive || vm.place.as_ref().is_none_or(|p| p.epoch != place.epoch)
        })
    }
}

fn join(vm: &mut Vm, now: u64, epoch: u64, model: &str, members: &[String]) {
    if epoch < vm.seen_epoch {
        return;
    }
    if vm.place.as_ref().is_some_and(|p| p.epoch == epoch) {
        return;
    }
    vm.seen_epoch = epoch;
    let wait = if vm.last_model.as_deref() == Some(model) {
        200
    } else if vm.staged.iter().any(|m| m == model) {
        1_600
    } else {
        5_000
    };
    vm.place = Some(Place {
        epoch,
        model: model.to_owned(),
        members: members.to_vec(),
        rank: members.iter().position(|m| *m == vm.id).unwrap(),
        stage: Stage::Joining,
        ready_at: now + wait,
        open_at: None,
        stalled_since: None,
    });
}

fn announcement(vm: &Vm) -> Announcement {
    Announcement {
        id: vm.id.clone(),
        incarnation: vm.incarnation,
        sequence: vm.sequence,
        service: "engine".to_owned(),
        address: format!("127.0.0.1:{}", 1_000 + vm.id[2..].parse::<u16>().unwrap()),
        zone: "z".to_owned(),
        domain: vm.domain.clone(),
        slots: 26,
        draining: false,
        cold_ms: 0,
        staged: vm.staged.clone(),
        membership: vm.place.as_ref().map(|p| Membership {
            group: format!("g{}", p.epoch),
            epoch: p.epoch,
            rank: p.rank as u64,
            stage: p.stage,
        }),
    }
}

fn core(disk: &Disk, now: u64) -> Core {
    let snapshot = disk.snapshot.clone().unwrap_or(Snapshot {
        index: 0,
        term: 0,
        voters: vec!["127.0.0.1:7400".to_owned()],
        learners: Vec::new(),
        state: String::new(),
    });
    let restart = Recovery {
        hard_state: disk.hard.clone(),
        snapshot,
        records: disk.records.clone(),
    };
    let timing = Timing {
        stall_ms: STALL,
        heartbeat_ms: HEARTBEAT,
        voters: 1,
        ..Timing::default()
    };
    let consensus = consensus::Timing::default();
    Core::new(
        "127.0.0.1:7400",
        timing,
        consensus,
        restart,
        Duration::from_millis(now),
        7,
    )
}

fn runs() -> (u64, u64) {
    let read = |name: &str, default: u64| {
        std::env::var(name)
            .ok()
            .and_then(|v| v.parse().ok())
            .unwrap_or(default)
    };
    (read("HEATHERRAMP_RUNS", 60), read("HEATHERRAMP_SEED", 1))
}

#[test]
fn no_vm_serves_two_groups_and_no_group_opens_early() {
    let (runs, first) = runs();
    let mut opened = 0;
    for seed in first..first + runs {
        opened += World::run(seed, 60_000).opened;
    }
    assert!(opened as u64 > runs * 4, "{opened} groups opened in {runs} runs");
}

#[test]
fn a_group_without_faults_opens_and_stays() {
    let world = World::run(1, 12_000);
    assert!(world.core.targets().len() >= 2, "{:?}", world.core.targets());
}

#[test]
fn a_restarted_controller_names_its_targets_at_once() {
    let mut world = World::run(1, 12_000);
    let before = world.core.targets().to_vec();
    assert!(!before.is_empty(), "no targets to name");
    world.core = core(&world.disk, world.now);
    while !world.core.leads(Duration::from_millis(world.now)) {
        world.now += STEP;
        world.step(Event::Tick);
    }
    world.step(Event::Tick);
    assert_eq!(world.core.targets(), before);
}

#[test]
fn an_outdated_heartbeat_revives_nobody() {
    let mut world = World::new(1);
    world.advance_to(2_000);
    let mut vm = world.vms["vm00"].clone();
    vm.sequence = 5;
    let old = announcement(&vm);
    world.call(Call::Announce(Box::new(old.clone())));
    world.call(Call::Leave {
        id: "vm00".to_owned(),
    });
    let now = Duration::from_millis(world.now);
    let late = Announcement { sequence: 6, ..old };
    let answers = world.core.step(
        now,
        Event::Call {
            ticket: 900,
            call: Call::Announce(Box::new(late)),
        },
    );
    let done = answers
        .iter()
        .any(|a| matches!(a, Action::Answer(900, Answer::Done)));
    assert!(done, "a late heartbeat is acknowledged and ignored");
}

/// At the first start VMs come within three seconds, in an order that favours no domain.
#[test]
fn groups_are_planned_once_all_vms_have_come() {
    let mut world = World::new(7);
    world.vms.clear();
    world.is_served = false;
    world.advance_to(1_000);
    world.call(Call::Adopt(Box::new(Document::new("{}", &catalog()))));
    let mut last = 0;
    for i in 0..16u64 {
        world.advance_to(1_000 + i * 200);
        let vm = Vm::new(i, i * 5 % 16 / 8, world.now);
        world.vms.insert(vm.id.clone(), vm);
        last = world.now;
        let is_idle = world.vms.values().all(|vm| vm.staging.is_none());
        assert!(
            is_idle && world.core.state().groups.is_empty(),
            "{i} of 16 VMs have come"
        );
    }
    world.advance_to(last + HEARTBEAT * 2);
    assert!(!world.core.state().groups.is_empty(), "all have come");
}
