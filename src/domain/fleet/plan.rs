//! Which group to form next from VMs that are free.
//!
//! Models are served in proportion to their demand: the next group goes to the model with
//! the fewest groups for its demand that fits into one fabric domain. Inside a domain, VMs
//! with the weights at hand are taken first, since they join in a tenth of the time.

use std::collections::BTreeMap;

use crate::domain::catalog::Engine;
use crate::domain::catalog::Model;

/// VM that may join a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Identifier.
    pub id: String,
    /// Fabric domain.
    pub domain: String,
    /// Models staged on its host.
    pub staged: Vec<String>,
}

/// What a service has to form groups from.
#[derive(Clone, Debug)]
pub struct Supply<'a> {
    /// Engine of the service.
    pub engine: &'a Engine,
    /// Free VMs.
    pub candidates: Vec<Candidate>,
    /// Groups of each model, open or forming.
    pub groups: BTreeMap<String, usize>,
    /// Measured demand for each model, in groups; empty before anything is measured.
    pub demand: BTreeMap<String, f64>,
}

/// Group to form.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Draft {
    /// Model.
    pub model: String,
    /// Members, the head first.
    pub members: Vec<Candidate>,
    /// Members that load the weights from the store.
    pub loads: usize,
}

/// Next group to form, if the free VMs suffice for one.
pub fn draft(supply: &Supply) -> Option<Draft> {
    let mut models: Vec<&Model> = supply.engine.models.iter().filter(|m| m.size > 0).collect();
    models.sort_by(|a, b| {
        let order = level(supply, a).total_cmp(&level(supply, b));
        order.then(b.size.cmp(&a.size))
    });
    models.into_iter().find_map(|model| place(supply, model))
}

/// Groups of a model for each unit of its demand.
fn level(supply: &Supply, model: &Model) -> f64 {
    let groups = supply.groups.get(&model.name).copied().unwrap_or(0);
    groups as f64 / demand(supply, model).max(f64::MIN_POSITIVE)
}

/// Measured demand for a model, or its configured share before anything is measured.
fn demand(supply: &Supply, model: &Model) -> f64 {
    let configured = model.share / model.size as f64;
    supply.demand.get(&model.name).copied().unwrap_or(configured)
}

/// Members for a group of `model` in the domain with the most of them ready to join.
fn place(supply: &Supply, model: &Model) -> Option<Draft> {
    let mut domains: BTreeMap<&str, Vec<&Candidate>> = BTreeMap::new();
    for candidate in &supply.candidates {
        domains.entry(&candidate.domain).or_default().push(candidate);
    }
    let is_staged = |c: &Candidate| c.staged.contains(&model.name);
    let staged = |vms: &[&Candidate]| vms.iter().filter(|c| is_staged(c)).count().min(model.size);
    let fitting = domains.into_values().filter(|vms| vms.len() >= model.size);
    let mut best = fitting.max_by_key(|vms| (staged(vms), vms.len()))?;
    best.sort_by_key(|c| !is_staged(c));
    best.truncate(model.size);
    Some(Draft {
        model: model.name.clone(),
        loads: model.size - staged(&best),
        members: best.into_iter().cloned().collect(),
    })
}
