//! Randomized simulation of five controllers of which one at a time is cut off from the others, while
//! operators go on to call all of them. Messages overtake each other.
//!
//! Invariants: an acknowledged change is never lost, no read returns an older version, and changes are
//! accepted again after the last cut.
//!
//! `HEATHERRAMP_RUNS` sets the number of runs and `HEATHERRAMP_SEED` the first seed.

mod voting;

use rand::Rng;

use voting::NODE_COUNT;
use voting::Simulation;
use voting::run_count_and_first_seed;

/// Runs unless the environment says otherwise.
const RUNS: u64 = 40;

/// Time in which a majority elects a leader and accepts changes again.
const RECOVERY_MS: u64 = 12_000;

/// Cuts one node off, mostly the leader, and submits a change to it.
fn cut_one(simulation: &mut Simulation) {
    let any = simulation.rng.random_range(0..NODE_COUNT);
    let leader = simulation.leader();
    let index = leader.filter(|_| simulation.rng.random_bool(0.8)).unwrap_or(any);
    let length_ms = simulation.rng.random_range(500..1_500);
    simulation.cut(index, length_ms);
    let submitted_at = simulation.now + simulation.rng.random_range(1..200);
    while simulation.now < submitted_at {
        simulation.advance();
    }
    simulation.submit(index);
}

/// Guards against a change that is acknowledged although another leader's record took its place in the log.
#[test]
fn acknowledged_changes_survive_short_cuts_of_the_leader() {
    let (runs, first_seed) = run_count_and_first_seed(RUNS);
    for seed in first_seed..first_seed + runs {
        let mut simulation = Simulation::new(seed);
        simulation.step_ms = 5;
        simulation.max_delay_steps = 4;
        while simulation.now < 30_000 {
            let is_whole = (0..NODE_COUNT).all(|i| !simulation.is_cut(i));
            if simulation.now > 4_000 && is_whole && simulation.rng.random_bool(0.01) {
                cut_one(&mut simulation);
            }
            simulation.advance();
        }
        simulation.assert_accepts_changes(seed, RECOVERY_MS);
    }
}
