//! The owner's side of a call: waits for a replica, calls it and forwards its answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use tokio::sync::mpsc;

use super::context::Context;
use crate::adapters::clock;
use crate::adapters::upstream;
use crate::adapters::wire;
use crate::adapters::wire::frame::Kind;
use crate::domain::dispatch::Action;
use crate::domain::dispatch::Call;
use crate::domain::dispatch::Completion;
use crate::domain::dispatch::Event;
use crate::domain::dispatch::Refusal;
use crate::domain::memory;
use crate::domain::state::Stage;
use crate::logging;

/// Frames buffered for the relay or the forwarding entry that reads them; beyond it, reading
/// from the upstream pauses.
const MAX_BUFFERED_FRAMES: usize = 64;

/// Replica to which the owner has dispatched a call.
struct Assignment {
    call: String,
    group: u64,
    fence: u64,
    address: String,
}

/// How the call at the upstream ended.
enum Outcome {
    Complete,
    /// The answer was an error status, or there was no memory for it; neither closes the replica.
    AnswerLost(String),
    /// The upstream ran nothing of the call.
    NotRun(String),
    /// The answer broke off, stalled or belonged to another request; the call may have run.
    Interrupted(String),
    /// The reader of the frames has gone.
    Cancelled,
}

/// Runs a call at this owner; its frames come through the returned channel.
pub(super) fn execute(context: Arc<Context>, forward: wire::Forward) -> mpsc::Receiver<wire::Frame> {
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_FRAMES);
    tokio::spawn(async move { run(&context, forward, sender).await });
    receiver
}

async fn run(context: &Context, forward: wire::Forward, sender: mpsc::Sender<wire::Frame>) {
    let Some(assignment) = wait_for_assignment(context, &forward, &sender).await else {
        return;
    };
    // The process may have been suspended since the owner's decision, so the lease and the
    // group are checked again.
    let may_send = context
        .lock()
        .owner
        .may_send(clock::now(), assignment.group, assignment.fence);
    if !may_send {
        context.step(Event::Ended {
            call: &assignment.call,
            completion: Completion::Failed,
        });
        send_frame(&sender, refused_frame(Refusal::NoLease, 100)).await;
        return;
    }
    let room = current_room(context, &forward);
    logging::CALL_STARTED.log(format_args!(
        "call={} group={} fence={} address={}",
        assignment.call, assignment.group, assignment.fence, assignment.address
    ));
    let sent = wire::Sent {
        group: assignment.group,
        room,
    };
    send_frame(&sender, Kind::Sent(sent)).await;
    let outcome = if forward.service {
        call_service(context, &forward, &assignment, &sender).await
    } else {
        call_engine(context, &forward, &assignment, &sender).await
    };
    let completion = match &outcome {
        Outcome::Complete | Outcome::Cancelled => Completion::Normal,
        Outcome::AnswerLost(_) => Completion::Failed,
        Outcome::NotRun(_) | Outcome::Interrupted(_) => Completion::Interrupted,
    };
    context.step(Event::Ended {
        call: &assignment.call,
        completion,
    });
    let last_frame = match outcome {
        Outcome::Complete => Kind::End(wire::End {
            room: self::current_room(context, &forward),
        }),
        Outcome::NotRun(reason) => Kind::Refused(wire::Refused {
            reason,
            retry_after_ms: 100,
        }),
        Outcome::AnswerLost(reason) | Outcome::Interrupted(reason) => Kind::Failed(wire::Failed { reason }),
        Outcome::Cancelled => return,
    };
    send_frame(&sender, last_frame).await;
}

/// Waits until the owner assigns a replica; `None` when the call was refused or its reader
/// has gone.
async fn wait_for_assignment(
    context: &Context,
    forward: &wire::Forward,
    sender: &mpsc::Sender<wire::Frame>,
) -> Option<Assignment> {
    let mut decision = context.register_waiter(&forward.id);
    context.step(Event::Arrive(to_dispatch_call(forward)));
    let action = tokio::select! {
        action = &mut decision => action.ok(),
        () = sender.closed() => {
            if context.remove_waiter(&forward.id) {
                context.step(Event::Cancel { call: &forward.id });
                return None;
            }
            // The decision is already on its way. A started call holds a slot at its replica
            // until `Event::Ended`.
            decision.await.ok()
        }
    };
    match action? {
        Action::Start {
            call,
            group,
            fence,
            address,
            ..
        } => Some(Assignment {
            call,
            group,
            fence,
            address,
        }),
        Action::Refuse {
            reason,
            retry_after_ms,
            ..
        } => {
            send_frame(sender, refused_frame(reason, retry_after_ms)).await;
            None
        }
    }
}

/// Forwarded call in the form of the dispatch module; its wait in the queue is limited from now
/// on.
fn to_dispatch_call(forward: &wire::Forward) -> Call {
    Call {
        id: forward.id.clone(),
        environment: forward.environment.clone(),
        stage: if forward.trial {
            Stage::Trial
        } else {
            Stage::Production
        },
        client_account: forward.client_account.clone(),
        share: forward.share,
        max_queued: forward.max_queued as usize,
        priority: forward.priority.min(u32::from(u8::MAX)) as u8,
        prefix_hash: forward.prefix,
        deadline: clock::now() + Duration::from_millis(forward.wait_ms),
        // 0 stands for no group.
        avoid: (forward.avoid != 0).then_some(forward.avoid),
    }
}

/// Starts a generation at an engine and forwards its tokens.
async fn call_engine(
    context: &Context,
    forward: &wire::Forward,
    assignment: &Assignment,
    sender: &mpsc::Sender<wire::Frame>,
) -> Outcome {
    let prompt = upstream::Prompt {
        address: &assignment.address,
        id: &forward.id,
        group: assignment.group,
        fence: assignment.fence,
        body: Bytes::from(forward.body.clone()),
        resume: forward.resume,
        stall_timeout: Duration::from_millis(forward.stall_ms),
    };
    let mut generation = match upstream::generate(&context.upstreams, prompt).await {
        Ok(generation) => generation,
        Err(upstream::Error::Status(status, body)) if (400..500).contains(&status) => {
            return forward_rejection(sender, status, body).await;
        }
        Err(e) => return outcome_of(e),
    };
    let mut has_answered = false;
    loop {
        let token = tokio::select! {
            token = generation.next() => token,
            () = sender.closed() => return Outcome::Cancelled,
        };
        if !has_answered && token.is_ok() {
            has_answered = true;
            context.step(Event::ResponseStarted {
                call: &assignment.call,
            });
        }
        match token {
            Ok(Some(token)) => {
                let token = wire::Token {
                    offset: token.offset,
                    text: token.text,
                };
                send_frame(sender, Kind::Token(token)).await;
            }
            Ok(None) => return Outcome::Complete,
            Err(e) => return outcome_of(e),
        }
    }
}

/// Makes the call at a plain service and forwards its answer.
async fn call_service(
    context: &Context,
    forward: &wire::Forward,
    assignment: &Assignment,
    sender: &mpsc::Sender<wire::Frame>,
) -> Outcome {
    // A non-repeatable call is not retried after a stall, so it may use its whole time limit.
    let response_timeout = if forward.non_repeatable {
        forward.request_ms
    } else {
        forward.stall_ms
    };
    let request = upstream::Request {
        address: &assignment.address,
        id: &forward.id,
        method: Method::from_bytes(forward.method.as_bytes()).unwrap_or(Method::POST),
        path: &forward.path,
        content_type: &forward.content_type,
        body: Bytes::from(forward.body.clone()),
        stall_timeout: Duration::from_millis(response_timeout),
        time_limit: Duration::from_millis(forward.request_ms),
        hold: context
            .memory
            .open(memory::Kind::Answer, Some(forward.client_account.clone())),
    };
    match upstream::call_service(&context.upstreams, request).await {
        Ok(answer) => {
            context.step(Event::ResponseStarted {
                call: &assignment.call,
            });
            let answer = wire::Answer {
                status: u32::from(answer.status),
                content_type: answer.content_type,
                body: answer.body.to_vec(),
            };
            send_frame(sender, Kind::Answer(answer)).await;
            Outcome::Complete
        }
        Err(e) => outcome_of(e),
    }
}

/// Forwards an engine's 4xx answer: it rejects the request itself, as every other engine would.
async fn forward_rejection(sender: &mpsc::Sender<wire::Frame>, status: u16, body: String) -> Outcome {
    let answer = wire::Answer {
        status: u32::from(status),
        content_type: "application/json".to_owned(),
        body: body.into_bytes(),
    };
    send_frame(sender, Kind::Answer(answer)).await;
    Outcome::Complete
}

/// Outcome of a call that failed with `error`.
fn outcome_of(error: upstream::Error) -> Outcome {
    match error {
        upstream::Error::NotSent | upstream::Error::Refused(_) => Outcome::NotRun(error.to_string()),
        upstream::Error::Status(..) | upstream::Error::Shortage => Outcome::AnswerLost(error.to_string()),
        _ => Outcome::Interrupted(error.to_string()),
    }
}

/// Room of this owner for the environment: free slots at its open replicas, less queued calls.
fn current_room(context: &Context, forward: &wire::Forward) -> i64 {
    let stage = if forward.trial {
        Stage::Trial
    } else {
        Stage::Production
    };
    context
        .lock()
        .owner
        .room(clock::now(), &forward.environment, stage)
}

fn refused_frame(reason: Refusal, retry_after_ms: u64) -> Kind {
    Kind::Refused(wire::Refused {
        reason: reason.to_string(),
        retry_after_ms,
    })
}

/// Sends a frame; one that nobody reads any more is dropped.
async fn send_frame(sender: &mpsc::Sender<wire::Frame>, kind: Kind) {
    let _ = sender.send(wire::Frame { kind: Some(kind) }).await;
}
