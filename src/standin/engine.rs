//! Token streams of a stand-in engine.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;

use super::Fault;
use super::text::answer_word;
use super::vm::Vm;

/// Tokens of an answer whose request names no number.
const DEFAULT_TOKENS: u64 = 16;
/// Factor by which a cold engine is slower.
const COLD_FACTOR: u32 = 3;
/// Factor by which an overloaded cold engine is slower.
const COLLAPSE_FACTOR: u32 = 20;

/// Silence of a late answer, longer than the tests' `stall_ms`.
const LATE: Duration = Duration::from_millis(1_500);

/// A call of an engine.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) id: String,
    pub(super) resume: u64,
    pub(super) body: Value,
}

/// Counts a running call for as long as it lives.
struct Running<'a>(&'a Vm);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Prompt text that decides the answer.
pub(super) fn prompt(body: &Value) -> String {
    body["messages"].to_string()
}

/// Writes the answer to `sender`; dropping it early breaks the answer off.
pub(super) async fn answer(vm: Arc<Vm>, call: Call, sender: mpsc::Sender<Result<Bytes, std::io::Error>>) {
    let mut breaks = vm.breaks.subscribe();
    breaks.borrow_and_update();
    vm.running.fetch_add(1, Ordering::SeqCst);
    let _running = Running(&vm);
    let broken = tokio::select! {
        () = produce(&vm, &call, &sender) => false,
        _ = breaks.changed() => true,
        () = sender.closed() => false,
    };
    if broken {
        let reset = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
        let _ = sender.send(Err(reset)).await;
    }
}

async fn produce(vm: &Vm, call: &Call, sender: &mpsc::Sender<Result<Bytes, std::io::Error>>) {
    let fault = vm.lock().fault;
    if fault == Fault::Silent {
        return std::future::pending().await;
    }
    let factor = slowness(vm);
    let Ok(_slot) = vm.batch.acquire().await else {
        return;
    };
    let settings = &vm.settings;
    tokio::time::sleep(Duration::from_millis(settings.prefill_ms) * factor).await;
    let count = call.body["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS);
    let prompt = prompt(&call.body);
    let id = if fault == Fault::Cross {
        "another-request"
    } else {
        &call.id
    };
    for offset in call.resume..count {
        if fault == Fault::Truncate && offset >= call.resume + 3 {
            return;
        }
        let token = json!({"id": id, "offset": offset, "text": answer_word(&prompt, offset)});
        if sender
            .send(Ok(Bytes::from(format!("data: {token}\n\n"))))
            .await
            .is_err()
        {
            return;
        }
        tokio::time::sleep(Duration::from_millis(settings.token_ms) * factor).await;
        let fault = vm.lock().fault;
        if fault == Fault::Silent {
            return std::future::pending().await;
        }
        if fault == Fault::Late && offset == call.resume + 3 {
            tokio::time::sleep(LATE).await;
        }
    }
    vm.lock().warmth += 1;
    let _ = sender.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).await;
}

/// Factor by which the engine is slower now.
fn slowness(vm: &Vm) -> u32 {
    let is_warm = vm.lock().warmth >= vm.settings.cold_calls;
    if is_warm {
        return 1;
    }
    if vm.running.load(Ordering::SeqCst) > vm.settings.cold_limit {
        vm.overloads.fetch_add(1, Ordering::SeqCst);
        return COLLAPSE_FACTOR;
    }
    COLD_FACTOR
}
