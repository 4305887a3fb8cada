//! Plans of groups and loads: which load each decision answers is in its name.

use std::collections::BTreeMap;

use heatherramp::domain::catalog::Engine;
use heatherramp::domain::catalog::Model;
use heatherramp::domain::fleet::Candidate;
use heatherramp::domain::fleet::Draft;
use heatherramp::domain::fleet::Supply;
use heatherramp::domain::fleet::draft;
use proptest::prelude::*;

fn engine() -> Engine {
    let model = |name: &str, size, share, pace| Model {
        name: name.to_owned(),
        size,
        share,
        pace,
        load_ms: 16_000,
        warm_ms: 1_600,
    };
    Engine {
        slots: 26,
        models: vec![model("large", 4, 0.67, 1.0), model("small", 2, 0.33, 0.6)],
        step_ms: 6.0,
        step_request_ms: 0.25,
        steps_per_pass: 5,
        read_per_s: 46_000.0,
        loads_per_s: 4.0,
        loads_at_once: 6,
        open_ms: 300,
        mean_prompt: 1_076.0,
        mean_answer: 116.0,
    }
}

fn vm(id: usize, domain: &str, staged: &[&str]) -> Candidate {
    Candidate {
        id: format!("vm{id}"),
        domain: domain.to_owned(),
        staged: staged.iter().map(|s| (*s).to_owned()).collect(),
        staging: None,
    }
}

fn supply(engine: &Engine, candidates: Vec<Candidate>) -> Supply<'_> {
    Supply {
        engine,
        candidates,
        groups: Vec::new(),
        vms: 48,
        demand: BTreeMap::new(),
        loading: 0,
        has_traffic: true,
    }
}

fn measured(large: f64, small: f64) -> BTreeMap<String, f64> {
    BTreeMap::from([("large".to_owned(), large), ("small".to_owned(), small)])
}

fn groups(list: &[(&str, &str)]) -> Vec<(String, String)> {
    list.iter()
        .map(|(m, d)| ((*m).to_owned(), (*d).to_owned()))
        .collect()
}

#[test]
fn survivors_and_a_staged_spare_are_joined_at_once() {
    let engine = engine();
    let mut vms: Vec<Candidate> = (0..3).map(|i| vm(i, "a", &["large"])).collect();
    vms.push(vm(3, "a", &["large"]));
    vms.push(vm(4, "b", &[]));
    let mut supply = supply(&engine, vms);
    supply.demand = measured(4.0, 4.0);
    supply.groups = groups(&[
        ("small", "b"),
        ("small", "b"),
        ("small", "b"),
        ("small", "b"),
        ("small", "b"),
        ("small", "b"),
    ]);
    supply.loading = 6;
    let Some(Draft::Form { model, members }) = draft(&supply) else {
        panic!("no group formed");
    };
    assert_eq!(model, "large");
    assert!(members.iter().all(|m| m.domain == "a"));
}

#[test]
fn a_load_that_completes_survivors_goes_before_new_groups() {
    let engine = engine();
    let mut vms: Vec<Candidate> = (0..3).map(|i| vm(i, "a", &["large"])).collect();
    vms.push(vm(3, "a", &[]));
    vms.extend((4..12).map(|i| vm(i, "b", &[])));
    let mut supply = supply(&engine, vms);
    supply.demand = measured(4.0, 4.0);
    supply.loading = 7;
    let Some(Draft::Stage { model, vm }) = draft(&supply) else {
        panic!("nothing staged");
    };
    assert_eq!((model.as_str(), vm.id.as_str()), ("large", "vm3"));
    supply.loading = 9;
    assert_eq!(draft(&supply), None, "no load beyond the store's rate");
}

#[test]
fn under_traffic_no_group_waits_for_a_load() {
    let engine = engine();
    let vms = (0..8).map(|i| vm(i, "a", &[])).collect();
    let mut supply = supply(&engine, vms);
    supply.demand = measured(4.0, 4.0);
    assert!(matches!(draft(&supply), Some(Draft::Stage { .. })));
}

#[test]
fn before_traffic_groups_load_together() {
    let engine = engine();
    let vms = (0..8).map(|i| vm(i, "a", &[])).collect();
    let mut supply = supply(&engine, vms);
    supply.has_traffic = false;
    supply.loading = 40;
    assert!(matches!(draft(&supply), Some(Draft::Form { .. })));
}

#[test]
fn a_domain_without_a_spare_gets_one_once_demand_is_met() {
    let engine = engine();
    let vms = vec![vm(0, "a", &[]), vm(1, "a", &[])];
    let mut supply = supply(&engine, vms);
    supply.demand = measured(0.5, 0.5);
    supply.groups = groups(&[("large", "a"), ("small", "a")]);
    let Some(Draft::Stage { model, .. }) = draft(&supply) else {
        panic!("nothing staged");
    };
    assert_eq!(model, "large");
}

#[test]
fn nothing_is_done_without_a_free_vm() {
    let engine = engine();
    assert_eq!(draft(&supply(&engine, Vec::new())), None);
}

proptest! {
    #[test]
    fn drafts_keep_to_size_domain_and_staging(
        kinds in proptest::collection::vec((0usize..4, 0usize..4), 0..40),
        loading in 0usize..12,
        large in 0.0f64..9.0,
        small in 0.0f64..9.0,
    ) {
        let engine = engine();
        let candidates = kinds.iter().enumerate().map(|(i, (domain, kind))| {
            let staged: &[&str] = match kind { 0 => &[], 1 => &["large"], _ => &["small"] };
            let mut vm = vm(i, &format!("d{domain}"), staged);
            vm.staging = (*kind == 3).then(|| "large".to_owned());
            vm
        });
        let mut supply = supply(&engine, candidates.collect());
        supply.loading = loading;
        supply.demand = measured(large, small);
        match draft(&supply) {
            Some(Draft::Form { model, members }) => {
                let size = engine.model(&model).unwrap().size;
                prop_assert_eq!(members.len(), size);
                prop_assert!(members.iter().all(|m| m.domain == members[0].domain));
                prop_assert!(members.iter().all(|m| m.staged.contains(&model) && m.staging.is_none()));
            }
            Some(Draft::Stage { vm, .. }) => {
                prop_assert!(vm.staged.is_empty() && vm.staging.is_none());
                prop_assert!(loading < 9);
            }
            None => {}
        }
    }
}
