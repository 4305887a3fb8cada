//! Calls of a stand-in service, counted by the `order` in the body: an order of a customer, not
//! one of the control group.

use std::time::Duration;

use bytes::Bytes;
use serde_json::Value;
use serde_json::json;

use super::Fault;
use super::vm::Vm;

/// Runs one call; `None` when the connection is to be closed without an answer.
pub(super) async fn run(vm: &Vm, path: &str, body: &Bytes) -> Option<Value> {
    let fault = vm.lock().fault;
    if fault == Fault::Silent {
        return std::future::pending().await;
    }
    let value: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    let order = value["order"].as_str().unwrap_or("").to_owned();
    let run_count = {
        let mut runs = vm.runs.lock().expect("no panic under this lock");
        let count = runs.entry(order.clone()).or_default();
        *count += 1;
        *count
    };
    tokio::time::sleep(Duration::from_millis(vm.settings.service_ms)).await;
    if fault == Fault::DropAnswer {
        return None;
    }
    Some(json!({"path": path, "order": order, "run": run_count, "vm": vm.spec.name}))
}
