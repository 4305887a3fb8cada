//! Choice among the replicas that have room.

use super::Call;
use super::Replica;

/// Load above the mean that a replica with the cached prefix may have, in percent.
const AFFINITY_SLACK_PERCENT: usize = 25;

/// Chooses a replica for `call` among `open` ones.
///
/// The replica that has seen the prefix is taken while its load is within the
/// bound; else the one with the smallest part of its limit in use. Slow replicas
/// and the one that failed before are taken only when no other has room.
pub fn pick<'a>(call: &Call, zone: &str, open: &[&'a Replica]) -> Option<&'a Replica> {
    let with_room: Vec<&Replica> = open.iter().copied().filter(|r| r.room() > 0).collect();
    let good: Vec<&Replica> = with_room
        .iter()
        .copied()
        .filter(|r| !is_second_choice(call, r))
        .collect();
    let candidates = if good.is_empty() { with_room } else { good };
    if call.prefix_hash != 0
        && let Some(home) = home(call.prefix_hash, &candidates)
    {
        return Some(home);
    }
    let rank = |r: &&Replica| {
        let used = r.load() * 1000 / r.ramp.limit().max(1);
        (used, r.group.zone != zone, r.group.id)
    };
    candidates.into_iter().min_by_key(rank)
}

fn is_second_choice(call: &Call, replica: &Replica) -> bool {
    replica.straggler.is_marked() || call.avoid == Some(replica.group.id)
}

/// Replica for a prefix by rendezvous hashing, with bounded load.
fn home<'a>(prefix: u64, candidates: &[&'a Replica]) -> Option<&'a Replica> {
    let total: usize = candidates.iter().map(|r| r.load()).sum();
    let mean = (total + 1).div_ceil(candidates.len().max(1));
    let bound = mean + mean * AFFINITY_SLACK_PERCENT / 100 + 1;
    let within = candidates.iter().filter(|r| r.load() < bound);
    let weight = |r: &&&Replica| xxhash_rust::xxh3::xxh3_64_with_seed(&r.group.id.to_le_bytes(), prefix);
    within.max_by_key(weight).copied()
}
