//! Permits that a waiting request asks for, beside those that come with the answers to reports.

use std::sync::atomic::Ordering;
use std::time::Duration;

use super::context::Context;
use crate::adapters::clock;
use crate::domain::fleet::Answer;
use crate::domain::fleet::Call;
use crate::domain::gateway::Criteria;

/// Requests of one gateway that ask at the same time; further ones wait for the next report.
const MAX_ASKING: usize = 16;

/// Asks the relay for a permit of a target that lacks nothing else; returns whether one was issued within
/// `time_left`.
pub(super) async fn ask(context: &Context, criteria: &Criteria<'_>, time_left: Duration) -> bool {
    let mut targets = context.balancer().short_of_permits(clock::now(), criteria);
    let Some(relay) = context.controllers.relay().filter(|_| !targets.is_empty()) else {
        return false;
    };
    // Requests that come together begin with different targets.
    let first = criteria.draw % targets.len() as u64;
    targets.rotate_left(first as usize);
    if context.asking.fetch_add(1, Ordering::Relaxed) >= MAX_ASKING {
        context.asking.fetch_sub(1, Ordering::Relaxed);
        return false;
    }
    let call = Call::Permit { targets };
    let answer = context.controllers.call_at(relay, &call, time_left).await;
    context.asking.fetch_sub(1, Ordering::Relaxed);
    let Some(Answer::Permit(Some(target))) = answer else {
        return false;
    };
    context.balancer().grant(clock::now(), &target);
    true
}
