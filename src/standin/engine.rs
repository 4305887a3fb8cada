//! Token streams of a stand-in engine.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;

use super::Fault;
use super::cache::Admission;
use super::text::answer_word;
use super::vm::Vm;

/// Tokens of an answer whose request has no `max_tokens`.
const DEFAULT_TOKENS: u64 = 16;
/// Length of the text that counts as a token of the prompt.
const BYTES_PER_TOKEN: usize = 4;
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

/// Guard of the memory that a running call uses; the call's prompt is retained when it is dropped.
struct CallMemory<'a> {
    vm: &'a Vm,
    prompt: Vec<u64>,
    admission: Option<Admission>,
}

impl<'a> CallMemory<'a> {
    /// Takes memory for a call; without enough of it, the call runs without a reuse.
    fn new(vm: &'a Vm, prompt: &str, answer_tokens: u64) -> Self {
        let prompt: Vec<u64> = prompt
            .as_bytes()
            .chunks(BYTES_PER_TOKEN)
            .map(xxhash_rust::xxh3::xxh3_64)
            .collect();
        let mut cache = vm.cache.lock().expect("no panic under this lock");
        let admission = cache.admit(&prompt, answer_tokens as usize);
        drop(cache);
        CallMemory {
            vm,
            prompt,
            admission,
        }
    }

    /// Fraction of the prompt that has to be read.
    fn fresh(&self) -> f64 {
        let cached = self.admission.as_ref().map_or(0, |a| a.cached_tokens);
        1.0 - cached as f64 / self.prompt.len().max(1) as f64
    }
}

impl Drop for CallMemory<'_> {
    fn drop(&mut self) {
        if let Some(admission) = self.admission.take() {
            let mut cache = self.vm.cache.lock().expect("no panic under this lock");
            cache.release(admission, &self.prompt);
        }
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
    let token_count = call.body["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS);
    let prompt = prompt_text(&call.body);
    let memory = CallMemory::new(vm, &prompt, token_count);
    let prefill_time = Duration::from_millis(settings.prefill_ms).mul_f64(memory.fresh());
    tokio::time::sleep(prefill_time * slowdown).await;
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
