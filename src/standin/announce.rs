//! Periodic announcements of a stand-in VM to the control processes.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

use super::Fault;
use super::vm::Vm;
use crate::domain::membership::Raw;

/// Longest wait for the answer to an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Announces the VM periodically until the process ends. After a failed announcement, the next
/// one goes to another control process.
pub(super) async fn run(vm: Arc<Vm>) {
    let client: Client<_, Full<bytes::Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let interval = Duration::from_millis(vm.settings.announce_ms);
    let mut target_index = rand::random::<u32>() as usize;
    loop {
        let targets = &vm.settings.announce_to;
        let is_alive = vm.lock().fault != Fault::Dead;
        if let Some(target) = targets.get(target_index % targets.len().max(1))
            && is_alive
        {
            let request = http::Request::post(format!("http://{target}/announce"))
                .header("content-type", "application/json")
                .body(Full::from(announcement(&vm)))
                .expect("a legal request");
            let sent = tokio::time::timeout(ANNOUNCE_TIMEOUT, client.request(request)).await;
            if !matches!(sent, Ok(Ok(response)) if response.status() == 200) {
                target_index += 1;
            }
        }
        tokio::time::sleep(interval).await;
    }
}

/// Announcement of the VM, as JSON.
fn announcement(vm: &Vm) -> String {
    let mut report = vm.lock().report.clone();
    report.running = vm.running.load(Ordering::Relaxed);
    let raw = Raw {
        vm: vm.spec.name.clone(),
        address: vm.address.to_string(),
        availability_zone: vm.spec.availability_zone.clone(),
        fabric_domain: vm.spec.fabric_domain.clone(),
        accelerators: 1,
        kind: vm.spec.kind,
        report,
    };
    serde_json::to_string(&raw).expect("an announcement encodes as JSON: its map keys are strings")
}
