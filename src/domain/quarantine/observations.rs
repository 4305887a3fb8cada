//! What one gateway has seen itself.

use std::collections::HashMap;
use std::time::Duration;

use super::report::Crash;
use super::report::Evidence;
use super::report::REPORTED_TIME;

/// Crashes that a gateway keeps.
const MAX_CRASHES: usize = 64;
/// Parts in each of the two generations of sound runs; both together hold 4,096.
const MAX_GENERATION_PARTS: usize = 2_048;

/// Request in progress at a target whose process ended.
#[derive(Clone, Debug)]
struct Casualty {
    at: Duration,
    target: String,
    incarnation: u64,
    parts: Vec<String>,
}

/// Crashes and sound runs that one gateway has seen.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Latest crashes, the oldest first.
    crashes: Vec<Casualty>,
    /// Latest sound run of each part. Once full, it replaces `earlier_sound`, which drops the parts that
    /// have not run for longest without a search for them.
    sound: HashMap<String, Duration>,
    earlier_sound: HashMap<String, Duration>,
}

impl Observations {
    /// Records a request that was in progress at a target when its process ended, unless the request has
    /// shown by then that it is sound.
    pub fn record_crash(&mut self, now: Duration, target: &str, incarnation: u64, parts: &[String]) {
        self.crashes.retain(|c| now <= c.at + REPORTED_TIME);
        let is_same = |c: &Casualty| c.target == target && c.incarnation == incarnation;
        // A request whose parts begin another one's shows nothing more.
        let is_known = |c: &Casualty| is_same(c) && c.parts.starts_with(parts);
        if parts.is_empty() || self.crashes.iter().any(is_known) {
            return;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(self.least_useful());
        }
        self.crashes.push(Casualty {
            at: now,
            target: target.to_owned(),
            incarnation,
            parts: parts.to_vec(),
        });
    }

    /// Records that an answer to a prompt with these parts has got past its first events.
    pub fn record_sound(&mut self, now: Duration, parts: &[String]) {
        for part in parts {
            if let Some(at) = self.sound.get_mut(part) {
                *at = now;
                continue;
            }
            if self.sound.len() >= MAX_GENERATION_PARTS {
                self.earlier_sound = std::mem::take(&mut self.sound);
            }
            self.sound.insert(part.clone(), now);
        }
    }

    /// Evidence for the leader, which has asked about the parts `asked`.
    pub fn evidence(&self, now: Duration, asked: &[String]) -> Evidence {
        let recent = self.crashes.iter().filter(|c| now <= c.at + REPORTED_TIME);
        let crashes = recent.map(|c| Crash {
            target: c.target.clone(),
            incarnation: c.incarnation,
            parts: c.parts.clone(),
            age_ms: now.saturating_sub(c.at).as_millis() as u64,
        });
        let latest = |part: &String| self.sound.get(part).or_else(|| self.earlier_sound.get(part));
        let age_ms = |at: &Duration| now.saturating_sub(*at).as_millis() as u64;
        let sound = asked
            .iter()
            .filter_map(|part| Some((part.clone(), age_ms(latest(part)?))));
        Evidence {
            crashes: crashes.collect(),
            sound: sound.collect(),
        }
    }

    /// Position of the oldest crash of the process with the most of them, so that one process with many
    /// requests does not displace the crashes of others.
    fn least_useful(&self) -> usize {
        let mut counts: HashMap<(&str, u64), usize> = HashMap::new();
        for crash in &self.crashes {
            *counts.entry((&crash.target, crash.incarnation)).or_default() += 1;
        }
        let count = |c: &Casualty| counts[&(c.target.as_str(), c.incarnation)];
        let highest = self.crashes.iter().map(count).max().unwrap_or_default();
        let position = self.crashes.iter().position(|c| count(c) == highest);
        position.unwrap_or_default()
    }
}
