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

/// Tokens of an answer whose request has no `max_tokens`.
const DEFAULT_TOKENS: u64 = 16;
/// Factor by which a cold engine is slower than a warm one.
const COLD_SLOWDOWN: u32 = 3;
/// Factor by which a cold engine is slower than a warm one while it runs more than `cold_limit`
/// calls.
const OVERLOAD_SLOWDOWN: u32 = 20;

/// Pause within an answer under [`Fault::Late`], longer than the tests' `stall_ms`.
const LATE_PAUSE: Duration = Duration::from_millis(1_500);

/// One chat completion request to a stand-in engine.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) id: String,
    /// Number of tokens that the caller has already.
    pub(super) resume: u64,
    pub(super) body: Value,
}

/// Guard that decrements the number of running calls when it is dropped.
struct RunningCall<'a>(&'a Vm);

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Text that determines the answer.
pub(super) fn prompt_text(body: &Value) -> String {
    body["messages"].to_string()
}

/// Writes the answer to `sender` until it ends, the VM aborts its calls or the receiver is
/// dropped.
pub(super) async fn answer(vm: Arc<Vm>, call: Call, sender: mpsc::Sender<Result<Bytes, std::io::Error>>) {
    let mut aborts = vm.aborts.subscribe();
    aborts.borrow_and_update();
    vm.running.fetch_add(1, Ordering::SeqCst);
    let _running_call = RunningCall(&vm);
    let is_aborted = tokio::select! {
        () = write_tokens(&vm, &call, &sender) => false,
        _ = aborts.changed() => true,
        () = sender.closed() => false,
    };
    if is_aborted {
        let reset = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
        let _ = sender.send(Err(reset)).await;
    }
}

/// Writes the tokens from `call.resume` on, as the fault in force allows.
async fn write_tokens(vm: &Vm, call: &Call, sender: &mpsc::Sender<Result<Bytes, std::io::Error>>) {
    let fault = vm.lock().fault;
    if fault == Fault::Silent {
        return std::future::pending().await;
    }
    let slowdown = slowdown_factor(vm);
    let Ok(_slot) = vm.batch.acquire().await else {
        return;
    };
    let settings = &vm.settings;
    tokio::time::sleep(Duration::from_millis(settings.prefill_ms) * slowdown).await;
    let token_count = call.body["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS);
    let prompt = prompt_text(&call.body);
    let id = if fault == Fault::Cross {
        "another-request"
    } else {
        &call.id
    };
    for offset in call.resume..token_count {
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
        tokio::time::sleep(Duration::from_millis(settings.token_ms) * slowdown).await;
        let fault = vm.lock().fault;
        if fault == Fault::Silent {
            return std::future::pending().await;
        }
        if fault == Fault::Late && offset == call.resume + 3 {
            tokio::time::sleep(LATE_PAUSE).await;
        }
    }
    vm.lock().warmup_calls += 1;
    let _ = sender.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).await;
}

/// Factor by which the engine is slower than a warm one; counts overloads.
fn slowdown_factor(vm: &Vm) -> u32 {
    let is_warm = vm.lock().warmup_calls >= vm.settings.cold_calls;
    if is_warm {
        return 1;
    }
    if vm.running.load(Ordering::SeqCst) > vm.settings.cold_limit {
        vm.overloads.fetch_add(1, Ordering::SeqCst);
        return OVERLOAD_SLOWDOWN;
    }
    COLD_SLOWDOWN
}
