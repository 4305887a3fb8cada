//! Randomized simulation of controllers whose disks are full for some seconds, one after the other.
//!
//! A controller whose disk refuses a write executes nothing that follows it, and events wait meanwhile. Afterwards each
//! controller must take changes again, and all must hold the same.
//!
//! `HEATHERRAMP_RUNS` sets the number of runs and `HEATHERRAMP_SEED` the first seed.

mod voting;

use std::time::Duration;

use rand::Rng;

use voting::CATCH_UP_MS;
use voting::PendingCall;
use voting::Simulation;
use voting::run_count_and_first_seed;

/// Time in which a change is acknowledged at any controller, by a caller that asks again each second.
const ACK_MS: u64 = 4_000;

/// Beside the full disks.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    Nothing,
    /// The machine with the full disk loses its power, or starts again.
    Restarts,
    /// A machine is cut from the other controllers; also the one with the full disk.
    Cuts,
}

/// Fills the disks of one machine after the other, while changes go on.
fn fill_disks_in_turn(simulation: &mut Simulation, trouble: Trouble) {
    for _ in 0..simulation.rng.random_range(5..15) {
        let index = simulation.rng.random_range(0..simulation.nodes.len());
        let length_ms = simulation.rng.random_range(1_000..6_000);
        simulation.fill_disk(index, length_ms);
        let until = simulation.now + length_ms;
        let trouble_at = simulation.now + simulation.rng.random_range(0..length_ms);
        let mut is_due = trouble != Trouble::Nothing && simulation.rng.random_bool(0.5);
        while simulation.now < until {
            if is_due && simulation.now >= trouble_at {
                is_due = false;
                match trouble {
                    Trouble::Restarts => simulation.power_off(index, 100, false),
                    _ => simulation.cut(index, 1_500),
                }
            }
            if simulation.now.is_multiple_of(200) {
                let any = simulation.rng.random_range(0..simulation.nodes.len());
                simulation.submit_through(any);
            }
            simulation.advance();
        }
        let pause_ms = simulation.rng.random_range(100..2_000);
        let until = simulation.now + pause_ms;
        while simulation.now < until {
            simulation.advance();
        }
    }
}

/// Asserts that a change is acknowledged at a node in time.
fn assert_takes_change(simulation: &mut Simulation, seed: u64, index: usize) {
    let until = simulation.now + ACK_MS;
    let before = simulation.last_submitted;
    while simulation.acknowledged <= before {
        assert!(
            simulation.now < until,
            "seed {seed}: no change is acknowledged at node {index}: {:#?}",
            simulation.trace
        );
        if simulation.now.is_multiple_of(1_000) || simulation.last_submitted == before {
            simulation.submit_through(index);
        }
        simulation.advance();
    }
}

/// Asserts that all nodes hold the latest acknowledged change in time.
fn assert_all_hold_the_same(simulation: &mut Simulation, seed: u64) {
    let expected = Some(simulation.acknowledged);
    let until = simulation.now + ACK_MS;
    let holds = |s: &Simulation| {
        let versions = s
            .nodes
            .iter()
            .map(|n| n.core.as_ref().and_then(|c| c.state().version()));
        versions.min().unwrap_or_default() >= expected
    };
    while !holds(simulation) {
        assert!(
            simulation.now < until,
            "seed {seed}: a node does not hold version {expected:?}: {:#?}",
            simulation.trace
        );
        simulation.advance();
    }
}

/// Asserts that the log has its voters again, and every node as a member.
fn assert_all_are_members(simulation: &Simulation, seed: u64) {
    let leader = simulation.leader().expect("a leader");
    let core = simulation.nodes[leader].core.as_ref().expect("a leader runs");
    let (voters, learners) = core.node().journal().members();
    let trace = &simulation.trace;
    assert_eq!(voters.len(), 5, "seed {seed}: {trace:#?}");
    let members = voters.len() + learners.len();
    assert_eq!(members, simulation.nodes.len(), "seed {seed}: {trace:#?}");
}

fn run(node_count: usize, trouble: Trouble) {
    let (runs, first_seed) = run_count_and_first_seed(10);
    for seed in first_seed..first_seed + runs {
        let mut simulation = Simulation::with_nodes(seed, node_count);
        while simulation.now < 5_000 {
            simulation.advance();
        }
        fill_disks_in_turn(&mut simulation, trouble);
        let until = simulation.now + CATCH_UP_MS;
        while simulation.now < until {
            simulation.advance();
        }
        // Nothing waits on a disk that has room.
        assert!(simulation.nodes.iter().all(|n| n.unsaved.is_empty()));
        for index in 0..node_count {
            assert_takes_change(&mut simulation, seed, index);
        }
        assert_all_hold_the_same(&mut simulation, seed);
        let now = Duration::from_millis(simulation.now);
        let leaders = simulation.nodes.iter().filter_map(|n| n.core.as_ref());
        assert_eq!(leaders.filter(|c| c.leads(now)).count(), 1, "seed {seed}");
        assert_all_are_members(&simulation, seed);
        let answered = |(_, call): &(usize, PendingCall)| !matches!(call, PendingCall::Forward(_));
        assert!(
            simulation.pending_calls.values().all(answered),
            "seed {seed}: a change stays unanswered"
        );
    }
}

/// Guards against changes that are refused or unanswered long after the last disk has room again.
#[test]
fn changes_are_taken_everywhere_after_disks_were_full_in_turn() {
    run(5, Trouble::Nothing);
}

/// The same with controllers that stand by for a vote and take it over.
#[test]
fn changes_are_taken_everywhere_although_voters_were_replaced_meanwhile() {
    run(7, Trouble::Nothing);
}

#[test]
fn changes_are_taken_everywhere_after_restarts_with_full_disks() {
    run(5, Trouble::Restarts);
    run(7, Trouble::Restarts);
}

#[test]
fn changes_are_taken_everywhere_after_cuts_beside_full_disks() {
    run(5, Trouble::Cuts);
    run(7, Trouble::Cuts);
}
