//! Chat completions: checks the request and writes the answer, buffered or streamed.

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

/// Bytes at the start of the first message that are hashed for cache affinity.
const AFFINITY_PREFIX_BYTES: usize = 512;

/// Answers one chat completion request.
pub(super) async fn handle(context: Arc<Context>, request: Request) -> Response {
    let (caller, mut body) = match parse_and_authenticate(&context, &request) {
        Ok(accepted) => accepted,
        Err(response) => return *response,
    };
    let is_streamed = body.get("stream").and_then(Value::as_bool).unwrap_or(false);
    // Engines are always asked for a stream; a buffered answer is collected from its tokens.
    body["stream"] = Value::Bool(true);
    let prefix = prefix_hash(&body);
    let mut forward = base_forward(&caller);
    forward.prefix = prefix;
    forward.body = body.to_string().into_bytes();
    let id = format!("chatcmpl-{}", forward.id);
    let model = caller.environment.clone();
    let arrived_at = clock::now();
    let mut parts = relay::start(context.clone(), Job { caller, forward });
    let first_part = parts.recv().await;
    let time_to_first_part = clock::now().saturating_sub(arrived_at);
    // Also observed when the first part is the end of a call without a token.
    context
        .metrics
        .first_token
        .observe(time_to_first_part.as_secs_f64());
    match first_part {
        Some(Part::End(Ending::NotRun {
            reason,
            retry_after_ms,
        })) => problem::not_run(&reason, retry_after_ms),
        Some(Part::End(Ending::Unknown(reason))) => problem::outcome_unknown(&reason),
        None => problem::outcome_unknown("the call was given up"),
        Some(Part::Answer(answer)) => service::response(service::End::Answer(answer)),
        Some(first_part) if is_streamed => {
            streaming_response(&context, Writer::new(id, model), first_part, parts)
        }
        Some(first_part) => buffered_response(&id, &model, first_part, parts).await,
    }
}

/// Message to the owner with the fields that all kinds of call have in common.
pub(super) fn base_forward(caller: &Caller) -> wire::Forward {
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

/// Error answer to a caller that was not authenticated.
pub(super) fn authentication_error(error: Error, name: &str) -> Response {
    match error {
        Error::UnknownEnvironment => problem::invalid(404, &format!("no environment {name:.64}")),
        Error::UnknownKey => problem::invalid(401, "the key belongs to no client account of the environment"),
        Error::NoConfiguration => problem::not_run("this entry has no configuration yet", 1_000),
    }
}

/// Caller and body of a valid request, or the error answer to an invalid one.
fn parse_and_authenticate(context: &Context, request: &Request) -> Result<(Caller, Value), Box<Response>> {
    let invalid = |status, message: &str| Box::new(problem::invalid(status, message));
    let Some(body) = &request.body else {
        return Err(invalid(413, "the body is too large"));
    };
    let value: Value =
        serde_json::from_slice(body).map_err(|e| invalid(400, &format!("the body is not JSON: {e}")))?;
    let Some(model) = value.get("model").and_then(Value::as_str) else {
        return Err(invalid(400, "model: must be a string"));
    };
    let messages = value.get("messages").and_then(Value::as_array);
    if messages.is_none_or(Vec::is_empty) {
        return Err(invalid(400, "messages: must be a list that is not empty"));
    }
    if value.get("stream").is_some_and(|s| !s.is_boolean()) {
        return Err(invalid(400, "stream: must be true or false"));
    }
    let key = request.bearer_token().unwrap_or("");
    let caller = account::authenticate(context, model, key)
        .map_err(|error| Box::new(authentication_error(error, model)))?;
    if body.len() > caller.document.limits.body_bytes {
        return Err(invalid(413, "the body is larger than the environment allows"));
    }
    Ok((caller, value))
}

/// Hash of the start of the prompt; never 0, which stands for no hash.
fn prefix_hash(body: &Value) -> u64 {
    let text = body["messages"][0].to_string();
    let end = text.len().min(AFFINITY_PREFIX_BYTES);
    xxhash_rust::xxh3::xxh3_64(&text.as_bytes()[..end]).max(1)
}

/// Formats the server-sent events of one streamed answer.
struct Writer {
    /// Start of each token event, up to the token's text.
    token_event_start: String,
    id: String,
    model: String,
}

impl Writer {
    fn new(id: String, model: String) -> Self {
        let (quoted_id, quoted_model) = (Value::from(id.as_str()), Value::from(model.as_str()));
        let token_event_start = format!(
            "data: {{\"id\":{quoted_id},\"object\":\"chat.completion.chunk\",\"model\":{quoted_model},\
             \"choices\":[{{\"index\":0,\"finish_reason\":null,\"delta\":{{\"content\":"
        );
        Writer {
            token_event_start,
            id,
            model,
        }
    }

    fn token_event(&self, text: String) -> Bytes {
        let text = Value::String(text);
        Bytes::from(format!("{}{text}}}}}]}}\n\n", self.token_event_start))
    }

    fn final_events(&self) -> Bytes {
        let last_chunk = json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        });
        Bytes::from(format!("data: {last_chunk}\n\ndata: [DONE]\n\n"))
    }

    fn event(&self, part: Part) -> Bytes {
        match part {
            Part::Token(text) => self.token_event(text),
            Part::Answer(answer) => Bytes::from(answer.body),
            Part::End(Ending::Done) => self.final_events(),
            Part::End(Ending::NotRun { reason, .. } | Ending::Unknown(reason)) => {
                let error = problem::error_body("stream_broken", &reason);
                Bytes::from(format!("data: {error}\n\n"))
            }
        }
    }
}

/// Streamed answer; each event is formatted when the HTTP server takes it for the caller.
fn streaming_response(
    context: &Arc<Context>,
    writer: Writer,
    first_part: Part,
    parts: mpsc::Receiver<Part>,
) -> Response {
    // The call counts as open until the caller has read the last event.
    let open_call = context.track_open_call();
    let state = (Some(first_part), parts, writer, open_call);
    let events =
        futures_util::stream::unfold(state, |(first_part, mut parts, writer, open_call)| async move {
            let part = match first_part {
                Some(part) => part,
                None => parts.recv().await?,
            };
            Some((writer.event(part), (None, parts, writer, open_call)))
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

/// Whole answer, sent once all its tokens have arrived.
async fn buffered_response(
    id: &str,
    model: &str,
    first_part: Part,
    mut parts: mpsc::Receiver<Part>,
) -> Response {
    let mut text = String::new();
    let mut tokens = 0;
    let mut next_part = Some(first_part);
    while let Some(part) = next_part {
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
                return Response::json(200, &answer).with_header(problem::OUTCOME_HEADER, "ran");
            }
            Part::End(Ending::NotRun { reason, .. } | Ending::Unknown(reason)) => {
                return problem::outcome_unknown(&reason);
            }
        }
        next_part = parts.recv().await;
    }
    problem::outcome_unknown("the call was given up")
}
