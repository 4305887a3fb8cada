//! Choice of a target with regard to the prompts that targets may still hold.

use super::balance::Criteria;
use super::tracker::Tracker;
use crate::domain::reuse::Candidate;

/// Target to prefer of those in `free`: the least loaded one, or one that holds the beginning of the request's prompt
/// if that costs less time. `load` is the number of requests in progress at a target, from all gateways.
///
/// A target in its cold start is not preferred: it is slower than its figures say.
pub(super) fn steer<'a>(
    criteria: &Criteria,
    free: &[&'a Tracker],
    least_loaded: Option<&'a Tracker>,
    load: impl Fn(&Tracker) -> u32,
) -> Option<&'a Tracker> {
    let plan = criteria.reuse.filter(|plan| plan.is_effective());
    let (Some(plan), Some(least_loaded)) = (plan, least_loaded) else {
        return least_loaded;
    };
    let is_warm_or_chosen = |t: &&&Tracker| !t.target.cold || std::ptr::eq(**t, least_loaded);
    let trackers: Vec<&Tracker> = free.iter().filter(is_warm_or_chosen).copied().collect();
    let to_candidate = |tracker: &&'a Tracker| Candidate {
        id: &tracker.target.id,
        incarnation: tracker.target.incarnation,
        load: load(tracker),
        slots: tracker.target.slots,
    };
    let candidates: Vec<Candidate> = trackers.iter().map(to_candidate).collect();
    let position = trackers.iter().position(|t| std::ptr::eq(*t, least_loaded))?;
    Some(trackers[plan.choose(&candidates, position, criteria.draw)])
}
