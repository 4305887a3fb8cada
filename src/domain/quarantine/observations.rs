//! What one gateway has seen itself.

use std::collections::HashMap;
use std::time::Duration;

use super::fingerprint::is_fingerprint;
use super::report::Crash;
use super::report::Evidence;
use super::report::REPORTED_TIME;

/// Crashes that a gateway keeps, and as many undecided losses.
const MAX_CRASHES: usize = 64;
/// Marks of all casualties. A single head may hold thousands.
const MAX_CASUALTY_MARKS: usize = 16_384;
/// Parts in each of the two generations of sound runs; both together hold 65,536 in about 6 MB.
const MAX_GENERATION_PARTS: usize = 32_768;
/// Fingerprints in each of the two generations of sound runs.
const MAX_GENERATION_FINGERPRINTS: usize = 2_048;
/// Interval at which crashes are reported again while no further one is seen.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// Request in progress at a target whose process has, or may have, ended.
#[derive(Clone, Debug)]
struct Casualty {
    at: Duration,
    sent_at: Duration,
    target: String,
    incarnation: u64,
    parts: Vec<String>,
}

impl Casualty {
    fn new(at: Duration, sent_at: Duration, (target, incarnation): (&str, u64), parts: &[String]) -> Self {
        Casualty {
            at,
            sent_at,
            target: target.to_owned(),
            incarnation,
            parts: parts.to_vec(),
        }
    }
}

/// Latest casualties, the oldest first.
#[derive(Clone, Debug, Default)]
struct Casualties {
    list: Vec<Casualty>,
    /// Whether one was recorded since the last report.
    has_new: bool,
    /// When they were reported last.
    reported_at: Duration,
}

impl Casualties {
    fn record(&mut self, now: Duration, casualty: Casualty) {
        self.list.retain(|c| now <= c.at + REPORTED_TIME);
        let is_same = |c: &Casualty| c.target == casualty.target && c.incarnation == casualty.incarnation;
        // A request whose parts begin another one's shows nothing more.
        let is_known = |c: &Casualty| is_same(c) && c.parts.starts_with(&casualty.parts);
        if casualty.parts.is_empty() || self.list.iter().any(is_known) {
            return;
        }
        let marks = |list: &[Casualty]| list.iter().map(|c| c.parts.len()).sum::<usize>();
        let is_full = |list: &[Casualty]| {
            list.len() >= MAX_CRASHES || marks(list) + casualty.parts.len() > MAX_CASUALTY_MARKS
        };
        while !self.list.is_empty() && is_full(&self.list) {
            self.list.remove(self.least_useful());
        }
        self.has_new = true;
        self.list.push(casualty);
    }

    /// Whether they belong into the next report: a further one was seen since the last, or that was long ago.
    fn take_turn(&mut self, now: Duration) -> bool {
        let is_due = self.has_new || now >= self.reported_at + RESEND_INTERVAL;
        if is_due {
            self.has_new = false;
            self.reported_at = now;
        }
        is_due
    }

    fn recent(&self, now: Duration) -> Vec<Crash> {
        let recent = self.list.iter().filter(|c| now <= c.at + REPORTED_TIME);
        let crashes = recent.map(|c| Crash {
            target: c.target.clone(),
            incarnation: c.incarnation,
            parts: c.parts.clone(),
            age_ms: now.saturating_sub(c.at).as_millis() as u64,
            sent_age_ms: Some(now.saturating_sub(c.sent_at).as_millis() as u64),
        });
        crashes.collect()
    }

    /// Position of the oldest casualty of the process with the most of them, so that one process with many
    /// requests does not displace the casualties of others.
    fn least_useful(&self) -> usize {
        let mut counts: HashMap<(&str, u64), usize> = HashMap::new();
        for casualty in &self.list {
            *counts
                .entry((&casualty.target, casualty.incarnation))
                .or_default() += 1;
        }
        let count = |c: &Casualty| counts[&(c.target.as_str(), c.incarnation)];
        let highest = self.list.iter().map(count).max().unwrap_or_default();
        let position = self.list.iter().position(|c| count(c) == highest);
        position.unwrap_or_default()
    }
}

/// Latest sound run of each mark, in two generations.
#[derive(Clone, Debug)]
struct SoundRuns {
    /// Marks in a full generation.
    capacity: usize,
    /// Once full, it replaces `earlier`, which drops the marks that have not run for longest without a search
    /// for them.
    latest: HashMap<String, Duration>,
    earlier: HashMap<String, Duration>,
}

impl SoundRuns {
    fn new(capacity: usize) -> Self {
        SoundRuns {
            capacity,
            latest: HashMap::new(),
            earlier: HashMap::new(),
        }
    }

    fn record(&mut self, now: Duration, mark: &str) {
        if let Some(at) = self.latest.get_mut(mark) {
            *at = now;
            return;
        }
        if self.latest.len() >= self.capacity {
            self.earlier = std::mem::take(&mut self.latest);
        }
        self.latest.insert(mark.to_owned(), now);
    }

    fn get(&self, mark: &str) -> Option<Duration> {
        self.latest.get(mark).or_else(|| self.earlier.get(mark)).copied()
    }
}

/// Crashes and sound runs that one gateway has seen.
#[derive(Clone, Debug)]
pub struct Observations {
    crashes: Casualties,
    /// Lost connections for which no gateway can tell whether the process has ended.
    undecided: Casualties,
    sound_parts: SoundRuns,
    /// Apart from the parts, since there are far more of them.
    sound_fingerprints: SoundRuns,
}

impl Default for Observations {
    fn default() -> Self {
        Observations {
            crashes: Casualties::default(),
            undecided: Casualties::default(),
            sound_parts: SoundRuns::new(MAX_GENERATION_PARTS),
            sound_fingerprints: SoundRuns::new(MAX_GENERATION_FINGERPRINTS),
        }
    }
}

impl Observations {
    /// Records a request, sent at `sent_at`, that was in progress at a target when its process ended, unless the
    /// request has shown by then that it is sound.
    pub fn record_crash(
        &mut self,
        now: Duration,
        sent_at: Duration,
        target: &str,
        incarnation: u64,
        parts: &[String],
    ) {
        let casualty = Casualty::new(now, sent_at, (target, incarnation), parts);
        self.crashes.record(now, casualty);
    }

    /// Records the same of a request whose connection was lost while the process may, or may not, have ended.
    pub fn record_undecided(
        &mut self,
        now: Duration,
        sent_at: Duration,
        target: &str,
        incarnation: u64,
        parts: &[String],
    ) {
        let casualty = Casualty::new(now, sent_at, (target, incarnation), parts);
        self.undecided.record(now, casualty);
    }

    /// Records that an answer to a prompt with these parts has got past its first events.
    pub fn record_sound(&mut self, now: Duration, parts: impl IntoIterator<Item = impl AsRef<str>>) {
        for part in parts {
            let part = part.as_ref();
            match is_fingerprint(part) {
                true => self.sound_fingerprints.record(now, part),
                false => self.sound_parts.record(now, part),
            }
        }
    }

    /// Evidence for the next report to the leader, which has asked about the parts `asked`.
    ///
    /// Crashes are left out when they were reported lately, and no further one was seen since.
    pub fn report(&mut self, now: Duration, asked: &[String]) -> Evidence {
        let mut evidence = self.evidence(now, asked);
        if !self.crashes.take_turn(now) {
            evidence.crashes.clear();
        }
        if !self.undecided.take_turn(now) {
            evidence.undecided.clear();
        }
        evidence
    }

    /// All evidence for the leader, which has asked about the parts `asked`.
    pub fn evidence(&self, now: Duration, asked: &[String]) -> Evidence {
        let latest = |part: &String| match is_fingerprint(part) {
            true => self.sound_fingerprints.get(part),
            false => self.sound_parts.get(part),
        };
        let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u64;
        let sound = asked
            .iter()
            .filter_map(|part| Some((part.clone(), age_ms(latest(part)?))));
        Evidence {
            crashes: self.crashes.recent(now),
            undecided: self.undecided.recent(now),
            sound: sound.collect(),
        }
    }
}
