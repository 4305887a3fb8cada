//! Token streams of model engines, as server-sent events.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde::Deserialize;

use super::Client;
use super::Error;
use super::client::Call;
use super::client::MAX_REPLY_BYTES;
use super::client::Response;

/// HTTP status by which an engine refuses a call with another fencing token than its own.
const WRONG_FENCE_STATUS: u16 = 409;
/// HTTP status by which an engine refuses a call because it has no room.
const OVERLOADED_STATUS: u16 = 503;
/// Largest event of a stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Request to an engine for a generation.
#[derive(Debug)]
pub struct Prompt<'a> {
    /// Host and port of the group's first member, which takes its requests.
    pub address: &'a str,
    /// Identifier of the request, which each token of the answer repeats.
    pub id: &'a str,
    /// Number of the replica group.
    pub group: u64,
    /// Fencing token of the group.
    pub fence: u64,
    /// Chat completion request, as JSON.
    pub body: Bytes,
    /// Offset of the first token to return: the number of tokens that the caller already has.
    pub resume: u64,
    /// Longest wait for the head of the answer, and between two parts of it.
    pub stall_timeout: Duration,
}

/// One token of a generation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Token {
    /// Identifier of the request to which it belongs.
    pub id: String,
    /// Position in the generated text in tokens, from 0.
    pub offset: u64,
    /// Text of the token.
    pub text: String,
}

/// Stream of tokens, which checks that they belong to the request and are in order.
#[derive(Debug)]
pub struct Generation {
    response: Response,
    /// Received bytes that make no whole event yet.
    buffer: Vec<u8>,
    id: String,
    /// Offset of the next token.
    next_offset: u64,
    stall_timeout: Duration,
}

/// Starts a generation and waits for the head of the answer.
///
/// # Errors
///
/// `NotSent` and `Refused` when the engine did not run the request; any other error when it may
/// have.
pub async fn generate(client: &Client, prompt: Prompt<'_>) -> Result<Generation, Error> {
    let call = Call {
        method: Method::POST,
        address: prompt.address,
        path: "/v1/chat/completions",
        headers: vec![
            ("content-type", "application/json".to_owned()),
            ("x-request-id", prompt.id.to_owned()),
            ("x-group", prompt.group.to_string()),
            ("x-fence", prompt.fence.to_string()),
            ("x-resume", prompt.resume.to_string()),
        ],
        body: prompt.body,
        // On a connection that was used before, an engine may repeat the refusal of an earlier generation.
        is_sent_once: true,
    };
    let response = client.send(call, prompt.stall_timeout).await?;
    let status = response.status.as_u16();
    if status == WRONG_FENCE_STATUS || status == OVERLOADED_STATUS {
        return Err(Error::Refused(status));
    }
    if status != 200 {
        let text = response.collect(MAX_REPLY_BYTES, prompt.stall_timeout).await?;
        return Err(Error::Status(status, String::from_utf8_lossy(&text).into_owned()));
    }
    Ok(Generation {
        response,
        buffer: Vec::new(),
        id: prompt.id.to_owned(),
        next_offset: prompt.resume,
        stall_timeout: prompt.stall_timeout,
    })
}

impl Generation {
    /// Next token, or `None` after the end mark `[DONE]`.
    ///
    /// # Errors
    ///
    /// `Mismatch` for a token of another request, a gap or a repeat; `Broken` for an unreadable
    /// or too large event, or an end without the end mark; `Timeout` when no part comes in time.
    pub async fn next(&mut self) -> Result<Option<Token>, Error> {
        loop {
            if let Some(event) = take_event(&mut self.buffer) {
                if event == "[DONE]" {
                    return Ok(None);
                }
                let token: Token = serde_json::from_str(&event).map_err(|_| Error::Broken)?;
                if token.id != self.id || token.offset != self.next_offset {
                    return Err(Error::Mismatch);
                }
                self.next_offset += 1;
                return Ok(Some(token));
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(Error::Broken);
            }
            let frame = self.response.next_frame(self.stall_timeout).await?;
            let chunk = frame.ok_or(Error::Broken)?.into_data().unwrap_or_default();
            self.buffer.extend_from_slice(&chunk);
        }
    }
}

/// Removes the first whole server-sent event from `buffer` and returns its data, which is empty
/// for an event without any.
fn take_event(buffer: &mut Vec<u8>) -> Option<String> {
    let end = buffer.windows(2).position(|w| w == b"\n\n")?;
    let event: Vec<u8> = buffer.drain(..end + 2).collect();
    let text = String::from_utf8_lossy(&event);
    Some(text.trim_end().strip_prefix("data: ").unwrap_or("").to_owned())
}
