//! Lost connections of which no gateway can tell whether the target's process has ended, from the report of a
//! gateway to the quarantine.

mod controllers;

use heatherramp::domain::fleet::Announcement;

use controllers::Fleet;
use controllers::ms;
use controllers::strings;

/// Time for which a process that has crashed is down.
const DOWN_MS: u64 = 2_000;
/// Interval between heartbeats.
const HEARTBEAT_MS: u64 = 1_200;
const BAD: &str = "request-bad";

/// Only VM of a service without groups, whose heartbeats reach a controller.
struct Vm {
    id: String,
    incarnation: u64,
    sequence: u64,
    is_draining: bool,
}

impl Vm {
    fn new(id: &str) -> Self {
        Vm {
            id: id.to_owned(),
            incarnation: 1,
            sequence: 0,
            is_draining: false,
        }
    }

    fn announce(&mut self, fleet: &mut Fleet) {
        self.sequence += 1;
        let announcement = Announcement {
            id: self.id.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            service: "desk".to_owned(),
            address: "10.0.1.1:80".to_owned(),
            zone: "z".to_owned(),
            domain: String::new(),
            slots: 6,
            draining: self.is_draining,
            cold_ms: 0,
            staged: Vec::new(),
            membership: None,
        };
        fleet.announce(0, announcement);
    }

    /// Sends heartbeats for some time.
    fn run(&mut self, fleet: &mut Fleet, time_ms: u64) {
        for _ in 0..time_ms / HEARTBEAT_MS {
            self.announce(fleet);
            fleet.advance_by(HEARTBEAT_MS);
        }
    }

    fn restart(&mut self, fleet: &mut Fleet) {
        (self.incarnation, self.sequence) = (self.incarnation + 1, 0);
        self.announce(fleet);
    }
}

/// A gateway loses its connection to a VM while a request is in progress there.
fn lose(fleet: &mut Fleet, gateway: usize, vm: &Vm, mark: &str) {
    let now = ms(fleet.now);
    let observations = &mut fleet.gateways[gateway].observations;
    observations.record_undecided(now, now, &vm.id, vm.incarnation, &strings(&[mark]));
}

fn fleet_with_vm() -> (Fleet, Vm) {
    let mut fleet = Fleet::start(3);
    let mut vm = Vm::new("desk0");
    fleet.advance_by(1_000);
    vm.run(&mut fleet, 3_000);
    (fleet, vm)
}

/// Guards against evidence that is dropped where no gateway can tell whether a process has ended.
#[test]
fn a_restart_shows_that_lost_connections_were_crashes() {
    for down_ms in [0, 100, DOWN_MS, 10_000] {
        let (mut fleet, mut vm) = fleet_with_vm();
        for crash in 0..3 {
            assert!(fleet.quarantined().is_empty(), "after {crash} crashes");
            lose(&mut fleet, crash % 3, &vm, BAD);
            fleet.advance_by(down_ms);
            vm.restart(&mut fleet);
            fleet.advance_by(1_000);
        }
        assert_eq!(fleet.quarantined(), [BAD], "down for {down_ms} ms");
    }
}

#[test]
fn another_vm_at_the_same_address_shows_it_too() {
    let (mut fleet, mut vm) = fleet_with_vm();
    for crash in 0..3 {
        lose(&mut fleet, 0, &vm, BAD);
        fleet.advance_by(DOWN_MS);
        let incarnation = vm.incarnation;
        vm = Vm::new(&format!("desk{}", crash + 1));
        vm.incarnation = incarnation;
        vm.restart(&mut fleet);
        fleet.advance_by(1_000);
    }
    assert_eq!(fleet.quarantined(), [BAD]);
}

/// Guards against cut links that are taken for crashes.
#[test]
fn connections_lost_while_the_process_runs_on_condemn_nothing() {
    let (mut fleet, mut vm) = fleet_with_vm();
    for loss in 0..5 {
        lose(&mut fleet, loss % 3, &vm, BAD);
        fleet.advance_by(HEARTBEAT_MS / 2);
        vm.run(&mut fleet, 3 * HEARTBEAT_MS);
        vm.restart(&mut fleet);
        fleet.advance_by(1_000);
    }
    assert!(fleet.quarantined().is_empty(), "{:?}", fleet.quarantined());
}

#[test]
fn connections_lost_at_an_announced_end_condemn_nothing() {
    let (mut fleet, mut vm) = fleet_with_vm();
    for loss in 0..5 {
        vm.is_draining = true;
        vm.announce(&mut fleet);
        fleet.advance_by(HEARTBEAT_MS);
        lose(&mut fleet, loss % 3, &vm, BAD);
        fleet.advance_by(DOWN_MS);
        vm.is_draining = false;
        vm.restart(&mut fleet);
        fleet.advance_by(1_000);
    }
    assert!(fleet.quarantined().is_empty(), "{:?}", fleet.quarantined());
}

#[test]
fn connections_lost_to_a_process_that_stays_silent_condemn_nothing() {
    let (mut fleet, mut vm) = fleet_with_vm();
    for loss in 0..5 {
        lose(&mut fleet, loss % 3, &vm, BAD);
        fleet.advance_by(30_000);
        vm.restart(&mut fleet);
        fleet.advance_by(1_000);
    }
    assert!(fleet.quarantined().is_empty(), "{:?}", fleet.quarantined());
}

/// Guards against a connection to a new process that counts against the earlier one, which a gateway still lists.
#[test]
fn a_connection_to_a_later_process_is_no_evidence_of_the_end_of_the_earlier_one() {
    let (mut fleet, mut vm) = fleet_with_vm();
    for loss in 0..5 {
        let listed = Vm::new(&vm.id);
        let listed = Vm {
            incarnation: vm.incarnation,
            ..listed
        };
        vm.restart(&mut fleet);
        fleet.advance_by(1_000);
        lose(&mut fleet, loss % 3, &listed, BAD);
        vm.run(&mut fleet, 3 * HEARTBEAT_MS);
    }
    assert!(fleet.quarantined().is_empty(), "{:?}", fleet.quarantined());
}
