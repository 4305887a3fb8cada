//! Group membership of a stand-in VM: orders, loading, faults and readiness.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use super::Fault;
use super::vm::Vm;
use super::vm::new_incarnation;
use crate::adapters::upstream;
use crate::domain::environment::Kind;

/// Interval at which readiness is updated; the first member then probes the others.
const READINESS_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for the report of another member.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Order to join a group, as the control group sends it.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Order {
    group: u64,
    fence: u64,
    rank: usize,
    model: String,
    members: Vec<String>,
}

/// Carries out an order; false when its fencing token is older than the one in force.
pub(super) fn accept_order(vm: &Arc<Vm>, order: Order) -> bool {
    let needs_load = {
        let mut state = vm.lock();
        if order.fence < state.report.fence && !vm.settings.ignores_fencing {
            return false;
        }
        if order.fence == state.report.fence && order.group == state.report.group {
            return true;
        }
        let is_loaded = state.report.model == order.model || vm.spec.kind == Kind::Service;
        state.report.group = order.group;
        state.report.fence = order.fence;
        state.report.ready = false;
        state.rank = order.rank;
        state.members = order.members;
        state.loaded = is_loaded;
        if !is_loaded {
            state.report.model.clear();
            state.warmup_calls = 0;
            vm.clear_cache();
        }
        !is_loaded
    };
    vm.abort_calls();
    if needs_load {
        let vm = vm.clone();
        tokio::spawn(async move { load_model(&vm, order.fence, order.model).await });
    }
    true
}

/// Loads a model, unless another order has come meanwhile.
async fn load_model(vm: &Vm, fence: u64, model: String) {
    tokio::time::sleep(Duration::from_millis(vm.settings.load_ms)).await;
    let mut state = vm.lock();
    if state.report.fence == fence {
        state.report.model = model;
        state.loaded = true;
    }
}

/// Sets the fault in force and applies its immediate effects.
pub(super) fn set_fault(vm: &Vm, fault: Fault) {
    {
        let mut state = vm.lock();
        state.fault = fault;
        match fault {
            Fault::Cold => state.warmup_calls = 0,
            Fault::Leave => state.report.leaving = true,
            Fault::Restart => {
                state.report.incarnation = new_incarnation();
                state.report.group = 0;
                state.report.fence = 0;
                state.report.ready = false;
                state.report.leaving = false;
                state.loaded = false;
                state.warmup_calls = 0;
                vm.clear_cache();
                state.members.clear();
                if vm.spec.kind == Kind::Engine {
                    state.report.model.clear();
                }
            }
            _ => {}
        }
    }
    if matches!(fault, Fault::Restart | Fault::Dead) {
        vm.abort_calls();
    }
}

/// Updates the VM's readiness until the process ends.
///
/// A VM is ready once its model is loaded; the first member of an engine's group is ready
/// only while all other members are too. Open calls are aborted when readiness is lost.
pub(super) async fn update_readiness(vm: Arc<Vm>) {
    loop {
        tokio::time::sleep(READINESS_INTERVAL).await;
        let (loaded, rank, fence, members) = {
            let state = vm.lock();
            (
                state.loaded,
                state.rank,
                state.report.fence,
                state.members.clone(),
            )
        };
        if fence == 0 {
            continue;
        }
        let mut is_ready = loaded;
        if rank == 0 && vm.spec.kind == Kind::Engine {
            is_ready = loaded && are_others_ready(&vm, fence, &members).await;
        }
        let mut state = vm.lock();
        if state.report.fence != fence {
            continue;
        }
        let has_lost_readiness = state.report.ready && !is_ready;
        state.report.ready = is_ready;
        drop(state);
        if has_lost_readiness {
            vm.abort_calls();
        }
    }
}

/// Whether all other members report that they are ready in the group with this fencing token.
async fn are_others_ready(vm: &Vm, fence: u64, members: &[String]) -> bool {
    let probes = members
        .iter()
        .skip(1)
        .map(|address| upstream::fetch_report(&vm.client, address, REPORT_TIMEOUT));
    let reports = futures_util::future::join_all(probes).await;
    let is_ready_in_group = |r: &Result<crate::domain::membership::Report, upstream::Error>| {
        r.as_ref()
            .is_ok_and(|report| report.fence == fence && report.ready)
    };
    reports.iter().all(is_ready_in_group)
}
