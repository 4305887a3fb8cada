//! Orders, loading and the members' watch over each other.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use super::Fault;
use super::vm::Vm;
use super::vm::incarnation;
use crate::adapters::upstream;
use crate::domain::environment::Kind;

/// Interval of the first member's look at the others.
const WATCH_EVERY: Duration = Duration::from_millis(100);
/// Longest wait for one member's answer.
const WATCH_WAIT: Duration = Duration::from_millis(300);

/// Order as it arrives.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Order {
    group: u64,
    fence: u64,
    rank: usize,
    model: String,
    members: Vec<String>,
}

/// Takes an order; false when its fencing number is old.
pub(super) fn take(vm: &Arc<Vm>, order: Order) -> bool {
    let needs_load = {
        let mut state = vm.lock();
        if order.fence < state.report.fence && !vm.settings.ignores_fencing {
            return false;
        }
        if order.fence == state.report.fence && order.group == state.report.group {
            return true;
        }
        let is_loaded = state.report.model == order.model || vm.own.kind == Kind::Service;
        state.report.group = order.group;
        state.report.fence = order.fence;
        state.report.ready = false;
        state.rank = order.rank;
        state.members = order.members;
        state.loaded = is_loaded;
        if !is_loaded {
            state.report.model.clear();
            state.warmth = 0;
        }
        !is_loaded
    };
    vm.break_calls();
    if needs_load {
        let vm = vm.clone();
        tokio::spawn(async move { load(&vm, order.fence, order.model).await });
    }
    true
}

async fn load(vm: &Vm, fence: u64, model: String) {
    tokio::time::sleep(Duration::from_millis(vm.settings.load_ms)).await;
    let mut state = vm.lock();
    if state.report.fence == fence {
        state.report.model = model;
        state.loaded = true;
    }
}

/// Puts a fault in force.
pub(super) fn set_fault(vm: &Vm, fault: Fault) {
    {
        let mut state = vm.lock();
        state.fault = fault;
        match fault {
            Fault::Cold => state.warmth = 0,
            Fault::Leave => state.report.leaving = true,
            Fault::Restart => {
                state.report.incarnation = incarnation();
                state.report.group = 0;
                state.report.fence = 0;
                state.report.ready = false;
                state.report.leaving = false;
                state.loaded = false;
                state.warmth = 0;
                state.members.clear();
                if vm.own.kind == Kind::Engine {
                    state.report.model.clear();
                }
            }
            _ => {}
        }
    }
    if matches!(fault, Fault::Restart | Fault::Dead) {
        vm.break_calls();
    }
}

/// Keeps the VM's readiness true to the members that it can reach.
pub(super) async fn watch(vm: Arc<Vm>) {
    loop {
        tokio::time::sleep(WATCH_EVERY).await;
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
        let mut whole = loaded;
        if rank == 0 && vm.own.kind == Kind::Engine {
            whole = loaded && others_present(&vm, fence, &members).await;
        }
        let mut state = vm.lock();
        if state.report.fence != fence {
            continue;
        }
        let broke = state.report.ready && !whole;
        state.report.ready = whole;
        drop(state);
        if broke {
            vm.break_calls();
        }
    }
}

async fn others_present(vm: &Vm, fence: u64, members: &[String]) -> bool {
    let probes = members
        .iter()
        .skip(1)
        .map(|address| upstream::fetch_report(&vm.client, address, WATCH_WAIT));
    let reports = futures_util::future::join_all(probes).await;
    let is_with_us = |r: &Result<crate::domain::membership::Report, upstream::Error>| {
        r.as_ref()
            .is_ok_and(|report| report.fence == fence && report.ready)
    };
    reports.iter().all(is_with_us)
}
