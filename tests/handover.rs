//! Randomized simulation of five controllers that are replaced one after the other: a successor starts first
//! and has time to catch up, then the old one shuts down, or is killed, and right after it two others lose
//! their disks.
//!
//! Invariants: an acknowledged change is never lost, no read returns an older version, and changes are
//! accepted again.
//!
//! `HEATHERRAMP_RUNS` sets the number of runs and `HEATHERRAMP_SEED` the first seed.

mod voting;

use rand::Rng;

use voting::CATCH_UP_MS;
use voting::Simulation;
use voting::run_count_and_first_seed;

/// Runs unless the environment says otherwise.
const RUNS: u64 = 40;

/// Time from the loss of the disks until changes have to be accepted again.
const RECOVERY_MS: u64 = 12_000;

fn advance_by(simulation: &mut Simulation, time_ms: u64) {
    let until = simulation.now + time_ms;
    while simulation.now < until {
        simulation.advance();
    }
}

/// Running nodes that were not added within the time to catch up, and do not stop.
fn sound_nodes(simulation: &Simulation) -> Vec<usize> {
    let is_sound = |i: &usize| {
        let node = &simulation.nodes[*i];
        node.core.is_some() && !node.is_stopping && node.lost_until <= simulation.now
    };
    (0..simulation.nodes.len()).filter(is_sound).collect()
}

fn pick(simulation: &mut Simulation) -> usize {
    let sound = sound_nodes(simulation);
    sound[simulation.rng.random_range(0..sound.len())]
}

/// Replaces `count` nodes at once; they shut down in an orderly way, or are killed.
fn replace(simulation: &mut Simulation, count: usize, is_planned: bool) {
    let originals = sound_nodes(simulation);
    for _ in 0..count {
        simulation.add_node();
    }
    let slack_ms = simulation.rng.random_range(100..2_000);
    advance_by(simulation, CATCH_UP_MS + slack_ms);
    let first = simulation.rng.random_range(0..originals.len());
    let old = (0..count).map(|i| originals[(first + i) % originals.len()]);
    for index in old.collect::<Vec<_>>() {
        if is_planned {
            simulation.stop(index);
        } else {
            simulation.end(index);
        }
        let pause_ms = simulation.rng.random_range(0..200);
        advance_by(simulation, pause_ms);
    }
    while simulation.nodes.iter().any(|n| n.is_stopping && !n.has_ended()) {
        simulation.advance();
    }
}

/// Two nodes lose their disks right after a change was acknowledged.
fn lose_two_disks(simulation: &mut Simulation) {
    let before = simulation.acknowledged;
    let until = simulation.now + 100;
    simulation.submit_to_all_nodes();
    while simulation.acknowledged == before && simulation.now < until {
        simulation.advance();
    }
    for _ in 0..2 {
        let index = pick(simulation);
        simulation.power_off(index, 1_000, true);
    }
}

fn run(seed: u64, is_planned: bool, max_at_once: usize, settle_ms: std::ops::Range<u64>) {
    let mut simulation = Simulation::new(seed);
    advance_by(&mut simulation, 6_000);
    simulation.submit_to_all_nodes();
    for _ in 0..3 {
        advance_by(&mut simulation, 2_000);
        let count = simulation.rng.random_range(1..=max_at_once);
        replace(&mut simulation, count, is_planned);
        let settle_ms = simulation.rng.random_range(settle_ms.clone());
        advance_by(&mut simulation, settle_ms);
        lose_two_disks(&mut simulation);
        advance_by(&mut simulation, 6_000);
        simulation.assert_accepts_changes(seed, RECOVERY_MS - 6_000);
    }
}

/// Guards against a log that has no quorum when two disks are lost right after a planned replacement.
#[test]
fn two_disks_may_be_lost_right_after_a_controller_has_shut_down_for_its_successor() {
    let (runs, first_seed) = run_count_and_first_seed(RUNS);
    for seed in first_seed..first_seed + runs {
        run(seed, true, 1, 20..1_000);
    }
}

/// As above, with two controllers that shut down at the same time.
#[test]
fn two_disks_may_be_lost_right_after_two_controllers_have_shut_down() {
    let (runs, first_seed) = run_count_and_first_seed(RUNS);
    for seed in first_seed..first_seed + runs {
        run(seed, true, 2, 20..1_000);
    }
}

/// Without notice, the successor takes the vote over after two elections, of a second each, and half a second
/// of silence: the first election may fail.
#[test]
fn two_disks_may_be_lost_soon_after_a_controller_was_killed_beside_its_successor() {
    let (runs, first_seed) = run_count_and_first_seed(RUNS);
    for seed in first_seed..first_seed + runs {
        run(seed, false, 1, 2_500..3_500);
    }
}

/// A controller that is started again with its disk has no successor, and needs none.
#[test]
fn a_controller_that_is_started_again_keeps_its_vote() {
    let (runs, first_seed) = run_count_and_first_seed(RUNS);
    for seed in first_seed..first_seed + runs {
        let mut simulation = Simulation::new(seed);
        advance_by(&mut simulation, 6_000);
        simulation.submit_to_all_nodes();
        advance_by(&mut simulation, 1_000);
        let index = pick(&mut simulation);
        let identity = simulation.nodes[index]
            .disk
            .identity
            .clone()
            .expect("an identity");
        simulation.stop(index);
        while !simulation.nodes[index].has_ended() {
            simulation.advance();
        }
        simulation.nodes[index].is_stopping = false;
        simulation.nodes[index].starts_at = simulation.now + 500;
        advance_by(&mut simulation, 6_000);
        // A further controller appears when the notice of the shutdown is no longer of interest.
        simulation.add_node();
        advance_by(&mut simulation, 6_000);
        let leader = simulation.leader().expect("a leader");
        let core = simulation.nodes[leader].core.as_ref().expect("running");
        let voters = core.node().voters();
        assert!(
            voters.contains(&identity),
            "seed {seed}: {voters:?} lack {identity}"
        );
    }
}
