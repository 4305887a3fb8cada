//! Replicas that the environments ask for.

use std::collections::BTreeMap;

use crate::domain::environment::Document;
use crate::domain::state::Stage;
use crate::domain::state::State;

/// Replicas that an environment needs for one stage in one availability zone.
#[derive(Clone, Debug)]
pub struct Demand<'a> {
    /// Name of the environment.
    pub environment: &'a str,
    /// Stage, trial or production.
    pub stage: Stage,
    /// Name of the availability zone.
    pub zone: String,
    /// Number of replicas that the document asks for in the zone.
    pub replicas: usize,
    /// Further replicas that replace those of zones out of service.
    pub failover_replicas: usize,
    /// Number of the document version that the replicas serve.
    pub version: u64,
    /// Document of that version.
    pub document: &'a Document,
}

/// Demands of all environments, production first.
pub fn demands(state: &State) -> Vec<Demand<'_>> {
    let mut all = Vec::new();
    for stage in [Stage::Production, Stage::Trial] {
        for (name, configuration) in &state.environments {
            let Some(version) = configuration.current(stage) else {
                continue;
            };
            // A version that is in production needs no trial replicas.
            if stage == Stage::Trial && configuration.production == Some(version.number) {
                continue;
            }
            let required = replicas_by_zone(&version.document, stage);
            let failover = failover_by_zone(state, &required, stage);
            for (zone, replicas) in required {
                let extra = failover.get(&zone).copied().unwrap_or(0);
                all.push(Demand {
                    environment: name,
                    stage,
                    zone,
                    replicas,
                    failover_replicas: extra,
                    version: version.number,
                    document: &version.document,
                });
            }
        }
    }
    all
}

/// Replicas by zone; on trial they are all in the first zone that has any.
fn replicas_by_zone(document: &Document, stage: Stage) -> BTreeMap<String, usize> {
    let production = &document.replicas_per_availability_zone;
    if stage == Stage::Production {
        return production.clone();
    }
    let first = production.iter().find(|(_, n)| **n > 0);
    first
        .map(|(zone, _)| (zone.clone(), document.trial_replicas))
        .into_iter()
        .collect()
}

/// Spreads the production replicas of zones out of service over the other zones, rounded up.
fn failover_by_zone(
    state: &State,
    required: &BTreeMap<String, usize>,
    stage: Stage,
) -> BTreeMap<String, usize> {
    if stage == Stage::Trial {
        return BTreeMap::new();
    }
    let (out, in_service): (Vec<_>, Vec<_>) = required.iter().partition(|(z, _)| state.is_zone_out(z));
    let missing: usize = out.iter().map(|(_, n)| **n).sum();
    if in_service.is_empty() {
        return BTreeMap::new();
    }
    let per_zone = missing.div_ceil(in_service.len());
    in_service
        .into_iter()
        .map(|(z, _)| (z.clone(), per_zone))
        .collect()
}
