//! Permits that the relay of one controller issues, and the asks that wait for one.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Ask;
use super::order;
use super::order::Order;
use super::order::Payer;
use super::window::Window;

/// Asks that wait at the same time; further ones get no permit at once.
const MAX_WAITING: usize = 256;
/// Targets of one ask that are considered.
const MAX_TARGETS: usize = 64;
/// Time without a permit after which a target is forgotten.
const RETENTION: Duration = Duration::from_secs(60);

/// Checks that wait to be sent; further ones are left out.
const MAX_CHECKS: usize = 64;

/// Health check of a target that is to be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Check {
    /// Identifier of the target.
    pub target: String,
    /// Path of the health check.
    pub path: String,
    /// When it counts as sent.
    pub sent_at: Duration,
}

/// Ask that waits for a permit.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    ticket: u64,
    pub(super) ask: Ask,
    deadline: Duration,
    /// None if the ask states no account.
    pub(super) payer: Option<Payer>,
}

/// Issuer of permits, by target.
#[derive(Clone, Debug, Default)]
pub struct Pacer {
    windows: BTreeMap<String, Window>,
    /// In the order of their arrival.
    waiting: Vec<Waiting>,
    /// Tickets of asks that gave way to others and have not been answered yet.
    displaced: Vec<u64>,
    order: Order,
    /// Number of permits issued.
    issued: u64,
    checks: Vec<Check>,
}

impl Pacer {
    /// Takes an ask; returns false if too many wait already.
    pub fn receive(&mut self, now: Duration, ticket: u64, mut ask: Ask) -> bool {
        let payer = Payer::of(&ask);
        if let Some(payer) = payer {
            self.order.record_ask(now, payer, &self.waiting);
        }
        if self.waiting.len() >= MAX_WAITING {
            let Some(position) = payer.and_then(|payer| order::displaced(payer, &self.waiting)) else {
                return false;
            };
            self.displaced.push(self.waiting.remove(position).ticket);
        }
        ask.targets.truncate(MAX_TARGETS);
        self.waiting.push(Waiting {
            ticket,
            payer,
            deadline: now + ask.wait(),
            ask,
        });
        true
    }

    /// Answers the asks for which a permit can be issued, and those that may not wait any longer.
    ///
    /// `part` is the part of each rate that this relay may issue, 0 to 1, and `is_cold` tells whether a target
    /// announces a cold start; none for an unknown target.
    pub fn advance(
        &mut self,
        now: Duration,
        part: f64,
        is_cold: impl Fn(&str) -> Option<bool>,
    ) -> Vec<(u64, Option<String>)> {
        let displaced = std::mem::take(&mut self.displaced).into_iter();
        let mut answers: Vec<(u64, Option<String>)> = displaced.map(|ticket| (ticket, None)).collect();
        let mut waiting = std::mem::take(&mut self.waiting);
        while let Some((position, target)) = self.serve_next(now, part, &waiting, &is_cold) {
            answers.push((waiting.remove(position).ticket, Some(target)));
        }
        let (expired, waiting): (Vec<Waiting>, Vec<Waiting>) =
            waiting.into_iter().partition(|w| now >= w.deadline);
        self.waiting = waiting;
        for payer in expired.iter().filter_map(|w| w.payer) {
            self.order.record_denial(now, payer);
        }
        answers.extend(expired.into_iter().map(|w| (w.ticket, None)));
        answers
    }

    /// Issues a permit for the next ask for which there is one; returns the ask's position and the target.
    fn serve_next(
        &mut self,
        now: Duration,
        part: f64,
        waiting: &[Waiting],
        is_cold: &impl Fn(&str) -> Option<bool>,
    ) -> Option<(usize, String)> {
        let order = self.order.arrange(now, self.issued, waiting);
        let issue = |i: usize| Some((i, self.issue(now, part, &waiting[i].ask, is_cold)?));
        let (position, target) = order.into_iter().find_map(issue)?;
        self.issued += 1;
        let served = &waiting[position];
        if let Some(payer) = served.payer {
            let has_waited = served.deadline < now + served.ask.wait();
            let is_wanted = |(i, w): (usize, &Waiting)| i != position && w.ask.targets.contains(&target);
            let is_short = has_waited || waiting.iter().enumerate().any(is_wanted);
            self.order.record_permit(now, payer, is_short);
        }
        Some((position, target))
    }

    /// Issues a permit for the target with room that has got none for the longest time, so that requests are
    /// spread evenly over targets and time. Those in the zone of the gateway go first.
    fn issue(
        &mut self,
        now: Duration,
        part: f64,
        ask: &Ask,
        is_cold: &impl Fn(&str) -> Option<bool>,
    ) -> Option<String> {
        let mut best: Option<((bool, Option<Duration>), &String)> = None;
        for (position, target) in ask.targets.iter().enumerate() {
            let Some(is_cold) = is_cold(target) else {
                continue;
            };
            let window = self.windows.entry(target.clone()).or_default();
            let is_cold = is_cold || window.is_cold(now);
            let allowed = part * if is_cold { ask.cold_per_s } else { ask.warm_per_s };
            if !is_cold && self.checks.len() < MAX_CHECKS && window.wants_check(now, allowed) {
                window.record_check(now);
                self.checks.push(Check {
                    target: target.clone(),
                    path: ask.health_path.clone(),
                    sent_at: now,
                });
            }
            let last = (position >= ask.near, window.last_issued());
            if best.is_none_or(|(earliest, _)| last < earliest) && window.has_room(now, allowed) {
                best = Some((last, target));
            }
        }
        let (_, target) = best?;
        self.windows.get_mut(target)?.record(now);
        Some(target.clone())
    }

    /// Checks to send.
    pub fn take_checks(&mut self) -> Vec<Check> {
        std::mem::take(&mut self.checks)
    }

    /// Records the answer to a check: the remaining time of the target's cold start, or none without a usable one.
    pub fn record_check(&mut self, now: Duration, check: &Check, cold: Option<Duration>) {
        if let Some(window) = self.windows.get_mut(&check.target) {
            window.record_answer(now, check.sent_at, cold);
        }
    }

    /// Number of asks that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Forgets targets that have got no permit for long, and accounts that have not asked for long.
    pub fn expire(&mut self, now: Duration) {
        self.order.expire(now);
        self.windows
            .retain(|_, w| w.last_issued().is_some_and(|at| now < at + RETENTION));
    }
}
