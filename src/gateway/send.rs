//! One send of a request to a target.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http_body_util::Full;

use super::context::Context;
use super::request::Request;
use crate::adapters::clock;
use crate::domain::catalog::Service;
use crate::domain::fleet::Target;
use crate::domain::gateway::Outcome;
use crate::platform::header as wire;

/// One send in progress at a target.
///
/// Whatever ends the request, the target's count is given back.
pub(super) struct Send {
    pub(super) context: Arc<Context>,
    pub(super) target: Target,
    outcome: Outcome,
}

impl Send {
    pub(super) fn start(context: &Arc<Context>, target: Target, service: &Service) -> Self {
        context.balancer().start(clock::now(), &target.id, service);
        Send {
            context: context.clone(),
            target,
            outcome: Outcome::Abandoned,
        }
    }

    pub(super) fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Send {
    fn drop(&mut self) {
        let outcome = self.outcome;
        let mut balancer = self.context.balancer();
        balancer.finish(clock::now(), &self.target.id, outcome);
        drop(balancer);
        let label = format!("{outcome:?}");
        let labels = [self.target.service.as_str(), label.as_str()];
        self.context.metrics.sends.with_label_values(&labels).inc();
        self.context.room.notify_one();
    }
}

/// What the head of an answer says of the request that was sent.
pub(super) enum Verdict {
    /// The target did not run the request.
    NotRun(Outcome),
    /// The answer belongs to another request, or nothing shows whose it is.
    Foreign,
    /// The answer is the request's own.
    Own,
}

/// Judges the head of an answer, before any of it is passed on.
pub(super) fn judge<B>(request: &Request, response: &Response<B>) -> Verdict {
    let headers = response.headers();
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        return Verdict::NotRun(Outcome::Misdirected);
    }
    if headers.contains_key(wire::NOT_RUN) {
        return Verdict::NotRun(Outcome::Refused);
    }
    let echoed = headers.get(wire::ATTEMPT_ID);
    let is_ours = echoed.is_none_or(|v| v.as_bytes() == request.id.as_bytes());
    let is_signed = headers.contains_key(wire::SIGNATURE);
    if !is_ours || (response.status().is_success() && !is_signed) {
        return Verdict::Foreign;
    }
    Verdict::Own
}

/// Request for one target; `last_event` asks for the rest of a stream.
pub(super) fn outgoing(
    request: &Request,
    target: &Target,
    left: Duration,
    last_event: Option<u64>,
) -> Option<http::Request<Full<Bytes>>> {
    let mut outgoing = http::Request::builder()
        .method(request.method.clone())
        .uri(http::Uri::from(request.path.clone()))
        .body(Full::new(request.body.clone()))
        .ok()?;
    let headers = outgoing.headers_mut();
    headers.clone_from(&request.headers);
    let left_ms = HeaderValue::from(left.as_millis() as u64);
    headers.insert(HeaderName::from_static(wire::DEADLINE_MS), left_ms);
    let id = HeaderValue::from_str(&target.id).ok()?;
    headers.insert(HeaderName::from_static(wire::TARGET), id);
    if let Some(event) = last_event {
        headers.insert(
            HeaderName::from_static(wire::LAST_EVENT_ID),
            HeaderValue::from(event),
        );
    }
    Some(outgoing)
}
