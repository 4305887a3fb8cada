//! Quarantine of prompt parts, as the leader decides it from the evidence of all gateways.
//!
//! The replicated log holds the parts in quarantine, so they outlive leaders and gateways. The evidence is
//! the leader's alone: gateways report each crash for some seconds, and a new leader asks them again.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Command;
use super::Telemetry;
use super::core::Core;
use super::event::Action;
use super::fate;
use crate::domain::quarantine::Attribution;
use crate::domain::quarantine::Evidence;
use crate::domain::quarantine::Undecided;
use crate::domain::quarantine::is_fingerprint;

/// Shortest interval between two decisions, while new evidence arrives.
const BUSY_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two decisions without new evidence.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest interval between two decisions for each mark in the evidence, so that a leader with much of it keeps
/// most of its processor.
const INTERVAL_PER_MARK: Duration = Duration::from_micros(15);
/// Time after the latest new evidence in which decisions stay frequent: one may wait until gateways have
/// been asked.
const SETTLING_TIME: Duration = Duration::from_millis(600);
/// Time after which a proposal that is not applied is made again.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a crash after which a part is released.
const RELEASE_TIME: Duration = Duration::from_secs(10 * 60);

/// Evidence against prompt parts, at the leader.
#[derive(Default)]
pub(super) struct Quarantine {
    attribution: Attribution,
    /// Lost connections to processes that may have ended.
    undecided: Undecided,
    /// Parts outside quarantine that gateways are asked about.
    suspects: Vec<String>,
    /// When evidence arrived last that may change a decision.
    changed_at: Option<Duration>,
    decided_at: Duration,
    /// Time of the latest crash of each part that is, or lately was, in quarantine. At first the time at
    /// which this leader found the part there.
    held_since: BTreeMap<String, Duration>,
    /// Parts with a proposal that is not applied yet, and when it was made.
    pending: BTreeMap<String, Duration>,
}

impl Quarantine {
    /// Records evidence that has just arrived.
    pub(super) fn record(&mut self, now: Duration, evidence: &Evidence) {
        self.undecided.record(now, &evidence.undecided);
        if self.attribution.record(now, evidence) {
            self.changed_at = Some(now);
        }
    }

    /// Parts to ask gateways about, with those in quarantine.
    pub(super) fn asked(&self, held: &BTreeMap<String, u64>) -> Vec<String> {
        let outside = self.suspects.iter().filter(|part| !held.contains_key(*part));
        outside.chain(held.keys()).cloned().collect()
    }

    /// Commands to propose, given the parts in quarantine.
    fn decide(&mut self, now: Duration, held: &BTreeMap<String, u64>) -> Vec<Command> {
        let is_settling = self.changed_at.is_some_and(|at| now < at + SETTLING_TIME);
        let interval = if is_settling { BUSY_INTERVAL } else { IDLE_INTERVAL };
        let interval = interval.max(INTERVAL_PER_MARK * self.attribution.marks() as u32);
        if now < self.decided_at + interval || (held.is_empty() && self.attribution.is_empty()) {
            return Vec::new();
        }
        self.decided_at = now;
        self.attribution.expire(now);
        self.pending.retain(|_, at| now < *at + PROPOSAL_TIMEOUT);
        self.update_held(now, held);
        let culprits = self.attribution.culprits(now);
        let is_released = |part: &String| {
            let since = self.held_since[part];
            let is_exonerated = is_fingerprint(part) && self.attribution.is_exonerated(part, &culprits);
            now >= since + RELEASE_TIME || self.attribution.has_run_since(part, since) || is_exonerated
        };
        let released = held.keys().filter(|part| is_released(part)).cloned();
        let mut commands: Vec<Command> = released.map(|part| Command::Release { part }).collect();
        // A part that left the quarantine to make room stays out of it until it is in another crash.
        let is_new = |part: &String| {
            let known = self.held_since.get(part);
            !held.contains_key(part) && known.is_none_or(|at| self.attribution.latest_crash(part) > Some(*at))
        };
        let culprits: Vec<String> = culprits.iter().filter(|part| is_new(part)).cloned().collect();
        commands.extend(culprits.into_iter().map(|part| Command::Quarantine { part }));
        commands.retain(|command| match command {
            Command::Quarantine { part } | Command::Release { part } => !self.pending.contains_key(part),
            _ => true,
        });
        for command in &commands {
            if let Command::Quarantine { part } | Command::Release { part } = command {
                self.pending.insert(part.clone(), now);
            }
        }
        // Suspects that were asked about in turn are decided on before the next ones have theirs.
        self.suspects = self.attribution.suspects(now);
        commands
    }

    fn update_held(&mut self, now: Duration, held: &BTreeMap<String, u64>) {
        for part in held.keys() {
            let since = self.held_since.entry(part.clone()).or_insert(now);
            *since = self
                .attribution
                .latest_crash(part)
                .unwrap_or_default()
                .max(*since);
        }
        self.held_since
            .retain(|part, since| held.contains_key(part) || now < *since + RELEASE_TIME);
    }
}

impl Core {
    /// Counts the lost connections as crashes whose process has turned out to have ended.
    fn decide_losses(&mut self, now: Duration) {
        if self.quarantine.undecided.is_empty() {
            return;
        }
        let (registry, proofs, timing) = (&self.registry, &self.proofs, &self.timing);
        let fate = |id: &str, incarnation: u64, lost_at: Duration| {
            fate::of_vm(registry, proofs, timing, (id, incarnation), lost_at)
        };
        let crashes = self.quarantine.undecided.decide(now, fate);
        if crashes.is_empty() {
            return;
        }
        let evidence = Evidence {
            crashes,
            ..Evidence::default()
        };
        self.quarantine.record(now, &evidence);
    }

    /// Proposes what the evidence demands.
    pub(super) fn decide_quarantine(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.decide_losses(now);
        for command in self.quarantine.decide(now, &self.state.quarantined) {
            self.propose(now, None, command, out);
        }
    }

    /// Reports how the parts in quarantine differ from the `previous` ones.
    pub(super) fn report_quarantine(&mut self, previous: &BTreeMap<String, u64>, out: &mut Vec<Action>) {
        let held = &self.state.quarantined;
        for part in held.keys().filter(|part| !previous.contains_key(*part)) {
            self.quarantine.pending.remove(part);
            let targets = self.quarantine.attribution.targets(part);
            out.push(Action::Telemetry(Telemetry::Quarantined {
                part: part.clone(),
                targets: targets.into_iter().map(str::to_owned).collect(),
            }));
        }
        for part in previous.keys().filter(|part| !held.contains_key(*part)) {
            self.quarantine.pending.remove(part);
            out.push(Action::Telemetry(Telemetry::Released(part.clone())));
        }
    }
}
