//! Lost connections for which no gateway can tell whether the target's process has ended, at the leader.
//!
//! A gateway needs another target, or another gateway, to tell a process that has ended from a link at fault. Where
//! there is none, or where the process is back before anybody looks, the leader decides later, by the heartbeats
//! of the target: a later incarnation shows that the process has ended, and a heartbeat from after the loss that it
//! has not. What stays open is dropped, since it shows nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use super::report::Crash;

/// Time for which a loss waits for a decision: a process that ended starts again within some seconds.
const RETENTION: Duration = Duration::from_secs(20);
/// Losses that are kept, and their marks; the latest.
const MAX_LOSSES: usize = 512;
const MAX_MARKS: usize = 65_536;

/// What has become of the process of a target whose connection was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// It has ended, and has not said before that it shuts down.
    Ended,
    /// It ran on, it has shut down as announced, or the connection was one of a later process.
    Unrelated,
    /// Nothing has shown yet.
    Unknown,
}

/// Lost connection of one request.
#[derive(Clone, Copy, Debug)]
struct Loss {
    at: Duration,
    sent_at: Option<Duration>,
    /// A gateway reports a loss for some seconds; what has been decided stays so.
    is_decided: bool,
}

/// Target, incarnation and marks of the request.
type Key = (String, u64, Vec<String>);

/// Lost connections, those that wait for a decision and those decided lately.
#[derive(Clone, Debug, Default)]
pub struct Undecided {
    losses: BTreeMap<Key, Loss>,
}

impl Undecided {
    /// Records losses that a report has just brought; a loss that is reported again stays as it is.
    pub fn record(&mut self, now: Duration, losses: &[Crash]) {
        for loss in losses {
            let age = Duration::from_millis(loss.age_ms);
            if age > RETENTION {
                continue;
            }
            let key = (loss.target.clone(), loss.incarnation, loss.parts.clone());
            self.losses.entry(key).or_insert(Loss {
                at: now.saturating_sub(age),
                sent_at: loss
                    .sent_age_ms
                    .map(|ms| now.saturating_sub(Duration::from_millis(ms))),
                is_decided: false,
            });
        }
        while self.losses.len() > MAX_LOSSES || self.marks() > MAX_MARKS {
            let oldest = self.losses.iter().min_by_key(|(_, loss)| loss.at);
            let Some(key) = oldest.map(|(key, _)| key.clone()) else {
                return;
            };
            self.losses.remove(&key);
        }
    }

    fn marks(&self) -> usize {
        self.losses.keys().map(|(_, _, marks)| marks.len()).sum()
    }

    /// Whether no loss is known.
    pub fn is_empty(&self) -> bool {
        self.losses.is_empty()
    }

    /// Decides on the losses of which `fate` tells what has become of the target's incarnation since the connection
    /// was lost at a time; returns those that were crashes.
    pub fn decide(&mut self, now: Duration, fate: impl Fn(&str, u64, Duration) -> Fate) -> Vec<Crash> {
        self.losses.retain(|_, loss| now < loss.at + RETENTION);
        let mut crashes = Vec::new();
        let waiting = self.losses.iter_mut().filter(|(_, loss)| !loss.is_decided);
        for ((target, incarnation, parts), loss) in waiting {
            let fate = fate(target, *incarnation, loss.at);
            loss.is_decided = fate != Fate::Unknown;
            if fate == Fate::Ended {
                crashes.push(Crash {
                    target: target.clone(),
                    incarnation: *incarnation,
                    parts: parts.clone(),
                    age_ms: age_ms(now, loss.at),
                    sent_age_ms: loss.sent_at.map(|at| age_ms(now, at)),
                });
            }
        }
        crashes
    }
}

fn age_ms(now: Duration, at: Duration) -> u64 {
    now.saturating_sub(at).as_millis() as u64
}
