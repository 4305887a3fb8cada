//! Planner for free VMs: forms a group, or stages weights on a host.
//!
//! Loads from the weight store are the bottleneck: only a few run concurrently and each takes many
//! seconds, while a VM with staged weights joins in a tenth of that. Groups are therefore formed
//! from VMs with staged weights, and loads are started in this order:
//! 1. for free VMs, such as the survivors of a broken group, that lack one VM for a whole group,
//! 2. for a spare VM in each fabric domain that has groups and no spare, since a group can only be
//!    repaired with VMs of its own domain,
//! 3. for further groups that demand needs,
//! 4. for a spare of each other model in a domain,
//! 5. for all remaining VMs.
//!
//! A VM with the weights of one model loads those of another only where that completes a group of a model that is
//! clearly shorter of groups. A host keeps the weights of few models, so the VM is then lost to the first one.
//!
//! Before any traffic, loads are unlimited and do not slow each other down, so groups are also formed
//! from VMs without weights, and all load concurrently.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::domain::catalog::Engine;
use crate::domain::catalog::Model;

/// Fraction of the groups' time that demand should take at most.
const TARGET_UTILIZATION: f64 = 0.72;
/// Fraction of the groups' time that demand should take at most when VMs would otherwise be further
/// spares: twice the expected demand then fits.
const SURPLUS_UTILIZATION: f64 = 0.5;
/// Fraction of all VMs that demand is assumed to need until it is measured; models split it by their
/// configured shares.
const INITIAL_DEMAND_FRACTION: f64 = 0.53;
/// Cost of joining with staged weights, in loads; keeps the cost of a group above 0.
const JOIN_COST_LOADS: f64 = 0.3;
/// Difference between the shortages of two models from which on VMs of one are loaded with the weights of the other.
const CONVERSION_MARGIN: f64 = 0.2;
/// Multiple of the engine's `loads_at_once` up to which a load that completes a group may start.
const REPAIR_LOADS_FACTOR: f64 = 1.5;

/// Free VM that may join a group.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Candidate {
    /// Identifier of the VM.
    pub id: String,
    /// Fabric domain.
    pub domain: String,
    /// Models whose weights are on the VM's host.
    pub staged: Vec<String>,
    /// Model whose weights are being loaded onto the host.
    pub staging: Option<String>,
}

impl Candidate {
    fn is_ready(&self, model: &Model) -> bool {
        self.staging.is_none() && self.staged.contains(&model.name)
    }

    fn will_be_ready(&self, model: &Model) -> bool {
        match &self.staging {
            Some(staging) => *staging == model.name,
            None => self.staged.contains(&model.name),
        }
    }

    fn has_no_weights(&self) -> bool {
        self.staging.is_none() && self.staged.is_empty()
    }
}

/// Input of the planner for one service.
#[derive(Clone, Debug)]
pub struct Supply<'a> {
    /// Engine of the service.
    pub engine: &'a Engine,
    /// Free VMs of the service.
    pub candidates: Vec<Candidate>,
    /// Model and fabric domain of each group, open or forming.
    pub groups: Vec<(String, String)>,
    /// Number of usable VMs of the service, free or not.
    pub vm_count: usize,
    /// Measured demand for each model, as the number of groups that it would keep busy; empty while
    /// there is no measurement.
    pub demand: BTreeMap<String, f64>,
    /// Loads from the weight store in progress.
    pub loads_in_progress: usize,
    /// Whether requests have ever arrived; before that, loads are not limited.
    pub has_traffic: bool,
}

impl Supply<'_> {
    /// Changes the input as `decision` will, for the next decision.
    pub fn record(&mut self, decision: &Decision) {
        match decision {
            Decision::Form { model, members } => {
                let is_member = |c: &Candidate| members.iter().any(|m| m.id == c.id);
                let loads = members.iter().filter(|m| !m.staged.contains(model)).count();
                self.loads_in_progress += loads;
                let domain = members.first().map(|m| m.domain.clone()).unwrap_or_default();
                self.groups.push((model.clone(), domain));
                self.candidates.retain(|c| !is_member(c));
            }
            Decision::Stage { model, vm } => {
                self.loads_in_progress += 1;
                let staged = self.candidates.iter_mut().filter(|c| c.id == vm.id);
                staged.for_each(|c| c.staging = Some(model.clone()));
            }
        }
    }
}

/// Next step of a service towards its groups.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Form a group.
    Form {
        /// Model.
        model: String,
        /// Members, the head first.
        members: Vec<Candidate>,
    },
    /// Load weights onto a host.
    Stage {
        /// Model.
        model: String,
        /// VM whose host loads the weights.
        vm: Candidate,
    },
}

/// Free VMs of one fabric domain, considered for one model.
///
/// The counts are taken once, since at thousands of VMs counting anew for each comparison takes seconds.
struct Pool<'a> {
    model: &'a Model,
    domain: &'a str,
    vms: Vec<&'a Candidate>,
    /// VMs that can join with staged weights.
    ready: usize,
    /// VMs with the model's weights, loaded or loading.
    with_weights: usize,
    /// VMs that neither have nor load weights.
    without_weights: usize,
    /// Groups of the model in this domain.
    groups: usize,
    /// Groups of the model in all domains.
    all_groups: usize,
    /// Groups of the model that free VMs of all domains can form once their loads are done.
    coming_groups: usize,
}

impl Pool<'_> {
    /// VMs with the model's weights, loaded or loading, that remain when as many whole groups as
    /// possible are formed.
    fn spares(&self) -> usize {
        self.with_weights % self.model.size
    }

    /// VMs that spares lack for a whole group; none without any spare.
    fn missing(&self) -> Option<usize> {
        let spares = self.spares();
        (spares > 0).then(|| self.model.size - spares)
    }
}

/// Next decision for a service, if there is anything to do: a group that can be formed now, or else a
/// load in the order that the module describes.
pub fn next_decision(supply: &Supply) -> Option<Decision> {
    let pools = pools(supply);
    if let Some(pool) = best_pool(supply, &pools, TARGET_UTILIZATION, |p| p.ready >= p.model.size) {
        return Some(form_decision(pool, Candidate::is_ready));
    }
    let loads_at_once = supply.engine.loads_at_once.max(1);
    let may_start_load = !supply.has_traffic || supply.loads_in_progress < loads_at_once;
    let may_start_repair_load =
        may_start_load || (supply.loads_in_progress as f64) < loads_at_once as f64 * REPAIR_LOADS_FACTOR;
    if !supply.has_traffic {
        let has_enough_vms = |p: &Pool| p.ready + p.without_weights >= p.model.size;
        if let Some(pool) = best_pool(supply, &pools, TARGET_UTILIZATION, has_enough_vms) {
            return Some(form_decision(pool, |c, model| {
                c.is_ready(model) || c.has_no_weights()
            }));
        }
    }
    let available = |p: &Pool| p.without_weights + convertible(p, &pools, supply);
    let lacks_one_vm = |p: &Pool| p.missing() == Some(1) && available(p) > 0;
    if may_start_repair_load && let Some(pool) = best_pool(supply, &pools, TARGET_UTILIZATION, lacks_one_vm) {
        return stage_decision(pool).or_else(|| convert_decision(pool, &pools, supply));
    }
    if !may_start_load {
        return None;
    }
    let has_group = |p: &Pool| p.groups > 0;
    let has_spare = |domain: &str| {
        let in_domain = pools.iter().filter(|p| p.domain == domain);
        in_domain.into_iter().any(|p| p.spares() > 0)
    };
    let needs_spare = |p: &&Pool| p.spares() == 0 && p.without_weights > 0 && has_group(p);
    let first_spare_pools = pools.iter().filter(|p| needs_spare(p) && !has_spare(p.domain));
    if let Some(pool) = first_spare_pools.max_by_key(|p| p.model.size) {
        return stage_decision(pool);
    }
    let can_complete_group = |p: &Pool| p.spares() > 0 && p.spares() + p.without_weights >= p.model.size;
    let can_start_group = |p: &Pool| p.without_weights >= p.model.size;
    let pool = best_pool(supply, &pools, TARGET_UTILIZATION, can_complete_group);
    let pool = pool.or_else(|| best_pool(supply, &pools, TARGET_UTILIZATION, can_start_group));
    let further_spare_pool = || pools.iter().filter(needs_spare).max_by_key(|p| p.model.size);
    if let Some(pool) = pool.or_else(further_spare_pool) {
        return stage_decision(pool);
    }
    // VMs that would only be further spares form groups instead.
    if !supply.has_traffic {
        let has_surplus = |p: &Pool| p.without_weights > p.model.size;
        if let Some(pool) = best_pool(supply, &pools, SURPLUS_UTILIZATION, has_surplus) {
            return Some(form_decision(pool, |c, _| c.has_no_weights()));
        }
    }
    // A VM without weights cannot repair a group, so the remaining ones load weights as well. Among equals the model
    // with fewer groups comes first, of which each is a larger part.
    let group_vms_per_spare = |p: &Pool| {
        let per_spare = p.groups * p.model.size / (1 + p.spares());
        (per_spare, Reverse(p.all_groups))
    };
    let pool = pools
        .iter()
        .filter(|p| p.without_weights > 0)
        .max_by_key(|p| group_vms_per_spare(p));
    pool.and_then(stage_decision)
}

/// Fitting pool with the largest shortage of its model per load that a further group needs.
///
/// Ties go to the pool with the fewest groups of the model in its domain, so that spares remain
/// next to each group, then to the pool with the most VMs.
fn best_pool<'a, 'b>(
    supply: &Supply,
    pools: &'b [Pool<'a>],
    utilization: f64,
    fits: impl Fn(&Pool) -> bool,
) -> Option<&'b Pool<'a>> {
    let benefit_per_load = |p: &Pool| {
        let loads = p.model.size.saturating_sub(p.ready) as f64;
        shortage(supply, p, utilization) / (JOIN_COST_LOADS + loads)
    };
    let wanted = pools.iter().filter(|p| fits(p) && benefit_per_load(p) > 0.0);
    wanted.max_by(|a, b| {
        let by_groups = b.groups.cmp(&a.groups);
        let by_vms = a.vms.len().cmp(&b.vms.len());
        benefit_per_load(a)
            .total_cmp(&benefit_per_load(b))
            .then(by_groups)
            .then(by_vms)
    })
}

fn form_decision(pool: &Pool, may_join: impl Fn(&Candidate, &Model) -> bool) -> Decision {
    let mut members: Vec<&Candidate> = pool.vms.clone();
    members.retain(|c| may_join(c, pool.model));
    // VMs with the weights of several models are kept for groups that cannot do without them.
    members.sort_by_key(|c| (!c.is_ready(pool.model), c.staged.len()));
    members.truncate(pool.model.size);
    Decision::Form {
        model: pool.model.name.clone(),
        members: members.into_iter().cloned().collect(),
    }
}

fn stage_decision(pool: &Pool) -> Option<Decision> {
    let vm = pool.vms.iter().find(|c| c.has_no_weights())?;
    Some(Decision::Stage {
        model: pool.model.name.clone(),
        vm: (*vm).clone(),
    })
}

/// Load onto a VM that has the weights of the least short of the other models.
fn convert_decision(pool: &Pool, pools: &[Pool], supply: &Supply) -> Option<Decision> {
    let shortage_of = |p: &&Pool| coming_shortage(supply, p);
    let donors = donors(pool, pools, supply);
    let donor = donors.min_by(|a, b| shortage_of(a).total_cmp(&shortage_of(b)))?;
    let vm = donor
        .vms
        .iter()
        .find(|c| is_convertible(c, pool.model, donor.model))?;
    Some(Decision::Stage {
        model: pool.model.name.clone(),
        vm: (*vm).clone(),
    })
}

/// Pools of the same domain whose model is less short of groups, with VMs that may load the weights of `pool`.
fn donors<'a, 'b>(
    pool: &'b Pool<'a>,
    pools: &'b [Pool<'a>],
    supply: &'b Supply,
) -> impl Iterator<Item = &'b Pool<'a>> {
    let shortage_of = |p: &Pool| coming_shortage(supply, p);
    pools.iter().filter(move |p| {
        p.domain == pool.domain
            && shortage_of(p) + CONVERSION_MARGIN < shortage_of(pool)
            && p.vms.iter().any(|c| is_convertible(c, pool.model, p.model))
    })
}

/// VMs that may load the weights of `pool` instead of those that they hold.
fn convertible(pool: &Pool, pools: &[Pool], supply: &Supply) -> usize {
    let count = |p: &Pool| {
        let vms = p.vms.iter();
        vms.filter(|c| is_convertible(c, pool.model, p.model)).count()
    };
    donors(pool, pools, supply).map(count).sum()
}

/// Whether a VM holds the weights of `from`, but not those of `to`, and loads none.
fn is_convertible(vm: &Candidate, to: &Model, from: &Model) -> bool {
    vm.staging.is_none() && vm.staged.contains(&from.name) && !vm.staged.contains(&to.name)
}

/// Same as [`shortage`], with the groups that loads in progress will allow.
fn coming_shortage(supply: &Supply, pool: &Pool) -> f64 {
    let wanted = demand(supply, pool.model) / TARGET_UTILIZATION;
    1.0 - (pool.all_groups + pool.coming_groups) as f64 / wanted.max(f64::MIN_POSITIVE)
}

/// Fraction of the wanted groups of a model that is missing when demand should fill `utilization` of
/// their time: 1 without any group, negative with more groups than wanted.
fn shortage(supply: &Supply, pool: &Pool, utilization: f64) -> f64 {
    let wanted = demand(supply, pool.model) / utilization;
    1.0 - pool.all_groups as f64 / wanted.max(f64::MIN_POSITIVE)
}

/// Demand for a model in groups: measured, or estimated from the configured share.
fn demand(supply: &Supply, model: &Model) -> f64 {
    let configured = model.share * supply.vm_count as f64 / model.size as f64;
    supply
        .demand
        .get(&model.name)
        .copied()
        .unwrap_or(configured * INITIAL_DEMAND_FRACTION)
}

/// One pool for each fabric domain and model.
fn pools<'a>(supply: &'a Supply) -> Vec<Pool<'a>> {
    let mut domains: BTreeMap<&str, Vec<&Candidate>> = BTreeMap::new();
    for candidate in &supply.candidates {
        domains.entry(&candidate.domain).or_default().push(candidate);
    }
    let mut groups: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    let mut all_groups: BTreeMap<&str, usize> = BTreeMap::new();
    for (model, domain) in &supply.groups {
        *groups.entry((model, domain)).or_default() += 1;
        *all_groups.entry(model).or_default() += 1;
    }
    let mut pools = Vec::new();
    for (domain, vms) in &domains {
        for model in supply.engine.models.iter().filter(|m| m.size > 0) {
            let count = |fits: &dyn Fn(&Candidate) -> bool| vms.iter().filter(|c| fits(c)).count();
            pools.push(Pool {
                model,
                domain,
                ready: count(&|c| c.is_ready(model)),
                with_weights: count(&|c| c.will_be_ready(model)),
                without_weights: count(&Candidate::has_no_weights),
                groups: groups.get(&(model.name.as_str(), *domain)).copied().unwrap_or(0),
                all_groups: all_groups.get(model.name.as_str()).copied().unwrap_or(0),
                coming_groups: 0,
                vms: vms.clone(),
            });
        }
    }
    let coming = |model: &Model| {
        let of_model = pools.iter().filter(|p| p.model.name == model.name);
        of_model.map(|p| p.with_weights / model.size).sum()
    };
    let coming: Vec<usize> = pools.iter().map(|p| coming(p.model)).collect();
    for (pool, coming) in pools.iter_mut().zip(coming) {
        pool.coming_groups = coming;
    }
    pools
}
