//! A response with a whole or a streamed body.

use bytes::Bytes;
use futures_util::stream::BoxStream;
use serde::Serialize;

/// Body of a response.
pub enum Body {
    /// All bytes.
    Whole(Bytes),
    /// Chunks as they come; dropped when the caller leaves.
    Stream(BoxStream<'static, Bytes>),
}

/// Response to a caller.
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Body,
}

impl Response {
    /// Response with a whole body.
    pub fn new(status: u16, content_type: &str, body: impl Into<Bytes>) -> Self {
        Response {
            status,
            headers: vec![("content-type".to_owned(), content_type.to_owned())],
            body: Body::Whole(body.into()),
        }
    }

    /// Response with a JSON body.
    pub fn json<T: Serialize>(status: u16, value: &T) -> Self {
        let text = serde_json::to_vec(value).unwrap_or_default();
        Response::new(status, "application/json", text)
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }
}
