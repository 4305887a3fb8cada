//! Heartbeats from before a group that are the first that a new leader hears of its members.

mod paused;

use std::time::Duration;

use heatherramp::domain::fleet::Announcement;
use heatherramp::domain::fleet::Call;

use paused::HEARTBEAT_MS;
use paused::System;

/// Heartbeat from before the group.
fn early_heartbeat(system: &System, vm: usize) -> Announcement {
    Announcement {
        sequence: 1,
        membership: None,
        ..system.announcement(vm)
    }
}

/// Replaces the controller by one that hears `heartbeat` of a VM, and the VM's further ones from an interval later on;
/// returns when it has heard the first one.
fn restart_and_announce(system: &mut System, vm: usize, heartbeat: &Announcement) -> u64 {
    system.restart_controller();
    system.vms[vm].next_heartbeat_at = u64::MAX;
    while !system.core.leads(Duration::from_millis(system.now)) {
        system.advance();
    }
    // The leader applies what is on the disk.
    system.advance();
    let heard_at = system.now;
    system.call(Call::Announce(Box::new(heartbeat.clone())));
    system.vms[vm].next_heartbeat_at = heard_at + HEARTBEAT_MS;
    system.advance_to(heard_at + 3 * HEARTBEAT_MS);
    heard_at
}

/// Guards against members that are ordered to join the group that they are in already, which replaces their
/// membership: the head of an open group serves no more then.
#[test]
fn a_new_leader_orders_no_member_to_join_that_it_has_not_heard() {
    let mut system = System::with_open_group();
    let head = system.head();
    system.restart_controller();
    let restarted_at = system.now;
    while system.now < restarted_at + 3 * HEARTBEAT_MS {
        system.advance();
        assert!(
            system.vms[head].serves(),
            "after {} ms",
            system.now - restarted_at
        );
    }
}

/// Guards against a sound group that is closed, and whose answers are cut, for a heartbeat from before it.
#[test]
fn a_group_stays_open_when_a_new_leader_hears_an_early_heartbeat_first() {
    for vm in 0..2 {
        let mut system = System::with_open_group();
        let early = early_heartbeat(&system, vm);
        restart_and_announce(&mut system, vm, &early);
        assert_eq!(system.lost_at, None, "lost for an early heartbeat of member {vm}");
        assert!(!system.is_cut, "answers are cut");
        assert_eq!(system.core.state().groups.len(), 1);
    }
}

/// The same for a heartbeat of the process that the VM ran before.
#[test]
fn a_group_stays_open_when_a_new_leader_hears_an_earlier_process_first() {
    for vm in 0..2 {
        let mut system = System::with_open_group();
        let earlier = Announcement {
            incarnation: 0,
            sequence: 1_000,
            ..early_heartbeat(&system, vm)
        };
        restart_and_announce(&mut system, vm, &earlier);
        assert_eq!(system.lost_at, None, "lost for an earlier process of member {vm}");
        assert!(!system.is_cut, "answers are cut");
        assert_eq!(system.core.state().groups.len(), 1);
    }
}

/// Guards against members that are free for another group while their head still answers.
#[test]
fn a_closing_group_is_not_dissolved_for_an_early_heartbeat_of_its_head() {
    for incarnation in [0, 1] {
        let mut system = System::with_open_group();
        let head = system.head();
        let early = Announcement {
            incarnation,
            ..early_heartbeat(&system, head)
        };
        system.vms[1 - head].is_draining = true;
        system.vms[1 - head].next_heartbeat_at = system.now;
        system.advance_to(system.now + 100);
        assert!(system.lost_at.is_some(), "a member drains");
        let epochs: Vec<u64> = system.core.state().groups.keys().copied().collect();
        system.answers_end = system.now + 60_000;
        restart_and_announce(&mut system, head, &early);
        assert!(system.vms[head].serves(), "the head has left");
        assert!(!system.is_cut, "answers are cut");
        let state = system.core.state();
        assert_eq!(state.groups.keys().copied().collect::<Vec<_>>(), epochs);
    }
}

/// A member that has left is still missed at once: its heartbeat is later than those that the group was opened by.
#[test]
fn a_group_that_a_member_has_left_is_closed_by_a_new_leader_within_a_heartbeat() {
    for vm in 0..2 {
        let mut system = System::with_open_group();
        system.answers_end = system.now;
        system.vms[vm].membership = None;
        system.vms[vm].sequence += 1;
        let left = system.announcement(vm);
        let heard_at = restart_and_announce(&mut system, vm, &left);
        let lost_at = system.lost_at.expect("lost");
        assert!(lost_at < heard_at + HEARTBEAT_MS, "{}", lost_at - heard_at);
    }
}

/// Lets both VMs start again with an incarnation that is older than the one before.
fn set_clocks_back(system: &mut System) {
    for vm in &mut system.vms {
        vm.incarnation = 0;
        vm.membership = None;
        vm.sequence = 0;
    }
}

fn assert_in_use_again(system: &mut System) {
    let started_at = system.now;
    while !system.vms.iter().any(|vm| vm.serves()) {
        assert!(system.now < started_at + 25_000, "not in use again");
        system.advance();
    }
}

/// A VM whose clock was set back has an older incarnation than the log knows.
#[test]
fn a_vm_whose_clock_was_set_back_is_heard_by_a_new_leader_in_time() {
    let mut system = System::with_open_group();
    system.answers_end = system.now;
    system.restart_controller();
    set_clocks_back(&mut system);
    assert_in_use_again(&mut system);
}

/// Guards against a VM that is never used again: it has shut down, and its clock was set back when it started again.
#[test]
fn a_vm_that_had_left_is_used_again_after_its_clock_was_set_back() {
    for has_new_leader in [false, true] {
        let mut system = System::with_open_group();
        system.answers_end = system.now;
        for vm in ["vm0", "vm1"] {
            system.call(Call::Leave { id: vm.to_owned() });
        }
        set_clocks_back(&mut system);
        if has_new_leader {
            system.restart_controller();
        }
        assert_in_use_again(&mut system);
    }
}
