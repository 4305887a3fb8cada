//! A request with its whole body.

use bytes::Bytes;
use http::HeaderMap;
use http::Method;

/// Request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Whole body, or `None` when it exceeds the size limit of the server or cannot be read.
    pub body: Option<Bytes>,
}

impl Request {
    /// Value of a header, or `None` when it is missing or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Token of an `authorization: Bearer` header, or `None` without one.
    pub fn bearer_token(&self) -> Option<&str> {
        self.header("authorization")?
            .strip_prefix("Bearer ")
            .map(str::trim)
    }
}
