//! Chat completions: reading the request, writing the answer whole or streamed.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::StreamExt;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;

use super::account;
use super::account::Caller;
use super::account::Error;
use super::context::Context;
use super::problem;
use super::relay;
use super::relay::Ending;
use super::relay::Job;
use super::relay::Part;
use super::service;
use crate::adapters::clock;
use crate::adapters::http::Body;
use crate::adapters::http::Request;
use crate::adapters::http::Response;
use crate::adapters::wire;
use crate::domain::state::Stage;

/// Bytes of the prompt that decide cache affinity.
const PREFIX_BYTES: usize = 512;

/// Answers one chat completion.
pub(super) async fn handle(context: Arc<Context>, request: Request) -> Response {
    let (caller, mut body) = match read(&context, &request) {
        Ok(read) => read,
        Err(response) => return *response,
    };
    let is_streamed = body.get("stream").and_then(Value::as_bool).unwrap_or(false);
    body["stream"] = Value::Bool(true);
    let prefix = prefix(&body);
    let mut forward = forward(&caller);
    forward.prefix = prefix;
    forward.body = body.to_string().into_bytes();
    let id = format!("chatcmpl-{}", forward.id);
    let model = caller.environment.clone();
    let arrived = clock::now();
    let mut parts = relay::start(context.clone(), Job { caller, forward });
    let first = parts.recv().await;
    let waited = clock::now().saturating_sub(arrived);
    context.metrics.first_token.observe(waited.as_secs_f64());
    match first {
        Some(Part::End(Ending::NotRun {
            reason,
            retry_after_ms,
        })) => problem::not_run(&reason, retry_after_ms),
        Some(Part::End(Ending::Unknown(reason))) => problem::unknown(&reason),
        None => problem::unknown("the call was given up"),
        Some(Part::Answer(answer)) => service::response(service::End::Answer(answer)),
        Some(first) if is_streamed => stream(&context, Writer::new(id, model), first, parts),
        Some(first) => whole(&id, &model, first, parts).await,
    }
}

/// Forward without what depends on the kind of call.
pub(super) fn forward(caller: &Caller) -> wire::Forward {
    let limits = &caller.document.limits;
    let account = &caller.client_account;
    wire::Forward {
        id: clock::unique_id(),
        environment: caller.environment.clone(),
        trial: caller.stage == Stage::Trial,
        client_account: account.name.clone(),
        priority: u32::from(account.priority),
        share: account.share,
        max_queued: account.max_queued as u64,
        wait_ms: limits.queue_ms,
        stall_ms: limits.stall_ms,
        request_ms: limits.request_ms,
        ..wire::Forward::default()
    }
}

/// Error answer for a caller that was not recognised.
pub(super) fn unrecognised(fault: Error, name: &str) -> Response {
    match fault {
        Error::UnknownEnvironment => problem::invalid(404, &format!("no environment {name:.64}")),
        Error::UnknownKey => problem::invalid(401, "the key belongs to no client account of the environment"),
        Error::NoConfiguration => problem::not_run("this entry has no configuration yet", 1_000),
    }
}

fn read(context: &Context, request: &Request) -> Result<(Caller, Value), Box<Response>> {
    let refuse = |status, message: &str| Box::new(problem::invalid(status, message));
    let Some(body) = &request.body else {
        return Err(refuse(413, "the body is too large"));
    };
    let value: Value =
        serde_json::from_slice(body).map_err(|e| refuse(400, &format!("the body is not JSON: {e}")))?;
    let Some(model) = value.get("model").and_then(Value::as_str) else {
        return Err(refuse(400, "model: must be a string"));
    };
    let messages = value.get("messages").and_then(Value::as_array);
    if messages.is_none_or(Vec::is_empty) {
        return Err(refuse(400, "messages: must be a list that is not empty"));
    }
    if value.get("stream").is_some_and(|s| !s.is_boolean()) {
        return Err(refuse(400, "stream: must be true or false"));
    }
    let key = request.bearer().unwrap_or("");
    let caller =
        account::recognise(context, model, key).map_err(|fault| Box::new(unrecognised(fault, model)))?;
    if body.len() > caller.document.limits.body_bytes {
        return Err(refuse(413, "the body is larger than the environment allows"));
    }
    Ok((caller, value))
}

/// Hash of the start of the prompt, never 0.
fn prefix(body: &Value) -> u64 {
    let text = body["messages"][0].to_string();
    let end = text.len().min(PREFIX_BYTES);
    xxhash_rust::xxh3::xxh3_64(&text.as_bytes()[..end]).max(1)
}

/// Writer of one answer's events.
struct Writer {
    /// Start of each event, up to the text.
    head: String,
    id: String,
    model: String,
}

impl Writer {
    fn new(id: String, model: String) -> Self {
        let (quoted_id, quoted_model) = (Value::from(id.as_str()), Value::from(model.as_str()));
        let head = format!(
            "data: {{\"id\":{quoted_id},\"object\":\"chat.completion.chunk\",\"model\":{quoted_model},\
             \"choices\":[{{\"index\":0,\"finish_reason\":null,\"delta\":{{\"content\":"
        );
        Writer { head, id, model }
    }

    fn token(&self, text: String) -> Bytes {
        let text = Value::String(text);
        Bytes::from(format!("{}{text}}}}}]}}\n\n", self.head))
    }

    fn end(&self) -> Bytes {
        let last = json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        });
        Bytes::from(format!("data: {last}\n\ndata: [DONE]\n\n"))
    }

    fn event(&self, part: Part) -> Bytes {
        match part {
            Part::Token(text) => self.token(text),
            Part::Answer(answer) => Bytes::from(answer.body),
            Part::End(Ending::Done) => self.end(),
            Part::End(Ending::NotRun { reason, .. } | Ending::Unknown(reason)) => {
                let error = problem::body("stream_broken", &reason);
                Bytes::from(format!("data: {error}\n\n"))
            }
        }
    }
}

/// Streamed answer; the events are written as the caller takes them.
fn stream(context: &Arc<Context>, writer: Writer, first: Part, parts: mpsc::Receiver<Part>) -> Response {
    // The call counts as open until the caller has taken the last event.
    let open = context.open_call();
    let state = (Some(first), parts, writer, open);
    let events = futures_util::stream::unfold(state, |(first, mut parts, writer, open)| async move {
        let part = match first {
            Some(part) => part,
            None => parts.recv().await?,
        };
        Some((writer.event(part), (None, parts, writer, open)))
    });
    Response {
        status: 200,
        headers: vec![
            ("content-type".to_owned(), "text/event-stream".to_owned()),
            ("cache-control".to_owned(), "no-cache".to_owned()),
        ],
        body: Body::Stream(events.boxed()),
    }
}

async fn whole(id: &str, model: &str, first: Part, mut parts: mpsc::Receiver<Part>) -> Response {
    let mut text = String::new();
    let mut tokens = 0;
    let mut next = Some(first);
    while let Some(part) = next {
        match part {
            Part::Token(token) => {
                text.push_str(&token);
                tokens += 1;
            }
            Part::Answer(_) => {}
            Part::End(Ending::Done) => {
                let answer = json!({
                    "id": id,
                    "object": "chat.completion",
                    "model": model,
                    "choices": [{
                        "index": 0,
                        "message": {"role": "assistant", "content": text},
                        "finish_reason": "stop",
                    }],
                    "usage": {"completion_tokens": tokens},
                });
                return Response::json(200, &answer).with_header(problem::OUTCOME, "ran");
            }
            Part::End(Ending::NotRun { reason, .. } | Ending::Unknown(reason)) => {
                return problem::unknown(&reason);
            }
        }
        next = parts.recv().await;
    }
    problem::unknown("the call was given up")
}
