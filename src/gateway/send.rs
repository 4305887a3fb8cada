//! One send of a request to a target.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http_body_util::Full;

use super::context::Context;
use super::dial::Tunnel;
use super::request::Request;
use crate::adapters::clock;
use crate::adapters::http1::Connection;
use crate::domain::catalog::Service;
use crate::domain::fleet::Target;
use crate::domain::gateway::Notice;
use crate::domain::gateway::Outcome;
use crate::domain::limit::Limit;
use crate::domain::limit::Rate;
use crate::logging;
use crate::platform::header as platform_header;

/// Way of a send's connection to its target.
pub(super) enum Path {
    Direct,
    Tunnel(Tunnel),
    /// Neither this gateway nor a helper could connect.
    None,
}

/// Guard of one send in progress at a target.
///
/// The balancer counts the send until the guard is dropped, however the request ends.
pub(super) struct Send {
    pub(super) context: Arc<Context>,
    pub(super) target: Target,
    /// When the request was sent.
    pub(super) started: Duration,
    /// Way of its connection; unset while there is none, and for an idle one that is used again.
    path: OnceLock<Path>,
    /// Outcome to record on drop; `Abandoned` until [`Send::end`] sets another one.
    outcome: Outcome,
}

impl Send {
    /// Counts a send to `target` as in progress from now on.
    pub(super) fn start(context: &Arc<Context>, target: Target, service: &Service) -> Self {
        let started = clock::now();
        context.balancer().start_send(started, &target.id, service);
        Send {
            context: context.clone(),
            target,
            started,
            path: OnceLock::new(),
            outcome: Outcome::Abandoned,
        }
    }

    /// Records the way of the send's connection.
    pub(super) fn set_path(&self, path: Path) {
        // Set once: a send connects once.
        let _ = self.path.set(path);
    }

    /// Records that something has arrived from the target, which also tells of the link.
    pub(super) fn record_heard(&self) {
        if !matches!(self.path.get(), Some(Path::Tunnel(_))) {
            self.context.reach().record_heard(clock::now());
        }
    }

    /// Whether a failure of this send says nothing of its target.
    pub(super) fn is_link_suspect(&self) -> bool {
        match self.path.get() {
            Some(Path::None) => false,
            Some(Path::Tunnel(tunnel)) => tunnel.is_lost(),
            Some(Path::Direct) | None => {
                let reach = self.context.reach();
                reach.is_link_suspect(clock::now(), &self.target.id)
            }
        }
    }

    /// Records what the target says of itself with an answer to a request.
    pub(super) fn record_notice<B>(&self, request: &Request, response: &Response<B>) {
        self.record_heard();
        if let Some(limit) = limit(request, response) {
            self.record_limit(limit);
        }
        let notice = notice(response);
        if notice == Notice::default() {
            return;
        }
        let is_new = self
            .context
            .balancer()
            .record_notice(clock::now(), &self.target, notice);
        if !is_new {
            return;
        }
        let pause_ms = notice.pause.unwrap_or_default().as_millis() as u64;
        logging::TARGET_NOTICE.log_fields(&[
            ("target", self.target.id.as_str().into()),
            ("incarnation", self.target.incarnation.into()),
            ("leaving", notice.is_leaving.into()),
            ("pause_ms", pause_ms.into()),
        ]);
    }

    fn record_limit(&self, limit: Limit) {
        let mut balancer = self.context.balancer();
        let is_new = balancer.record_limit(clock::now(), self.started, &self.target, limit);
        let limited = balancer.limited();
        drop(balancer);
        if !is_new {
            return;
        }
        self.context.metrics.limited_targets.set(limited as i64);
        let per_second = limit.rate().map_or(0.0, Rate::per_second);
        logging::TARGET_LIMIT.log_fields(&[
            ("target", self.target.id.as_str().into()),
            ("incarnation", self.target.incarnation.into()),
            ("limited", (limit != Limit::Unlimited).into()),
            ("per_second", per_second.into()),
        ]);
    }

    /// Ends the send with `outcome`.
    pub(super) fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Send {
    fn drop(&mut self) {
        let mut outcome = self.outcome;
        if matches!(outcome, Outcome::Failed | Outcome::Stalled) && self.is_link_suspect() {
            outcome = Outcome::Partitioned;
            if let Some(Path::Tunnel(tunnel)) = self.path.get() {
                let helper = tunnel.helper;
                self.context.reach().record_helper_failure(clock::now(), helper);
            }
        }
        let mut balancer = self.context.balancer();
        balancer.finish_send(clock::now(), &self.target.id, outcome);
        drop(balancer);
        let label = format!("{outcome:?}");
        let labels = [self.target.service.as_str(), label.as_str()];
        self.context.metrics.sends.with_label_values(&labels).inc();
        self.context.room.notify_one();
    }
}

/// Relation of an answer to the request that was sent.
pub(super) enum Classification {
    /// The target did not execute the request.
    NotRun(Outcome),
    /// The answer belongs to another request, may do so, or is a success without the upstream's signature.
    Foreign,
    /// The answer belongs to the request.
    Own,
}

/// Classifies an answer by its head, before any of it is passed on.
///
/// A target may write an earlier answer again. A refusal is believed only if it names the request, or names
/// none on a connection that no earlier request has used.
pub(super) fn classify<B>(
    request: &Request,
    response: &Response<B>,
    connection: &Connection,
) -> Classification {
    let headers = response.headers();
    let echoed_id = headers.get(platform_header::ATTEMPT_ID);
    if echoed_id.is_some_and(|v| v.as_bytes() != request.id.as_bytes()) {
        return Classification::Foreign;
    }
    let refusal = if response.status() == StatusCode::MISDIRECTED_REQUEST {
        Some(Outcome::Misdirected)
    } else {
        let is_refused = headers.contains_key(platform_header::NOT_RUN);
        is_refused.then_some(Outcome::Refused)
    };
    if let Some(outcome) = refusal {
        if echoed_id.is_none() && connection.is_reused() {
            return Classification::Foreign;
        }
        return Classification::NotRun(outcome);
    }
    let is_signed = headers.contains_key(platform_header::SIGNATURE);
    if response.status().is_success() && !is_signed {
        return Classification::Foreign;
    }
    Classification::Own
}

/// Whether a status tells callers that the request has not run.
pub(super) fn denies_execution(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// What the target of an answer says of itself.
pub(super) fn notice<B>(response: &Response<B>) -> Notice {
    let headers = response.headers();
    let is_unavailable = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    let retry_after = headers
        .get(platform_header::RETRY_AFTER)
        .filter(|_| is_unavailable);
    Notice {
        is_leaving: headers.contains_key(platform_header::LEAVING),
        pause: retry_after
            .and_then(|v| v.to_str().ok())
            .and_then(platform_header::parse_retry_after),
    }
}

/// Limit that the target of an answer names, or that it names none; nothing if the answer does not tell.
///
/// An upstream that answers 421 is not the target. An answer to another request may be an earlier one, and a
/// limit that cannot be read is not taken for none.
fn limit<B>(request: &Request, response: &Response<B>) -> Option<Limit> {
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        return None;
    }
    let headers = response.headers();
    if let Some(value) = headers.get(platform_header::LIMIT) {
        let rate = value.to_str().ok().and_then(platform_header::parse_limit);
        return rate.map(Limit::AtMost);
    }
    let echoed_id = headers.get(platform_header::ATTEMPT_ID)?;
    (echoed_id.as_bytes() == request.id.as_bytes()).then_some(Limit::Unlimited)
}

/// Request to one target; with `last_event`, asks for the events of a stream that follow it.
///
/// None if the request or the target's identifier cannot be encoded.
pub(super) fn upstream_request(
    request: &Request,
    target: &Target,
    time_left: Duration,
    last_event: Option<u64>,
) -> Option<http::Request<Full<Bytes>>> {
    let mut outgoing = http::Request::builder()
        .method(request.method.clone())
        .uri(http::Uri::from(request.path.clone()))
        .body(Full::new(request.body.clone()))
        .ok()?;
    let headers = outgoing.headers_mut();
    headers.clone_from(&request.headers);
    let time_left_ms = HeaderValue::from(time_left.as_millis() as u64);
    headers.insert(
        HeaderName::from_static(platform_header::DEADLINE_MS),
        time_left_ms,
    );
    let id = HeaderValue::from_str(&target.id).ok()?;
    headers.insert(HeaderName::from_static(platform_header::TARGET), id);
    if let Some(event) = last_event {
        headers.insert(
            HeaderName::from_static(platform_header::LAST_EVENT_ID),
            HeaderValue::from(event),
        );
    }
    Some(outgoing)
}
