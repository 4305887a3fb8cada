//! Randomized simulation of five controllers whose log starts with three seed voters. Controllers
//! lose power, some also their disks, and are replaced as voters by others.
//!
//! Invariants: an acknowledged change is never lost, no read returns an older version, and changes
//! are accepted again after every fault in which no more disks are lost than the log tolerates.
//!
//! `HEATHERRAMP_RUNS` sets the number of runs and `HEATHERRAMP_SEED` the first seed.

mod voting;

use rand::Rng;

use voting::CATCH_UP_MS;
use voting::NODE_COUNT;
use voting::Simulation;
use voting::run_count_and_first_seed;

/// Runs unless the environment says otherwise.
const RUNS: u64 = 40;

/// Runs one seed up to and beyond a final fault, which `prepare` may precede with another one.
fn run_with_final_fault(seed: u64, prepare: impl Fn(&mut Simulation)) {
    let mut simulation = Simulation::new(seed);
    while simulation.now < 4_000 {
        simulation.advance();
    }
    // Operators call any controller; one of these calls reaches the leader.
    simulation.submit_to_all_nodes();
    while simulation.now < 5_000 {
        simulation.advance();
    }
    let trace = &simulation.trace;
    assert!(
        simulation.acknowledged > 0,
        "seed {seed}: no change was accepted: {trace:#?}"
    );
    while simulation.now < 40_000 {
        simulation.inject_fault();
        simulation.advance();
    }
    while simulation.lost_nodes() > 0 {
        simulation.advance();
    }
    prepare(&mut simulation);
    simulation.inject_final_fault();
    let before = simulation.acknowledged;
    let until = simulation.now + 12_000;
    while simulation.now < until {
        simulation.advance();
    }
    let trace = &simulation.trace;
    assert!(
        simulation.acknowledged > before,
        "seed {seed}: nothing was accepted after the final fault: {trace:#?}"
    );
}

#[test]
fn acknowledged_changes_survive_disk_losses_and_changes_are_accepted_again() {
    let (runs, first_seed) = run_count_and_first_seed(RUNS);
    for seed in first_seed..first_seed + runs {
        run_with_final_fault(seed, |_| {});
    }
}

/// The node that catches up loses its power with the others, although it counts as lost already.
#[test]
fn acknowledged_changes_survive_a_loss_of_power_while_a_wiped_node_catches_up() {
    let (runs, first_seed) = run_count_and_first_seed(RUNS);
    for seed in first_seed..first_seed + runs {
        run_with_final_fault(seed, |simulation| {
            let index = simulation.rng.random_range(0..NODE_COUNT);
            let off_ms = simulation.rng.random_range(50..1_000);
            simulation.power_off(index, off_ms, true);
            let until = simulation.now + simulation.rng.random_range(1..off_ms + CATCH_UP_MS);
            while simulation.now < until {
                simulation.advance();
            }
        });
    }
}

/// Guards against a core that is lost with two sound controllers of three: the vote of an empty one came too early, so
/// that its two identities outvoted the others when it lost its disk again.
#[test]
fn a_controller_that_loses_its_disk_twice_in_a_row_costs_no_quorum() {
    for seed in 1..=3 {
        for (victim_leads, running_ms) in [false, true]
            .into_iter()
            .flat_map(|leads| (0..2_000).step_by(40).map(move |ms| (leads, ms)))
        {
            let mut simulation = Simulation::new(seed);
            simulation.nodes.truncate(3);
            simulation.assert_accepts_changes(seed, 5_000);
            let leader = simulation.leader().expect("a leader");
            let victim = if victim_leads { leader } else { (leader + 1) % 3 };
            for off_ms in [1_000, 1_000] {
                simulation.power_off(victim, off_ms, true);
                let until = simulation.now + off_ms + running_ms;
                while simulation.now < until {
                    simulation.advance();
                }
            }
            simulation.assert_accepts_changes(seed, 12_000);
        }
    }
}
