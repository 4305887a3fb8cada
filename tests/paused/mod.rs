//! Simulation of one fleet controller, one group of two VMs and one gateway that has answers in
//! progress there, in which a VM is paused.
//!
//! A paused VM sends neither heartbeats nor events, and carries out orders when it goes on.
#![allow(dead_code)]

use std::collections::BTreeMap;
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
use heatherramp::domain::fleet::Call;
use heatherramp::domain::fleet::Contact;
use heatherramp::domain::fleet::Core;
use heatherramp::domain::fleet::Digest;
use heatherramp::domain::fleet::Document;
use heatherramp::domain::fleet::Event;
use heatherramp::domain::fleet::Membership;
use heatherramp::domain::fleet::Order;
use heatherramp::domain::fleet::Reply;
use heatherramp::domain::fleet::Stage;
use heatherramp::domain::fleet::Task;
use heatherramp::domain::fleet::Telemetry;
use heatherramp::domain::fleet::Timing;

const STEP_MS: u64 = 10;
/// Interval between heartbeats of a VM.
pub const HEARTBEAT_MS: u64 = 1_200;
/// Time after an event for which a gateway reports a target as serving.
const SERVED_MS: u64 = 1_000;
/// Time without an event after which a gateway reports a target as stalled.
const STALLED_MS: u64 = 350;
/// Duration of the answers that are in progress when a VM falls silent.
const ANSWER_MS: u64 = 6_000;

pub struct Vm {
    pub id: String,
    pub incarnation: u64,
    pub sequence: u64,
    pub membership: Option<Membership>,
    pub next_heartbeat_at: u64,
    pub last_heartbeat_at: u64,
    /// Start and end of the silence.
    pub silence: (u64, u64),
    pub is_draining: bool,
    /// How connections of the controller to its address end, if another way than by its own process.
    pub reply: Option<Reply>,
}

impl Vm {
    fn is_silent(&self, now: u64) -> bool {
        (self.silence.0..self.silence.1).contains(&now)
    }

    pub fn serves(&self) -> bool {
        let stage = self.membership.as_ref().map(|m| m.stage);
        matches!(stage, Some(Stage::Open | Stage::Closing))
    }
}

/// One controller, one group of two VMs, and one gateway with answers in progress there.
pub struct System {
    pub now: u64,
    pub core: Core,
    pub records: Vec<consensus::Record>,
    pub hard_state: HardState,
    pub vms: Vec<Vm>,
    /// Orders that are not carried out yet.
    pub orders: Vec<Order>,
    /// Time after which an order to open is carried out; it gets no answer then.
    pub open_delay: Option<u64>,
    /// Orders to open that are carried out later, with that time.
    late_orders: Vec<(u64, Order)>,
    first_late: Option<u64>,
    /// Probes and orders whose result the controller does not know yet.
    pub contacts: Vec<Contact>,
    /// Time at which the answers in progress are complete.
    pub answers_end: u64,
    pub last_event_at: u64,
    /// Whether a VM has left the group before the answers were complete.
    pub is_cut: bool,
    pub lost_at: Option<u64>,
    /// Whether a gateway reports that the head refuses its connections.
    pub is_head_refusing: bool,
    /// Orders sent since the group was lost, by VM.
    pub orders_after_loss: Vec<String>,
    pub dissolved_at: Option<u64>,
}

fn catalog() -> Definition {
    let model = Model {
        name: "large".to_owned(),
        size: 2,
        share: 1.0,
        pace: 1.0,
        load_ms: 500,
        warm_ms: 500,
    };
    let engine = Engine {
        slots: 26,
        models: vec![model],
        step_ms: 6.0,
        step_request_ms: 0.25,
        steps_per_pass: 5,
        read_per_s: 46_000.0,
        loads_per_s: 4.0,
        loads_at_once: 6,
        open_ms: 300,
        mean_prompt: 1_076.0,
        mean_answer: 116.0,
        memory_tokens: None,
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
        accounts: None,
    }
}

fn core(now: u64, hard_state: HardState, records: Vec<consensus::Record>) -> Core {
    let recovery = Recovery {
        hard_state,
        snapshot: Snapshot {
            index: 0,
            term: 0,
            voters: vec!["a".to_owned()],
            learners: Vec::new(),
            state: String::new(),
        },
        records,
    };
    let timing = Timing {
        voters: 1,
        ..Timing::default()
    };
    let now = Duration::from_millis(now);
    Core::new("a", timing, consensus::Timing::default(), recovery, now, 7)
}

impl System {
    /// System without a group.
    pub fn start() -> Self {
        let vm = |number: u64| Vm {
            id: format!("vm{number}"),
            incarnation: 1,
            sequence: 0,
            membership: None,
            next_heartbeat_at: 0,
            last_heartbeat_at: 0,
            silence: (0, 0),
            is_draining: false,
            reply: None,
        };
        let mut system = System {
            now: 0,
            core: core(0, HardState::default(), Vec::new()),
            records: Vec::new(),
            hard_state: HardState::default(),
            vms: vec![vm(0), vm(1)],
            orders: Vec::new(),
            open_delay: None,
            late_orders: Vec::new(),
            first_late: None,
            contacts: Vec::new(),
            answers_end: 0,
            last_event_at: 0,
            is_cut: false,
            lost_at: None,
            is_head_refusing: false,
            orders_after_loss: Vec::new(),
            dissolved_at: None,
        };
        system.advance_to(2_000);
        system
    }

    /// System whose group is open, with answers in progress from now on.
    pub fn with_open_group() -> Self {
        let mut system = System::start();
        system.adopt_catalog();
        while !system.vms.iter().any(Vm::serves) {
            assert!(system.now < 30_000, "no group has opened");
            system.advance();
        }
        system.advance_to(system.now + 3 * HEARTBEAT_MS);
        system.answers_end = system.now + ANSWER_MS;
        system
    }

    /// Submits the catalog, so that the VMs form a group.
    pub fn adopt_catalog(&mut self) {
        self.call(Call::Adopt(Box::new(Document::new("{}", &catalog()))));
    }

    pub fn head(&self) -> usize {
        let rank = |vm: &Vm| vm.membership.as_ref().map(|m| m.rank);
        let head = self.vms.iter().position(|vm| rank(vm) == Some(0));
        head.expect("a head")
    }

    /// Epoch of the first group that was ordered to open late.
    pub fn first_epoch(&self) -> Option<u64> {
        self.first_late
    }

    /// Whether an order to open is on its way.
    pub fn is_open_ordered(&self) -> bool {
        !self.late_orders.is_empty()
    }

    /// Pauses a VM for `length`, beginning `phase` after its last heartbeat (both in milliseconds).
    pub fn pause(&mut self, vm: usize, phase: u64, length: u64) {
        let last = self.vms[vm].last_heartbeat_at;
        while self.vms[vm].last_heartbeat_at == last {
            self.advance();
        }
        self.advance_to(self.now + phase);
        self.answers_end = self.now + ANSWER_MS;
        self.vms[vm].silence = (self.now, self.now + length);
    }

    pub fn advance_to(&mut self, until: u64) {
        while self.now < until {
            self.advance();
        }
    }

    /// Replaces the controller by one that knows only what is on the disk.
    pub fn restart_controller(&mut self) {
        self.core = core(self.now, self.hard_state.clone(), self.records.clone());
    }

    pub fn call(&mut self, call: Call) {
        self.step(Event::Call { ticket: 1, call });
    }

    fn step(&mut self, event: Event) {
        for action in self.core.step(Duration::from_millis(self.now), event) {
            match action {
                Action::Consensus(consensus::Action::SaveHardState(hard_state)) => {
                    self.hard_state = hard_state;
                }
                Action::Consensus(consensus::Action::SaveRecords(records)) => {
                    let first = records[0].index;
                    self.records.retain(|r| r.index < first);
                    self.records.extend(records);
                }
                Action::Order(order) => {
                    if self.lost_at.is_some() {
                        self.orders_after_loss.push(order.vm.clone());
                    }
                    let vm = self.vms.iter().find(|vm| vm.id == order.vm);
                    let reply = vm.and_then(|vm| vm.reply);
                    let delay = self.open_delay.filter(|_| order.task == Task::Open);
                    match reply {
                        _ if delay.is_some() => {
                            let vm = order.vm.clone();
                            self.first_late.get_or_insert(order.epoch);
                            self.late_orders
                                .extend(delay.map(|d| (self.now + d, order.clone())));
                            self.contacts
                                .push(contact(self.now, &vm, Reply::Unclear, Some(order)));
                        }
                        Some(reply) => {
                            let vm = order.vm.clone();
                            self.contacts.push(contact(self.now, &vm, reply, Some(order)));
                        }
                        None => self.orders.push(order),
                    }
                }
                Action::Probe(probe) => {
                    let vm = self.vms.iter().find(|vm| vm.id == probe.vm);
                    let reply = vm.and_then(|vm| vm.reply).unwrap_or(Reply::Accepted);
                    self.contacts.push(contact(self.now, &probe.vm, reply, None));
                }
                Action::Telemetry(Telemetry::Lost(..)) => self.lost_at = Some(self.now),
                _ => {}
            }
        }
    }

    pub fn advance(&mut self) {
        self.now += STEP_MS;
        let now = self.now;
        let (ready, waiting): (Vec<Order>, Vec<Order>) = std::mem::take(&mut self.orders)
            .into_iter()
            .partition(|o| self.vms.iter().any(|vm| vm.id == o.vm && !vm.is_silent(now)));
        self.orders = waiting;
        for order in ready {
            self.carry_out(&order);
            let vm = order.vm.clone();
            self.contacts
                .push(contact(now, &vm, Reply::Answered, Some(order)));
        }
        let (due, late): (Vec<_>, Vec<_>) = std::mem::take(&mut self.late_orders)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.late_orders = late;
        for (_, order) in due {
            self.carry_out(&order);
        }
        for contact in std::mem::take(&mut self.contacts) {
            self.step(Event::Contact(contact));
        }
        let has_answers = now < self.answers_end;
        for vm in self.vms.iter_mut().filter(|vm| !vm.is_silent(now)) {
            let closing = vm.membership.as_mut().filter(|m| m.stage == Stage::Closing);
            if let Some(membership) = closing.filter(|_| !has_answers) {
                membership.stage = Stage::Ready;
                vm.next_heartbeat_at = now;
            }
        }
        for i in 0..self.vms.len() {
            self.send_heartbeat(i);
        }
        let is_served = self.vms.iter().any(Vm::serves)
            && self
                .vms
                .iter()
                .all(|vm| vm.membership.is_some() && !vm.is_silent(now));
        if is_served {
            self.last_event_at = now;
        }
        self.step(Event::Tick);
        self.send_digest(has_answers);
        if self.lost_at.is_some() && self.core.state().groups.is_empty() {
            self.dissolved_at.get_or_insert(now);
        }
    }

    fn send_digest(&mut self, has_answers: bool) {
        let Some(head) = self
            .core
            .state()
            .groups
            .values()
            .next()
            .map(|g| g.head().id.clone())
        else {
            return;
        };
        let silent_ms = self.now - self.last_event_at;
        let refused = BTreeMap::from([(head.clone(), 1)]);
        let served = BTreeMap::from([(head.clone(), silent_ms <= STALLED_MS)]);
        let digest = Digest {
            gateways: vec!["g".to_owned()],
            served: if silent_ms < SERVED_MS {
                served
            } else {
                BTreeMap::new()
            },
            stalled: if has_answers && silent_ms > STALLED_MS {
                vec![head]
            } else {
                Vec::new()
            },
            refused: if self.is_head_refusing {
                refused
            } else {
                BTreeMap::new()
            },
            ..Digest::default()
        };
        self.call(Call::Digest(Box::new(digest)));
    }

    fn carry_out(&mut self, order: &Order) {
        let now = self.now;
        let has_answers = now < self.answers_end;
        let Some(vm) = self.vms.iter_mut().find(|vm| vm.id == order.vm) else {
            return;
        };
        vm.next_heartbeat_at = now;
        if let Task::Join { members, .. } = &order.task {
            let rank = members.iter().position(|m| *m == vm.id).expect("a member");
            vm.membership = Some(Membership {
                group: format!("g{}", order.epoch),
                epoch: order.epoch,
                rank: rank as u64,
                stage: Stage::Ready,
            });
            return;
        }
        let Some(membership) = vm.membership.as_mut().filter(|m| m.epoch == order.epoch) else {
            return;
        };
        match &order.task {
            Task::Open => membership.stage = Stage::Open,
            Task::Close if membership.stage == Stage::Open => membership.stage = Stage::Closing,
            Task::Leave => {
                vm.membership = None;
                self.is_cut |= has_answers;
            }
            _ => {}
        }
    }

    fn send_heartbeat(&mut self, i: usize) {
        let now = self.now;
        let vm = &mut self.vms[i];
        if vm.is_silent(now) || now < vm.next_heartbeat_at {
            return;
        }
        vm.next_heartbeat_at = now + HEARTBEAT_MS;
        vm.last_heartbeat_at = now;
        vm.sequence += 1;
        let announcement = self.announcement(i);
        self.call(Call::Announce(Box::new(announcement)));
    }

    /// Latest heartbeat of a VM.
    pub fn announcement(&self, i: usize) -> Announcement {
        let vm = &self.vms[i];
        Announcement {
            id: vm.id.clone(),
            incarnation: vm.incarnation,
            sequence: vm.sequence,
            service: "engine".to_owned(),
            address: format!("127.0.0.1:{}", 1_000 + i),
            zone: "z".to_owned(),
            domain: "d".to_owned(),
            slots: 26,
            draining: vm.is_draining,
            cold_ms: 0,
            staged: vec!["large".to_owned()],
            membership: vm.membership.clone(),
        }
    }
}

fn contact(now: u64, vm: &str, reply: Reply, order: Option<Order>) -> Contact {
    Contact {
        vm: vm.to_owned(),
        incarnation: 1,
        begun: Duration::from_millis(now),
        reply,
        order,
    }
}
