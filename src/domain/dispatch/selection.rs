//! Selection of a replica for a call, among those with free slots.

use super::Call;
use super::Replica;

/// Load above the mean up to which prefix affinity is honoured, in percent.
const AFFINITY_SLACK_PERCENT: usize = 25;

/// Selects a replica for `call` among the `open` ones; `None` when all are full.
///
/// Calls with the same prefix hash go to the same replica, so that its prefix cache is
/// reused; while its load is too far above the mean (see `AFFINITY_SLACK_PERCENT`), they go to
/// the next one in the order of the hash. Other calls go to the replica with the smallest fraction
/// of its limit in use; a tie goes to a replica in `zone`. Stragglers and the replica to avoid
/// are used only when no other has a free slot.
pub fn select_replica<'a>(call: &Call, zone: &str, open: &[&'a Replica]) -> Option<&'a Replica> {
    let available: Vec<&Replica> = open.iter().copied().filter(|r| r.free_slots() > 0).collect();
    let preferred: Vec<&Replica> = available
        .iter()
        .copied()
        .filter(|r| !is_fallback(call, r))
        .collect();
    let candidates = if preferred.is_empty() {
        available
    } else {
        preferred
    };
    if call.prefix_hash != 0
        && let Some(replica) = affinity_replica(call.prefix_hash, &candidates)
    {
        return Some(replica);
    }
    let cost = |r: &&Replica| {
        let used_permille = r.load() * 1000 / r.ramp.limit().max(1);
        (used_permille, r.group.zone != zone, r.group.id)
    };
    candidates.into_iter().min_by_key(cost)
}

/// Whether the replica is used only when no other has a free slot.
fn is_fallback(call: &Call, replica: &Replica) -> bool {
    replica.straggler.is_marked() || call.avoid == Some(replica.group.id)
}

/// Replica for a prefix by rendezvous hashing with bounded loads.
fn affinity_replica<'a>(prefix_hash: u64, candidates: &[&'a Replica]) -> Option<&'a Replica> {
    let total: usize = candidates.iter().map(|r| r.load()).sum();
    // The mean includes the call to be placed.
    let mean = (total + 1).div_ceil(candidates.len().max(1));
    let bound = mean + mean * AFFINITY_SLACK_PERCENT / 100 + 1;
    let within_bound = candidates.iter().filter(|r| r.load() < bound);
    let weight = |r: &&&Replica| xxhash_rust::xxh3::xxh3_64_with_seed(&r.group.id.to_le_bytes(), prefix_hash);
    within_bound.max_by_key(weight).copied()
}
