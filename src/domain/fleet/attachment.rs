//! Choice of the controller that a gateway reports to.
//!
//! A move to another controller costs both sides a handshake, and a handshake costs a controller more than
//! a hundred reports. A gateway that moved whenever an overview was late made the next one later still, so it
//! stays where it is unless there is a reason to move:
//!
//! - the controller does not answer, or its process has ended;
//! - its overview is old, and another controller has answered a trial report from a fresher one;
//! - another controller is in the availability zone of the gateway.
//!
//! Gateways notice a reason together, so each draws its delay at random from a range that grows with their
//! number and with repeated failures.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::Confirmation;
use super::Controller;

/// Age of the overview from which on another controller is tried. A change of leader takes less.
const STALE_AGE: Duration = Duration::from_millis(1_200);
/// Difference in the age of two overviews that makes one of them fresher; ages differ by less between
/// controllers that reach the leader.
const FRESHNESS_MARGIN: Duration = Duration::from_millis(300);
/// Range of the first delay for each gateway: all of them together make at most 200 handshakes per second.
const SPREAD_PER_GATEWAY: Duration = Duration::from_millis(5);
/// Upper limit of this range. After [`STALE_AGE`] and a first trial in vain, there is time for another one within
/// the lease on the catalog, 4.5 s.
const MAX_SPREAD: Duration = Duration::from_millis(1_500);
/// Delay after a first failure, and lower limit of the range of delays.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Upper limit of growing delays between failures, for each gateway. Gateways return within it when all
/// controllers come back, 200 per second.
const RETRY_LIMIT_PER_GATEWAY: Duration = Duration::from_millis(5);
/// Bounds of this upper limit; the second one also limits the delays between trials.
const MIN_RETRY_LIMIT: Duration = Duration::from_millis(300);
const MAX_RETRY_LIMIT: Duration = Duration::from_millis(3_000);
/// Range of the delay, and upper limit of growing ones, until a controller has stated the number of gateways.
const UNKNOWN_SPREAD: Duration = Duration::from_millis(1_000);
/// Delay after an answer that could not be applied, which comes without the controller's wait for a change.
const UNAPPLIED_DELAY: Duration = Duration::from_millis(100);
/// Gateways of a deployment from which on those of a zone spread over its controllers. Below, one controller serves
/// them with a few percent of its processor.
const MIN_SPREAD_GATEWAYS: usize = 160;
/// Delay before a gateway tries a controller in its zone again, after that one has failed; it grows.
const RETURN_DELAY: Duration = Duration::from_secs(5);
/// Upper limit of this delay.
const MAX_RETURN_DELAY: Duration = Duration::from_secs(60);
/// Time for which a controller that has failed comes after the others.
const FAILURE_RETENTION: Duration = Duration::from_secs(5);

/// Shortest wait without anything from the peer that shows a dead path. A peer acknowledges within 25 ms, or
/// 100 ms later when its processor quota is used up.
const SILENCE_LIMIT: Duration = Duration::from_millis(300);

/// Controller for the next report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Its address.
    pub address: SocketAddr,
    /// Whether the gateway stays attached to another controller unless this one proves better.
    pub is_trial: bool,
}

/// How a report ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The controller answered with an overview.
    Answered {
        /// When the leader confirmed this overview, at the earliest.
        confirmation: Confirmation,
        /// Whether the overview could be applied: one that is behind the gateway's own state cannot.
        is_applied: bool,
    },
    /// The controller answered that it has no overview.
    Empty,
    /// No answer in time, or no connection.
    Failed,
}

/// What follows from the end of a report.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Verdict {
    /// Delay before the next report.
    pub delay: Duration,
    /// Controller that gets no further reports for now, if there is one.
    pub left: Option<SocketAddr>,
}

/// Whether a connection is given up after a call has waited for its answer in vain.
///
/// A peer from which anything has been received meanwhile is only slow, and a new connection would make it
/// slower. A short wait shows nothing: that of a request for a permit ends with the request's time.
pub fn is_path_dead(waited: Duration, has_received: bool) -> bool {
    !has_received && waited >= SILENCE_LIMIT
}

/// Controllers that a gateway knows, and the one that it reports to.
#[derive(Clone, Debug, Default)]
pub struct Attachment {
    /// Availability zone of the gateway; empty for none.
    zone: String,
    seed: u64,
    /// Number of random values drawn.
    draws: u64,
    seeds: Vec<SocketAddr>,
    /// Members of the replicated log, with their availability zones.
    controllers: Vec<(SocketAddr, String)>,
    /// Number of gateways in the deployment; 0 while unknown.
    gateways: usize,
    current: Option<SocketAddr>,
    /// When the leader confirmed what `current` last answered; none while that has no overview.
    confirmation: Option<Confirmation>,
    /// Failures in a row while attached to no controller.
    failures: u32,
    /// Trials in a row that found no fresher controller.
    trials: u32,
    /// Trials in a row of controllers in the own zone that failed.
    returns: u32,
    /// Time of the next trial because of an old overview.
    trial_at: Option<Duration>,
    /// Time of the next trial of a controller in the own zone.
    return_at: Option<Duration>,
    /// Controllers that have failed, or were found no fresher, and when.
    failed_at: BTreeMap<SocketAddr, Duration>,
}

impl Attachment {
    /// Attachment of a gateway in the availability zone `zone`; `seed` makes its delays differ from those of
    /// other gateways.
    pub fn new(seeds: &[SocketAddr], zone: &str, seed: u64) -> Self {
        Attachment {
            zone: zone.to_owned(),
            seed,
            seeds: seeds.to_vec(),
            ..Attachment::default()
        }
    }

    /// Replaces the addresses from the settings.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.to_vec();
    }

    /// Replaces the members of the replicated log and the number of gateways; members whose address is not
    /// `IP:port` are skipped.
    pub fn set_controllers(&mut self, controllers: &[Controller], gateways: usize) {
        let with_address = |c: &Controller| Some((c.address.parse().ok()?, c.zone.clone()));
        self.controllers = controllers.iter().filter_map(with_address).collect();
        self.gateways = gateways;
    }

    /// Controller that answered the last report, unless it has failed since.
    pub fn current(&self) -> Option<SocketAddr> {
        self.current
    }

    /// Controller for the next report; none if no address is known.
    pub fn choose(&mut self, now: Duration) -> Option<Choice> {
        self.failed_at.retain(|_, at| now < *at + FAILURE_RETENTION);
        let Some(current) = self.current else {
            let address = self.candidate(|_| true)?;
            return Some(Choice {
                address,
                is_trial: false,
            });
        };
        let is_due = |at: Option<Duration>| at.is_some_and(|at| now >= at);
        let trial = if is_due(self.trial_at) {
            self.candidate(|address| address != current)
        } else if is_due(self.return_at) {
            self.candidate(|address| self.is_home(address))
        } else {
            None
        };
        Some(Choice {
            address: trial.unwrap_or(current),
            is_trial: trial.is_some(),
        })
    }

    /// Records how the report to the controller of `choice` ended.
    pub fn record(&mut self, now: Duration, choice: Choice, outcome: Outcome) -> Verdict {
        if choice.is_trial {
            return self.record_trial(now, choice.address, outcome);
        }
        let is_attached = self.current == Some(choice.address);
        let mut left = None;
        let delay = match outcome {
            Outcome::Answered {
                confirmation,
                is_applied,
            } => {
                if !is_attached {
                    self.attach(choice.address, Some(confirmation));
                } else if is_applied {
                    self.confirmation = self.confirmation.max(Some(confirmation));
                }
                if is_applied {
                    Duration::ZERO
                } else {
                    UNAPPLIED_DELAY
                }
            }
            Outcome::Empty => {
                // It has just started, as all others may have. Its connection is as good as theirs.
                if !is_attached {
                    self.attach(choice.address, None);
                }
                UNAPPLIED_DELAY
            }
            Outcome::Failed => {
                left = Some(choice.address);
                self.fail(now, choice.address)
            }
        };
        self.plan_trials(now);
        Verdict { delay, left }
    }

    /// Records how a report to another controller than the current one ended.
    fn record_trial(&mut self, now: Duration, address: SocketAddr, outcome: Outcome) -> Verdict {
        let is_for_freshness = self.trial_at.is_some_and(|at| now >= at);
        let is_better = match outcome {
            Outcome::Answered {
                confirmation,
                is_applied: true,
            } => self.confirmation.is_none_or(|known| {
                if is_for_freshness {
                    confirmation.is_later_by(FRESHNESS_MARGIN, known)
                } else {
                    !known.is_later_by(FRESHNESS_MARGIN, confirmation)
                }
            }),
            _ => false,
        };
        let left = if is_better {
            let previous = self.current;
            if is_for_freshness {
                // The current controller may be in the own zone, and cut off from the leader for longer.
                self.returns = self.returns.max(1);
            }
            if let Outcome::Answered { confirmation, .. } = outcome {
                self.attach(address, Some(confirmation));
            }
            previous
        } else {
            self.failed_at.insert(address, now);
            if is_for_freshness {
                self.trials += 1;
                self.trial_at =
                    Some(now + self.growing_delay(self.trials, self.spread() / 2, MAX_RETRY_LIMIT));
            } else {
                self.returns += 1;
                self.return_at = None;
            }
            Some(address)
        };
        self.plan_trials(now);
        Verdict {
            delay: Duration::ZERO,
            left,
        }
    }

    /// Makes `address` the current controller.
    fn attach(&mut self, address: SocketAddr, confirmation: Option<Confirmation>) {
        self.current = Some(address);
        if self.is_home(address) {
            self.returns = 0;
        }
        self.confirmation = confirmation;
        self.failures = 0;
        self.trials = 0;
        self.trial_at = None;
        self.return_at = None;
        self.failed_at.remove(&address);
    }

    /// Detaches from a controller that has failed; returns the delay before the next one.
    fn fail(&mut self, now: Duration, address: SocketAddr) -> Duration {
        self.failed_at.insert(address, now);
        self.failures += 1;
        if self.current == Some(address) && self.is_home(address) {
            self.returns += 1;
        }
        self.current = None;
        self.trial_at = None;
        self.return_at = None;
        if self.gateways == 0 {
            // Before the first answer, most failures are those of a single address.
            return self.growing_delay(self.failures, RETRY_DELAY, UNKNOWN_SPREAD);
        }
        let spread = self.spread();
        if self.failures == 1 {
            return RETRY_DELAY + self.draw(spread);
        }
        let limit = RETRY_LIMIT_PER_GATEWAY * self.gateways as u32;
        let limit = limit.clamp(MIN_RETRY_LIMIT, MAX_RETRY_LIMIT);
        self.growing_delay(self.failures - 1, spread / 2, limit)
    }

    /// Sets or clears the times of the next trials.
    fn plan_trials(&mut self, now: Duration) {
        let Some(current) = self.current else {
            return;
        };
        if self.confirmation.is_some_and(|c| c.is_valid(now, STALE_AGE)) {
            self.trial_at = None;
            self.trials = 0;
        } else if self.trial_at.is_none() {
            // Later times are more likely, since the leader may be back before them. All gateways that try
            // another controller early would find it no fresher.
            let delay = self.draw(Duration::from_secs(1)).as_secs_f64().sqrt();
            self.trial_at = Some(now + self.spread().mul_f64(delay));
        }
        let has_local = self.controllers.iter().any(|(address, _)| self.is_home(*address));
        if !has_local || self.is_home(current) {
            self.return_at = None;
        } else if self.return_at.is_none() {
            let delay = match self.returns {
                0 => self.draw(self.spread()),
                n => {
                    let delay = (RETURN_DELAY * 2u32.pow(n.min(8) - 1)).min(MAX_RETURN_DELAY);
                    delay + self.draw(delay)
                }
            };
            self.return_at = Some(now + delay);
        }
    }

    /// Most suitable controller among those that `is_eligible` accepts: one that has not failed lately, that is
    /// a member of the log, and in the own zone. Gateways differ in the order of equal ones.
    fn candidate(&self, is_eligible: impl Fn(SocketAddr) -> bool) -> Option<SocketAddr> {
        let members = self.controllers.iter().map(|(address, _)| *address);
        let all = members.chain(self.seeds.iter().copied());
        all.filter(|address| is_eligible(*address)).min_by_key(|address| {
            let is_member = self.controllers.iter().any(|(member, _)| member == address);
            let text = address.to_string();
            let rank = xxhash_rust::xxh3::xxh3_64_with_seed(text.as_bytes(), self.seed);
            (
                self.failed_at.get(address),
                !is_member,
                !self.is_home(*address),
                !self.is_local(*address),
                rank,
            )
        })
    }

    /// Whether a controller is the one to report to: any in the own zone, or with few gateways the one that all of
    /// the zone report to. What relays share out is lost in part by rounding, the more the more relays there are.
    fn is_home(&self, address: SocketAddr) -> bool {
        if !self.is_local(address) || self.gateways >= MIN_SPREAD_GATEWAYS {
            return self.is_local(address);
        }
        let members = self.controllers.iter().map(|(address, _)| *address);
        members.filter(|member| self.is_local(*member)).min() == Some(address)
    }

    fn is_local(&self, address: SocketAddr) -> bool {
        let is_own = |(member, zone): &(SocketAddr, String)| *member == address && *zone == self.zone;
        !self.zone.is_empty() && self.controllers.iter().any(is_own)
    }

    /// Range of the delay before a move that many gateways make for the same reason.
    fn spread(&self) -> Duration {
        match self.gateways {
            0 => UNKNOWN_SPREAD,
            known => (SPREAD_PER_GATEWAY * known as u32).min(MAX_SPREAD),
        }
    }

    /// Random delay that doubles with each failure up to `limit`, from `first` on.
    fn growing_delay(&mut self, failures: u32, first: Duration, limit: Duration) -> Duration {
        let longest = (first.max(RETRY_DELAY) * 2u32.pow(failures.clamp(1, 16) - 1)).min(limit);
        longest / 2 + self.draw(longest / 2)
    }

    /// Random duration below `range`.
    fn draw(&mut self, range: Duration) -> Duration {
        self.draws += 1;
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&self.draws.to_le_bytes(), self.seed);
        range.mul_f64(hash as f64 / u64::MAX as f64)
    }
}
