//! Heartbeats of the members of a group at a new leader.

mod paused;

use paused::HEARTBEAT_MS;
use paused::System;

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
