//! Work of the owner: wait for a replica, call it, pass its answer on.

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
use crate::domain::state::Stage;
use crate::logging;

/// Frames that wait for a slow caller.
const BUFFER: usize = 64;

/// A dispatched call.
struct Start {
    call: String,
    group: u64,
    fence: u64,
    address: String,
}

/// How the call at the upstream ended.
enum Outcome {
    Whole,
    /// The upstream answered with an error; the owner may try another one.
    Error(String),
    NotRun(String),
    Broken(String),
    /// The caller left.
    Left,
}

/// Runs a call at this owner; its frames come through the returned channel.
pub(super) fn execute(context: Arc<Context>, forward: wire::Forward) -> mpsc::Receiver<wire::Frame> {
    let (sender, receiver) = mpsc::channel(BUFFER);
    tokio::spawn(async move { run(&context, forward, sender).await });
    receiver
}

async fn run(context: &Context, forward: wire::Forward, sender: mpsc::Sender<wire::Frame>) {
    let Some(start) = wait_for_start(context, &forward, &sender).await else {
        return;
    };
    let allowed = context
        .lock()
        .owner
        .may_send(clock::now(), start.group, start.fence);
    if !allowed {
        context.step(Event::Ended {
            call: &start.call,
            completion: Completion::Failed,
        });
        send(&sender, refused(Refusal::NoLease, 100)).await;
        return;
    }
    let room = room(context, &forward);
    logging::CALL_STARTED.log(format_args!(
        "call={} group={} fence={} address={}",
        start.call, start.group, start.fence, start.address
    ));
    let sent = wire::Sent {
        group: start.group,
        room,
    };
    send(&sender, Kind::Sent(sent)).await;
    let outcome = if forward.service {
        serve(context, &forward, &start, &sender).await
    } else {
        generate(context, &forward, &start, &sender).await
    };
    let completion = match &outcome {
        Outcome::Whole | Outcome::Left => Completion::Normal,
        Outcome::Error(_) => Completion::Failed,
        Outcome::NotRun(_) | Outcome::Broken(_) => Completion::Interrupted,
    };
    context.step(Event::Ended {
        call: &start.call,
        completion,
    });
    let last = match outcome {
        Outcome::Whole => Kind::End(wire::End {
            room: self::room(context, &forward),
        }),
        Outcome::NotRun(reason) => Kind::Refused(wire::Refused {
            reason,
            retry_after_ms: 100,
        }),
        Outcome::Error(reason) | Outcome::Broken(reason) => Kind::Failed(wire::Failed { reason }),
        Outcome::Left => return,
    };
    send(&sender, last).await;
}

async fn wait_for_start(
    context: &Context,
    forward: &wire::Forward,
    sender: &mpsc::Sender<wire::Frame>,
) -> Option<Start> {
    let mut decision = context.await_decision(&forward.id);
    context.step(Event::Arrive(call(forward)));
    let decided = tokio::select! {
        decided = &mut decision => decided.ok(),
        () = sender.closed() => {
            if context.forget_decision(&forward.id) {
                context.step(Event::Cancel { call: &forward.id });
                return None;
            }
            decision.await.ok()
        }
    };
    match decided? {
        Action::Start {
            call,
            group,
            fence,
            address,
            ..
        } => Some(Start {
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
            send(sender, refused(reason, retry_after_ms)).await;
            None
        }
    }
}

fn call(forward: &wire::Forward) -> Call {
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
        avoid: (forward.avoid != 0).then_some(forward.avoid),
    }
}

async fn generate(
    context: &Context,
    forward: &wire::Forward,
    start: &Start,
    sender: &mpsc::Sender<wire::Frame>,
) -> Outcome {
    let prompt = upstream::Prompt {
        address: &start.address,
        id: &forward.id,
        group: start.group,
        fence: start.fence,
        body: Bytes::from(forward.body.clone()),
        resume: forward.resume,
        stall: Duration::from_millis(forward.stall_ms),
    };
    let mut generation = match upstream::generate(&context.upstreams, prompt).await {
        Ok(generation) => generation,
        Err(upstream::Error::Status(status, body)) if (400..500).contains(&status) => {
            return pass_on(sender, status, body).await;
        }
        Err(e) => return end_of(e),
    };
    let mut is_answered = false;
    loop {
        let token = tokio::select! {
            token = generation.next() => token,
            () = sender.closed() => return Outcome::Left,
        };
        if !is_answered && token.is_ok() {
            is_answered = true;
            context.step(Event::ResponseStarted { call: &start.call });
        }
        match token {
            Ok(Some(token)) => {
                let token = wire::Token {
                    offset: token.offset,
                    text: token.text,
                };
                send(sender, Kind::Token(token)).await;
            }
            Ok(None) => return Outcome::Whole,
            Err(e) => return end_of(e),
        }
    }
}

async fn serve(
    context: &Context,
    forward: &wire::Forward,
    start: &Start,
    sender: &mpsc::Sender<wire::Frame>,
) -> Outcome {
    let patience = if forward.non_repeatable {
        forward.request_ms
    } else {
        forward.stall_ms
    };
    let request = upstream::Request {
        address: &start.address,
        id: &forward.id,
        method: Method::from_bytes(forward.method.as_bytes()).unwrap_or(Method::POST),
        path: &forward.path,
        content_type: &forward.content_type,
        body: Bytes::from(forward.body.clone()),
        stall: Duration::from_millis(patience),
    };
    match upstream::call_service(&context.upstreams, request).await {
        Ok(answer) => {
            context.step(Event::ResponseStarted { call: &start.call });
            let answer = wire::Answer {
                status: u32::from(answer.status),
                content_type: answer.content_type,
                body: answer.body.to_vec(),
            };
            send(sender, Kind::Answer(answer)).await;
            Outcome::Whole
        }
        Err(e) => end_of(e),
    }
}

/// Passes on the upstream's refusal of the request itself, which no other one would take.
async fn pass_on(sender: &mpsc::Sender<wire::Frame>, status: u16, body: String) -> Outcome {
    let answer = wire::Answer {
        status: u32::from(status),
        content_type: "application/json".to_owned(),
        body: body.into_bytes(),
    };
    send(sender, Kind::Answer(answer)).await;
    Outcome::Whole
}

fn end_of(error: upstream::Error) -> Outcome {
    match error {
        upstream::Error::NotSent | upstream::Error::Refused(_) => Outcome::NotRun(error.to_string()),
        upstream::Error::Status(..) => Outcome::Error(error.to_string()),
        _ => Outcome::Broken(error.to_string()),
    }
}

fn room(context: &Context, forward: &wire::Forward) -> i64 {
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

fn refused(reason: Refusal, retry_after_ms: u64) -> Kind {
    Kind::Refused(wire::Refused {
        reason: reason.to_string(),
        retry_after_ms,
    })
}

async fn send(sender: &mpsc::Sender<wire::Frame>, kind: Kind) {
    let _ = sender.send(wire::Frame { kind: Some(kind) }).await;
}
