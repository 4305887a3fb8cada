//! Evidence on the marks of requests, which are their prompt parts and their fingerprint: which runs were sound, and
//! which ended because their upstream's process ended.
//!
//! A mark in quarantine is one of which the leader has seen enough crashes; requests with it are refused.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Response;
use hyper::body::Body as _;

use super::answer;
use super::context::Context;
use super::dial;
use super::dispatch::elapsed_ms;
use super::request::Request;
use super::send::Send;
use crate::adapters::clock;
use crate::adapters::http1::Body;
use crate::adapters::http1::Framing;
use crate::domain::fleet::Target;
use crate::domain::quarantine::is_fingerprint;
use crate::logging;

/// Reason of a refusal for a prompt part.
const PART_REASON: &str = "a prompt part is in quarantine";
/// Reason of a refusal for the request itself.
const REQUEST_REASON: &str = "the request is in quarantine";

/// Delay before a caller should retry a request with a mark in quarantine; it may be released earlier.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(60);
/// Events after which a run is sound: upstreams crash on a part when they begin to write the answer.
const SOUND_EVENTS: usize = 3;
/// Delay before a target that has accepted a connection is checked again. A process that ends may lose
/// its connections a moment before it stops listening.
const RECHECK_DELAY: Duration = Duration::from_millis(100);
/// Checks that run at the same time.
const MAX_CHECKS: usize = 64;
/// Requests that wait for the result of one check.
const MAX_WAITING: usize = 64;

/// Request whose connection to a target was lost.
pub(super) struct Lost {
    at: Duration,
    sent_at: Duration,
    marks: Vec<String>,
}

/// Checks under way, by target and incarnation, with the requests that broke there.
pub(super) type Checks = BTreeMap<(String, u64), Vec<Lost>>;

/// What one run of a stream shows of the prompt parts of its request.
#[derive(Default)]
pub(super) struct Run {
    events: usize,
    is_sound: bool,
}

impl Run {
    /// Records events that the run has delivered.
    pub(super) fn record_events(&mut self, context: &Context, request: &Request, count: usize) {
        self.events += count;
        if self.events >= SOUND_EVENTS {
            self.record_end(context, request);
        }
    }

    /// Records that the run has ended completely.
    pub(super) fn record_end(&mut self, context: &Context, request: &Request) {
        if !self.is_sound {
            self.is_sound = true;
            record_sound(context, request);
        }
    }

    /// Records that the run's connection was lost, unless the run has been sound.
    pub(super) fn record_lost_connection(&self, send: &Send, request: &Request) {
        if !self.is_sound {
            record_lost_connection(send, request);
        }
    }
}

/// Records an answer that is not a stream.
///
/// An upstream reports an error before it begins to write, and the end of a connection may be the end of
/// its process; neither shows that the parts are sound.
pub(super) fn record_answer(send: &Send, request: &Request, response: &Response<Body>) {
    let may_be_cut = response.body().is_end_stream() && Framing::of(response) == Framing::Connection;
    if response.status().is_success() && !may_be_cut {
        record_sound(&send.context, request);
    }
}

fn record_sound(context: &Context, request: &Request) {
    context
        .observations()
        .record_sound(clock::now(), request.marks.iter());
}

/// Checks whether the process of a target whose connection was lost has ended, and records the crash.
///
/// Requests that break at the target during the check wait for its result.
pub(super) fn record_lost_connection(send: &Send, request: &Request) {
    let Ok(address) = send.target.address.parse() else {
        return;
    };
    let lost = Lost {
        at: clock::now(),
        sent_at: send.started,
        marks: request.marks.iter().map(Cow::into_owned).collect(),
    };
    let mut checks = send.context.checks();
    let is_full = checks.len() >= MAX_CHECKS;
    let key = (send.target.id.clone(), send.target.incarnation);
    match checks.get_mut(&key) {
        Some(waiting) if waiting.len() < MAX_WAITING => waiting.push(lost),
        // The requests that wait are evidence enough.
        Some(_) => {}
        None if is_full => {
            drop(checks);
            record_undecided(&send.context, &key, vec![lost]);
        }
        None => {
            checks.insert(key, vec![lost]);
            tokio::spawn(check(send.context.clone(), send.target.clone(), address));
        }
    }
}

async fn check(context: Arc<Context>, target: Target, address: SocketAddr) {
    let mut has_ended = has_ended(&context, &target, address).await;
    if !has_ended {
        tokio::time::sleep(RECHECK_DELAY).await;
        has_ended = self::has_ended(&context, &target, address).await;
    }
    let key = (target.id, target.incarnation);
    let waiting = context.checks().remove(&key).unwrap_or_default();
    if !has_ended {
        record_undecided(&context, &key, waiting);
        return;
    }
    context.metrics.crash_evidence.inc_by(waiting.len() as u64);
    let (id, incarnation) = key;
    context.refusals().record(clock::now(), &id, incarnation);
    let mut observations = context.observations();
    for lost in waiting {
        observations.record_crash(lost.at, lost.sent_at, &id, incarnation, &lost.marks);
    }
}

/// Leaves it to the leader whether the process of a target has ended, by the target's next heartbeats.
///
/// A check can miss an end: nobody may be there to confirm it, and the process may be back before.
fn record_undecided(context: &Context, (id, incarnation): &(String, u64), waiting: Vec<Lost>) {
    context.metrics.undecided_losses.inc_by(waiting.len() as u64);
    let mut observations = context.observations();
    for lost in waiting {
        observations.record_undecided(lost.at, lost.sent_at, id, *incarnation, &lost.marks);
    }
}

/// Whether the process of a target has ended, so that its address refuses connections.
///
/// A link at fault may refuse them, too, so another gateway must find the same. Where there is none, another
/// target must accept a connection of this one.
async fn has_ended(context: &Context, target: &Target, address: SocketAddr) -> bool {
    let is_suspect = context.reach().is_link_suspect(clock::now(), &target.id);
    let dialer = context.upstreams.dialer();
    if !is_suspect && !dialer.is_refused(address).await {
        return false;
    }
    if context.balancer().gateways() == 1 {
        return !is_suspect;
    }
    if let Some(has_ended) = dial::ask_whether_ended(context, target).await {
        return has_ended;
    }
    let Some(other) = context.other_target(&target.id) else {
        return false;
    };
    !is_suspect && dialer.open(other).await.is_ok()
}

/// Reason to send a request with this mark in quarantine no more.
pub(super) fn reason(mark: &str) -> &'static str {
    match is_fingerprint(mark) {
        true => REQUEST_REASON,
        false => PART_REASON,
    }
}

/// Refusal of a request with a mark in quarantine; no target has executed the request.
pub(super) fn refuse(context: &Context, request: &Request, mark: &str) -> Response<Body> {
    let reason = reason(mark);
    context.metrics.refusals.with_label_values(&[reason]).inc();
    logging::REQUEST_REFUSED.log_fields(&[
        ("request", request.id.as_str().into()),
        ("route", request.route.name.as_str().into()),
        ("reason", reason.into()),
        ("mark", mark.into()),
        ("version", request.catalog.version().into()),
        ("back_ms", (RETRY_AFTER.as_millis() as u64).into()),
        ("after_ms", elapsed_ms(request).into()),
    ]);
    answer::unavailable(reason, RETRY_AFTER)
}
