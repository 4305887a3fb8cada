//! VMs that leave just before the leader changes.

mod controllers;

use heatherramp::domain::catalog::Definition;
use heatherramp::domain::catalog::Limits;
use heatherramp::domain::catalog::Service;
use heatherramp::domain::fleet::Announcement;
use heatherramp::domain::fleet::Call;
use heatherramp::domain::fleet::Command;
use heatherramp::domain::fleet::Document;
use heatherramp::domain::fleet::Event;
use heatherramp::domain::fleet::State;

use controllers::Fleet;
use controllers::STEP_MS;

const VM: &str = "desk0";
const LEAVE_TICKET: u64 = 77;

fn catalog() -> Definition {
    Definition {
        version: 1,
        routes: Vec::new(),
        services: vec![Service {
            name: "desk".to_owned(),
            health_path: "/".to_owned(),
            max_connections: 100,
            cold_ms: 0,
            cold_rate: 0.0,
            engine: None,
        }],
        limits: Limits::default(),
        accounts: None,
    }
}

fn announcement(incarnation: u64, sequence: u64) -> Announcement {
    Announcement {
        id: VM.to_owned(),
        incarnation,
        sequence,
        service: "desk".to_owned(),
        address: "127.0.0.1:1000".to_owned(),
        zone: "z".to_owned(),
        domain: String::new(),
        slots: 4,
        draining: false,
        cold_ms: 0,
        staged: Vec::new(),
        membership: None,
    }
}

fn is_target(fleet: &Fleet) -> bool {
    let leader = fleet.leader().map(|leader| fleet.cores[leader].targets());
    leader.is_some_and(|targets| targets.iter().any(|t| t.id == VM))
}

/// Fleet whose leader names the VM as a target, and the controller whose relay the VM sends heartbeats to.
fn fleet_with_target() -> (Fleet, usize) {
    let mut fleet = Fleet::start(3);
    let leader = fleet.leader().expect("a leader");
    let document = Document::new("{}", &catalog());
    let call = Call::Adopt(Box::new(document));
    fleet.step(leader, Event::Call { ticket: 70, call });
    let relay = (leader + 1) % 3;
    fleet.advance_by(200);
    fleet.announce(relay, announcement(5, 1));
    fleet.advance_until(is_target);
    (fleet, relay)
}

/// Guards against a VM that has left, and is named as a target again by the next leader.
#[test]
fn a_vm_that_has_left_is_no_target_of_the_next_leader() {
    for delay_ms in (0..1_000).step_by(100) {
        let (mut fleet, relay) = fleet_with_target();
        let leader = fleet.leader().expect("a leader");
        fleet.advance_by(delay_ms);
        fleet.announce(relay, announcement(5, 2));
        fleet.advance_by(40);
        let call = Call::Leave { id: VM.to_owned() };
        fleet.step(
            leader,
            Event::Call {
                ticket: LEAVE_TICKET,
                call,
            },
        );
        fleet.advance_until(|fleet| fleet.done.contains(&LEAVE_TICKET));
        assert!(!is_target(&fleet));
        fleet.is_up[leader] = false;
        let until = fleet.now + 16_000;
        while fleet.now < until {
            fleet.advance();
            assert!(!is_target(&fleet), "at {} ms, delay {delay_ms}", fleet.now);
        }
        // A later start of the same VM is a target again.
        fleet.announce(relay, announcement(6, 1));
        fleet.advance_until(is_target);
    }
}

/// Guards against a VM that has said that it drains, and is named as a target again by the next leader, which hears an
/// earlier heartbeat of it first.
#[test]
fn a_vm_that_drains_is_no_target_of_the_next_leader() {
    for delay_ms in (0..1_000).step_by(100) {
        let (mut fleet, relay) = fleet_with_target();
        let leader = fleet.leader().expect("a leader");
        fleet.advance_by(delay_ms);
        fleet.announce(relay, announcement(5, 2));
        fleet.advance_by(40);
        let draining = Announcement {
            draining: true,
            ..announcement(5, 3)
        };
        let call = Call::Announce(Box::new(draining));
        let ticket = LEAVE_TICKET;
        fleet.step(leader, Event::Call { ticket, call });
        fleet.advance_until(|fleet| fleet.done.contains(&LEAVE_TICKET));
        assert!(!is_target(&fleet));
        fleet.is_up[leader] = false;
        let until = fleet.now + 16_000;
        while fleet.now < until {
            fleet.advance();
            assert!(!is_target(&fleet), "at {} ms, delay {delay_ms}", fleet.now);
        }
        // A later start of the same VM is a target again.
        fleet.announce(relay, announcement(6, 1));
        fleet.advance_until(is_target);
    }
}

/// A leader that does not know the VM yet cannot keep it from being named again, so it does not acknowledge.
#[test]
fn the_departure_of_a_vm_that_a_new_leader_does_not_know_yet_is_not_acknowledged() {
    let (mut fleet, _) = fleet_with_target();
    let call = || Call::Leave {
        id: "unknown".to_owned(),
    };
    let leader = fleet.leader().expect("a leader");
    fleet.is_up[leader] = false;
    fleet.advance_until(|fleet| fleet.leader().is_some_and(|l| l != leader));
    let next = fleet.leader().expect("a leader");
    fleet.step(
        next,
        Event::Call {
            ticket: LEAVE_TICKET,
            call: call(),
        },
    );
    fleet.advance_by(5 * STEP_MS);
    assert!(!fleet.done.contains(&LEAVE_TICKET));
    fleet.advance_by(4_000);
    let ticket = LEAVE_TICKET + 1;
    fleet.step(next, Event::Call { ticket, call: call() });
    fleet.advance_until(|fleet| fleet.done.contains(&ticket));
}

/// Guards against an acknowledgement that waits for another record than the one that removes the VM.
#[test]
fn a_vm_that_leaves_beside_other_changes_is_no_target_once_that_is_acknowledged() {
    let (mut fleet, _) = fleet_with_target();
    let leader = fleet.leader().expect("a leader");
    // The record that lists another VM is proposed, and not committed yet.
    let other = Announcement {
        id: "desk1".to_owned(),
        address: "127.0.0.1:1001".to_owned(),
        ..announcement(5, 1)
    };
    let call = Call::Announce(Box::new(other));
    fleet.step(leader, Event::Call { ticket: 71, call });
    fleet.now += 5 * STEP_MS;
    fleet.step(leader, Event::Tick);
    let call = Call::Leave { id: VM.to_owned() };
    let ticket = LEAVE_TICKET;
    fleet.step(leader, Event::Call { ticket, call });
    assert!(
        !fleet.done.contains(&LEAVE_TICKET),
        "acknowledged before any commit"
    );
    while !fleet.done.contains(&LEAVE_TICKET) {
        fleet.advance();
    }
    let state = fleet.cores[leader].state();
    assert!(state.listed.contains_key("desk1"));
    assert!(!state.listed.contains_key(VM));
}

/// The number of recorded departures is bounded, and their part of a snapshot.
#[test]
fn the_oldest_departures_are_forgotten() {
    let mut state = State::default();
    let without = serde_json::to_string(&state).expect("encoded").len();
    for index in 1..=3_000_u64 {
        let command = Command::Unlist {
            id: format!("i-{index:010x}"),
            left: Some(1_700_000_000_000 + index),
            draining: None,
        };
        state.apply(index, &command);
    }
    assert_eq!(state.departed.len(), 1_024);
    assert!(state.departed.contains_key("i-0000000bb8"), "the latest one");
    let bytes = serde_json::to_string(&state).expect("encoded").len() - without;
    println!("{bytes} bytes of a snapshot");
    assert!(bytes < 64 << 10, "{bytes} bytes");
}
