//! Permits that a waiting request asks for, beside those that come with the answers to reports.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::context::Context;
use super::request::Request;
use crate::adapters::clock;
use crate::domain::fleet::Answer;
use crate::domain::fleet::Call;
use crate::domain::gateway::Criteria;
use crate::domain::pace::PERMIT_VALIDITY;

/// Requests of one gateway that ask at the same time; further ones wait for the next report.
const MAX_ASKING: usize = 32;
/// Longest wait at the relay for a permit: what is left of its validity covers the way of the answer.
const MAX_PACE_WAIT: Duration = Duration::from_millis(60);
/// Time for the answer to an ask beyond the wait at the relay.
const ANSWER_TIME: Duration = Duration::from_millis(40);

/// Counts an ask until it is dropped, also when its caller leaves meanwhile.
struct Asking<'a>(&'a AtomicUsize);

impl<'a> Asking<'a> {
    /// None if too many requests ask already.
    fn begin(count: &'a AtomicUsize) -> Option<Self> {
        let asking = Asking(count);
        (count.fetch_add(1, Ordering::Relaxed) < MAX_ASKING).then_some(asking)
    }
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Asks the relay for a permit of a target that lacks nothing else, for `request`; returns whether
/// one was issued within `time_left`.
pub(super) async fn ask(
    context: &Context,
    criteria: &Criteria<'_>,
    request: &Request,
    time_left: Duration,
) -> bool {
    let Some(relay) = context.controllers.relay() else {
        return false;
    };
    let now = clock::now();
    let pace_ask = context
        .balancer()
        .pace_ask(now, criteria, request.rank, time_left.min(MAX_PACE_WAIT));
    let mut targets = context.balancer().short_of_permits(now, criteria);
    let call = match pace_ask {
        Some(mut ask) => {
            ask.account = request
                .account
                .clone()
                .filter(|_| context.settings.account_shares);
            Call::Pace(Box::new(ask))
        }
        None if targets.is_empty() => return false,
        None => {
            // Requests that come together begin with different targets.
            let first = criteria.draw % targets.len() as u64;
            targets.rotate_left(first as usize);
            Call::Permit { targets }
        }
    };
    let Some(_asking) = Asking::begin(&context.asking) else {
        return false;
    };
    let is_pace = matches!(call, Call::Pace(_));
    let limit = if is_pace {
        time_left + ANSWER_TIME
    } else {
        time_left
    };
    let answer = context.controllers.call_at(relay, &call, limit).await;
    if is_pace {
        let outcome = match &answer {
            Some(Answer::Permit(Some(_))) => "granted",
            Some(Answer::Permit(None)) => "denied",
            _ => "unanswered",
        };
        let priority = request.rank.to_string();
        let labels = [priority.as_str(), outcome];
        context.metrics.pace_asks.with_label_values(&labels).inc();
    }
    let Some(Answer::Permit(granted)) = answer else {
        return false;
    };
    let answered_at = clock::now();
    let mut balancer = context.balancer();
    if is_pace {
        balancer.record_pace_answer(answered_at);
    }
    match granted {
        Some(target) if is_pace => balancer.grant_pace(&target, now + PERMIT_VALIDITY),
        Some(target) => balancer.grant(answered_at, &target),
        None => return false,
    }
    true
}
