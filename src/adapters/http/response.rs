//! A response with a whole or a streamed body.

use bytes::Bytes;
use futures_util::stream::BoxStream;
use serde::Serialize;

/// Body of a response.
pub enum Body {
    /// All bytes at once.
    Whole(Bytes),
    /// Chunks, each sent as soon as it is ready; dropped when the caller disconnects.
    Stream(BoxStream<'static, Bytes>),
}

/// Response to a caller.
pub struct Response {
    /// HTTP status code; one outside 200 to 599 is sent as 502.
    pub status: u16,
    /// Names and values of headers; of a repeated name only the last is sent, and invalid ones are
    /// omitted.
    pub headers: Vec<(String, String)>,
    /// Whole body or stream.
    pub body: Body,
}

impl Response {
    /// Response with a whole body of media type `content_type`.
    pub fn new(status: u16, content_type: &str, body: impl Into<Bytes>) -> Self {
        Response {
            status,
            headers: vec![("content-type".to_owned(), content_type.to_owned())],
            body: Body::Whole(body.into()),
        }
    }

    /// Response with `value` as its JSON body; an empty body if `value` cannot be serialized.
    pub fn json<T: Serialize>(status: u16, value: &T) -> Self {
        let text = serde_json::to_vec(value).unwrap_or_default();
        Response::new(status, "application/json", text)
    }

    /// Response with one more header.
    pub fn with_header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }
}
