//! What a gateway takes from callers: the budget of its memory and the limits of its ports.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use tokio::time::sleep;
use tokio::time::timeout;

use super::context::Context;
use crate::adapters::clock;
use crate::adapters::http1::HeadLimit;
use crate::adapters::http1::Incoming;
use crate::adapters::http1::Incomplete;
use crate::adapters::http1::Limits;
use crate::adapters::http1::collect_held;
use crate::adapters::http1::max_connections;
use crate::adapters::memory::Memory;
use crate::domain::catalog;
use crate::domain::memory::Change;
use crate::domain::memory::Kind;
use crate::logging;
use crate::settings::Gateway;
use crate::settings::Intake;

/// Parts of the VM's memory, in sixteenths, that callers and the ports for readiness and metrics may make the
/// process hold. The rest is for the process itself (18 MB at rest in a build without optimisation), for what
/// the allocator cannot use again, and for socket buffers.
const CALLER_SIXTEENTHS: usize = 7;
const STATUS_SIXTEENTHS: usize = 1;
/// Largest request head of the ports for readiness and metrics.
const STATUS_HEAD_BYTES: usize = 16 << 10;
/// Bytes of a request head beside those of its fields, which the catalog limits.
const REQUEST_LINE_BYTES: usize = 8 << 10;
/// Largest number of fields of a request head.
const HEAD_FIELDS: usize = 1_024;
/// Descriptors that a request takes: the caller's connection and one to an upstream.
const DESCRIPTORS_PER_REQUEST: usize = 2;
/// Delay before a caller should send a body again that was refused: by then, bodies without progress have been
/// dropped.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(1_200);
/// Interval of the metrics of memory and of the check whether the budget limits callers.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// Budgets of a process. Callers cannot exhaust the one of the ports for readiness and metrics.
#[derive(Clone)]
pub(super) struct Budgets {
    pub(super) callers: Memory,
    pub(super) status: Memory,
    /// Largest request head of callers.
    head_limit: HeadLimit,
}

impl Budgets {
    pub(super) fn new(settings: &Gateway) -> Self {
        let sixteenth = vm_bytes(settings) / 16;
        let callers = sixteenth * CALLER_SIXTEENTHS;
        let connections = max_connections(settings.intake.max_connections, DESCRIPTORS_PER_REQUEST);
        let connections = connections * limits(settings, settings.intake.head_bytes).connection_bytes();
        let status = sixteenth * STATUS_SIXTEENTHS;
        Budgets {
            // Connections leave half of the budget to what is sent over them.
            callers: Memory::new(callers, connections.min(callers / 2)),
            status: Memory::new(status, status / 4 * 3),
            head_limit: HeadLimit::new(settings.intake.head_bytes),
        }
    }

    /// Lets callers send the heads that a catalog allows.
    pub(super) fn allow_heads(&self, intake: &Intake, allowed: &catalog::Limits) {
        let needed = allowed.head_bytes.saturating_add(REQUEST_LINE_BYTES);
        self.head_limit.set(intake.head_bytes.max(needed));
    }
}

/// Limits of the port for callers.
pub(super) fn caller_limits(settings: &Gateway, budgets: &Budgets) -> Limits {
    Limits {
        memory: Some(budgets.callers.clone()),
        head_limit: budgets.head_limit.clone(),
        head_fields: HEAD_FIELDS,
        ..limits(settings, settings.intake.head_bytes)
    }
}

/// Limits of the ports for readiness and metrics.
pub(super) fn status_limits(settings: &Gateway, budgets: &Budgets) -> Limits {
    Limits {
        memory: Some(budgets.status.clone()),
        ..limits(settings, STATUS_HEAD_BYTES)
    }
}

fn limits(settings: &Gateway, head_bytes: usize) -> Limits {
    let intake = &settings.intake;
    Limits {
        head_timeout: Duration::from_millis(intake.head_ms),
        write_timeout: Duration::from_millis(intake.write_pause_ms),
        answer_timeout: Duration::from_millis(intake.answer_ms),
        socket_bytes: Some(intake.socket_bytes),
        drain_bytes: intake.drain_bytes,
        drain_timeout: Duration::from_millis(intake.drain_ms),
        ..Limits::new(head_bytes, Duration::from_millis(intake.idle_ms))
    }
}

fn vm_bytes(settings: &Gateway) -> usize {
    (settings.memory_mb * 1e6) as usize
}

/// Reads the body of a request; `owner` is the account or address that it counts against.
///
/// # Errors
///
/// Status and reason of the refusal. Nothing of the request has run.
pub(super) async fn read_body(
    context: &Context,
    mut body: Incoming,
    max_bytes: usize,
    owner: String,
    deadline: Duration,
) -> Result<Bytes, (StatusCode, &'static str)> {
    let time_left = deadline.saturating_sub(clock::now());
    let hold = context.budgets.callers.open(Kind::Body, Some(owner));
    let reading = collect_held(&mut body, max_bytes, context.intake.body_pause(), hold);
    match timeout(time_left.min(context.intake.body_time()), reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(Incomplete::TooLarge)) => Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")),
        // The connection is gone, or the framing of the body is not valid.
        Ok(Err(Incomplete::Truncated)) => Err((StatusCode::BAD_REQUEST, "the body is cut")),
        Ok(Err(Incomplete::Stalled)) => Err((StatusCode::SERVICE_UNAVAILABLE, "the body makes no progress")),
        Ok(Err(Incomplete::Shortage)) => Err((StatusCode::SERVICE_UNAVAILABLE, "no memory for the body")),
        Err(_) => Err((StatusCode::SERVICE_UNAVAILABLE, "the body takes too long")),
    }
}

/// Keeps the metrics of memory, and logs when the budget begins and ceases to limit callers.
pub(super) async fn watch(context: Arc<Context>) {
    loop {
        sleep(WATCH_INTERVAL).await;
        for kind in Kind::ALL {
            let held = context.budgets.callers.used_for(kind);
            let gauge = &context.metrics.held_bytes;
            gauge.with_label_values(&[kind.name()]).set(held as i64);
            let refusals = context.metrics.memory_refusals.with_label_values(&[kind.name()]);
            refusals.inc_by(
                context
                    .budgets
                    .callers
                    .refusals(kind)
                    .saturating_sub(refusals.get()),
            );
        }
        let Some((change, bytes)) = context.budgets.callers.change() else {
            continue;
        };
        let event = match change {
            Change::Binding => logging::MEMORY_SHORT,
            Change::Free => logging::MEMORY_FREE,
        };
        event.log_fields(&[("bytes", (bytes as u64).into())]);
    }
}
