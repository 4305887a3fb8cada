//! Orders to open that their head carries out long after they were sent.

mod paused;

use heatherramp::domain::fleet::Stage;

use paused::System;

/// Time after which the order to open is carried out.
const LATE_MS: u64 = 12_000;
/// End of the time in which the head is out of the controller's reach.
const CUT_MS: u64 = 20_000;

/// Whether the first group has been dissolved; its VMs form another one at once.
fn is_dissolved(system: &System) -> bool {
    let groups = &system.core.state().groups;
    groups.keys().all(|epoch| Some(*epoch) != system.first_epoch())
}

/// System whose head gets an order to open late, and is out of reach from the order on.
fn system_with_late_order() -> System {
    let mut system = System::start();
    system.open_delay = Some(LATE_MS);
    system.adopt_catalog();
    while !system.is_open_ordered() {
        assert!(system.now < 30_000, "no head was ordered to open");
        system.advance();
    }
    let head = system.head();
    system.vms[head].silence = (system.now, system.now + CUT_MS);
    // Orders that follow come in time.
    system.open_delay = None;
    system
}

/// Guards against members that join another group while their former head, out of reach, carries an order to open
/// out late.
#[test]
fn a_group_is_not_dissolved_while_its_head_may_still_open() {
    let mut system = system_with_late_order();
    let ordered_at = system.now;
    let head = system.head();
    system.advance_to(ordered_at + CUT_MS - 100);
    assert!(system.lost_at.is_some(), "a silent head was not lost");
    assert!(system.vms[head].serves(), "the late order was not carried out");
    assert!(!is_dissolved(&system), "dissolved while its head is open");
    // The head is heard again and carries out the order to leave.
    system.advance_to(ordered_at + CUT_MS + 3_000);
    assert!(is_dissolved(&system), "not dissolved although its head has left");
}

/// The same at a leader that does not know the orders of the one before.
#[test]
fn a_new_leader_does_not_dissolve_a_group_whose_head_may_still_open() {
    let mut system = system_with_late_order();
    let ordered_at = system.now;
    system.advance_to(ordered_at + 200);
    system.restart_controller();
    system.advance_to(ordered_at + CUT_MS - 100);
    assert!(system.lost_at.is_some(), "a silent head was not lost");
    assert!(!is_dissolved(&system), "dissolved while its head may open");
    system.advance_to(ordered_at + CUT_MS + 3_000);
    assert!(is_dissolved(&system), "not dissolved although its head has left");
}

/// A head that was ordered to close is ready again, and an order that is still on its way opens it.
#[test]
fn members_stay_in_a_group_whose_head_was_closed_and_may_be_opened_again() {
    let mut system = System::start();
    system.adopt_catalog();
    // The head reports the first order's effect, and the second one stays on its way.
    system.open_delay = Some(LATE_MS);
    while !system.is_open_ordered() {
        system.advance();
    }
    let head = system.head();
    let membership = system.vms[head].membership.as_mut().expect("a membership");
    membership.stage = Stage::Open;
    system.vms[head].next_heartbeat_at = system.now;
    system.advance_to(system.now + 500);
    system.answers_end = system.now + 60_000;
    system.vms[1 - head].is_draining = true;
    system.vms[1 - head].next_heartbeat_at = system.now;
    system.advance_to(system.now + 100);
    system.vms[head].silence = (system.now, system.now + CUT_MS);
    let cut_at = system.now;
    system.advance_to(cut_at + CUT_MS - 100);
    assert!(!is_dissolved(&system), "dissolved while its head may be open");
    system.advance_to(cut_at + CUT_MS + 3_000);
    assert!(is_dissolved(&system), "not dissolved although its head has left");
}
