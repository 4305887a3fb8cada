//! The decision, at the leader: which part explains the crashes that all gateways have seen.
//!
//! A request has several marks: the parts of its prompt, and its fingerprint, which comes after them. What is said
//! of parts here holds for fingerprints too.
//!
//! An incident is the end of one process. A part counts in it if it was in a request in progress there and
//! has not run soundly since. The part that counts in the most incidents explains them, and none of these
//! counts against another part; so parts that only accompany a bad one are left with too few. Parts that
//! are not known to have run soundly at all come first: otherwise the first part of all prompts, which
//! counts in the incidents of two bad parts, would explain more than either.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use super::fingerprint::is_fingerprint;
use super::report::Evidence;

/// Incidents that a part must explain to be a culprit.
const MIN_INCIDENTS: usize = 3;
/// Incidents of a part within this time of the first of them count once: one outage may end many
/// processes at the same time.
const OUTAGE_MS: i64 = 250;
/// Time from the report of a part's second incident until it can be a culprit: gateways are asked first
/// whether it has run soundly since.
const QUERY_TIME: Duration = Duration::from_millis(500);
/// Time for which incidents and sound runs count, in milliseconds.
const EXPIRY_MS: i64 = 5 * 60 * 1_000;
/// Incidents that are kept; the latest.
const MAX_INCIDENTS: usize = 512;
/// Marks of all incidents, in about 4 MB; the oldest incidents are dropped beyond.
const MAX_INCIDENT_MARKS: usize = 32_768;
/// Parts whose sound runs are kept; the latest.
const MAX_SOUND_PARTS: usize = 4_096;
/// Parts in several incidents that gateways are asked about at a time.
const MAX_SUSPECTS: usize = 128;
/// Parts that gateways are asked about although they are in one incident only.
const MAX_EARLY_SUSPECTS: usize = 32;

/// End of one process while requests were in progress there.
#[derive(Clone, Debug)]
struct Incident {
    /// Earliest reported time. Like all times here in milliseconds of the leader's clock, below zero for
    /// times before it started.
    at: i64,
    /// When the leader first heard of it.
    heard_at: Duration,
    /// Marks of the requests.
    parts: BTreeMap<String, Presence>,
}

/// Presence of a mark in one incident.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Presence {
    /// Last place in a prompt.
    place: usize,
    /// When a request with the mark was sent to the process last, if that is known and the mark is a
    /// fingerprint.
    sent: Option<i64>,
}

impl Presence {
    fn merged(self, other: Presence) -> Presence {
        Presence {
            place: self.place.max(other.place),
            sent: self.sent.max(other.sent),
        }
    }
}

/// Time of an incident, and when a request with a mark was sent there.
type Occurrence = (i64, Option<i64>);

/// Part that may explain incidents.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    part: &'a str,
    sound: Option<i64>,
    /// Last place in a prompt.
    place: usize,
    /// Number of incidents, with those of one outage counted once.
    count: usize,
}

/// Crashes and sound runs that gateways have reported.
#[derive(Clone, Debug, Default)]
pub struct Attribution {
    /// By target and incarnation.
    incidents: BTreeMap<(String, u64), Incident>,
    /// Time of the latest sound run by part.
    sound: BTreeMap<String, i64>,
    /// Parts that gateways are asked about, and since when.
    asked: HashMap<String, Duration>,
    /// Whether there are more suspects than gateways are asked about at a time.
    is_asking_in_turns: bool,
}

impl Attribution {
    /// Records evidence that has just arrived; returns whether the result of [`Attribution::culprits`] may change.
    pub fn record(&mut self, now: Duration, evidence: &Evidence) -> bool {
        let mut is_new = false;
        for crash in &evidence.crashes {
            let at = time(now, crash.age_ms);
            if at < time(now, EXPIRY_MS as u64) || crash.parts.is_empty() {
                continue;
            }
            let key = (crash.target.clone(), crash.incarnation);
            let incident = self.incidents.entry(key).or_insert_with(|| {
                is_new = true;
                Incident {
                    at,
                    heard_at: now,
                    parts: BTreeMap::new(),
                }
            });
            is_new |= at < incident.at;
            incident.at = at.min(incident.at);
            incident.heard_at = now.min(incident.heard_at);
            for (place, part) in crash.parts.iter().enumerate() {
                let sent = crash.sent_age_ms.filter(|_| is_fingerprint(part));
                let presence = Presence {
                    place,
                    sent: sent.map(|age_ms| time(now, age_ms)),
                };
                if let Some(known) = incident.parts.get_mut(part) {
                    let merged = known.merged(presence);
                    // Each report gives a slightly different time of the same send.
                    is_new |= merged.place > known.place;
                    *known = merged;
                } else {
                    incident.parts.insert(part.clone(), presence);
                    is_new = true;
                }
            }
        }
        let latest_incident = self.incidents.values().map(|i| i.at).max();
        for (part, age_ms) in &evidence.sound {
            let at = time(now, *age_ms);
            let known = self.sound.get(part).copied();
            if known.is_none_or(|k| k < at) {
                // A part that has run since the latest incident counts in none already.
                is_new |= known.is_none_or(|k| Some(k) <= latest_incident);
                self.sound.insert(part.clone(), at);
            }
        }
        self.limit();
        is_new
    }

    /// Parts that explain enough incidents, the best explanation first.
    pub fn culprits(&self, now: Duration) -> Vec<String> {
        let mut culprits = Vec::new();
        let mut incidents: Vec<&Incident> = self.incidents.values().collect();
        incidents.sort_by_key(|i| i.at);
        let mut by_part = self.counted(&incidents);
        let mut is_explained = vec![false; incidents.len()];
        loop {
            by_part.retain(|_, positions| {
                positions.retain(|(p, _)| !is_explained[*p]);
                outages(occurrences(&incidents, positions)) >= MIN_INCIDENTS
            });
            let candidates = by_part.iter().map(|(part, positions)| Candidate {
                part,
                sound: self.sound.get(*part).copied(),
                place: positions
                    .iter()
                    .map(|(_, presence)| presence.place)
                    .max()
                    .unwrap_or_default(),
                count: outages(occurrences(&incidents, positions)),
            });
            let Some(best) = candidates.reduce(better) else {
                return culprits;
            };
            let positions = by_part.remove(best.part).unwrap_or_default();
            let mut heard_at: Vec<Duration> = positions.iter().map(|(p, _)| incidents[*p].heard_at).collect();
            heard_at.sort_unstable();
            // Until the gateways have been asked, the part is no culprit, nor is another one in its place.
            // After its first incident it may not have been among those asked about.
            if now >= heard_at[1] + QUERY_TIME && self.is_answered(now, best.part) {
                culprits.push(best.part.to_owned());
            }
            for (position, _) in positions {
                is_explained[position] = true;
            }
        }
    }

    /// Whether gateways have been asked about a part for long enough, where they cannot be asked about all.
    fn is_answered(&self, now: Duration, part: &str) -> bool {
        let asked_at = self.asked.get(part);
        !self.is_asking_in_turns || asked_at.is_some_and(|at| now >= *at + QUERY_TIME)
    }

    /// Parts to ask gateways about: those in crashes that no later sound run clears, those in most
    /// crashes first, then those in the latest.
    ///
    /// Parts beyond [`MAX_SUSPECTS`] have their turn once the others have been asked about.
    pub fn suspects(&mut self, now: Duration) -> Vec<String> {
        let mut incidents: Vec<&Incident> = self.incidents.values().collect();
        incidents.sort_by_key(|i| i.at);
        let rank = |(part, positions): (_, Vec<(usize, Presence)>)| {
            let latest = positions.iter().map(|(p, _)| incidents[*p].at).max();
            let count = outages(occurrences(&incidents, &positions));
            let has_had_turn = self.asked.get(part).is_some_and(|at| now >= *at + QUERY_TIME);
            (Reverse(count), has_had_turn, Reverse(latest), part)
        };
        let mut ranks: Vec<_> = self.counted(&incidents).into_iter().map(rank).collect();
        ranks.sort_unstable();
        let repeated = ranks.iter().filter(|(Reverse(count), ..)| *count > 1).count();
        ranks.truncate(repeated.clamp(MAX_EARLY_SUSPECTS, MAX_SUSPECTS));
        let suspects: Vec<String> = ranks.into_iter().map(|(.., part)| part.to_owned()).collect();
        let since = |part: &String| self.asked.get(part).copied().unwrap_or(now);
        self.asked = suspects.iter().map(|part| (part.clone(), since(part))).collect();
        self.is_asking_in_turns = repeated > MAX_SUSPECTS;
        suspects
    }

    /// Forgets what is too old to count.
    pub fn expire(&mut self, now: Duration) {
        let limit = time(now, EXPIRY_MS as u64);
        self.incidents.retain(|_, incident| incident.at >= limit);
        self.sound.retain(|_, at| *at >= limit);
    }

    /// Number of marks in all incidents.
    pub fn marks(&self) -> usize {
        self.incidents.values().map(|i| i.parts.len()).sum()
    }

    /// Whether there is nothing to decide on.
    pub fn is_empty(&self) -> bool {
        self.incidents.is_empty()
    }

    /// Targets of the incidents in which a part counts, with one entry for each incident.
    pub fn targets(&self, part: &str) -> Vec<&str> {
        let counted = self.incidents.iter().filter(|(_, i)| self.counts(i, part));
        counted.map(|((target, _), _)| target.as_str()).collect()
    }

    /// Whether other culprits explain so many of the crashes that a mark seemed to explain that the rest would not
    /// make it a culprit.
    ///
    /// A crash may be reported without its culprit, as gateways learn of a new incarnation at different times. A rest
    /// is accepted only if the evidence suffices to make the mark a culprit, which that of a new leader may not.
    pub fn is_exonerated(&self, mark: &str, culprits: &[String]) -> bool {
        if culprits.iter().any(|c| c == mark) {
            return false;
        }
        let mut counted: Vec<&Incident> = self.incidents.values().collect();
        counted.retain(|i| self.counts(i, mark));
        counted.sort_by_key(|i| i.at);
        let is_explained = |i: &&Incident| culprits.iter().any(|c| self.counts(i, c));
        let (explained, rest): (Vec<&Incident>, Vec<&Incident>) =
            counted.iter().copied().partition(is_explained);
        let outages_of = |incidents: &[&Incident]| {
            outages(
                incidents
                    .iter()
                    .map(|i| (i.at, i.parts.get(mark).and_then(|p| p.sent))),
            )
        };
        match rest.is_empty() {
            true => !explained.is_empty(),
            false => outages_of(&counted) >= MIN_INCIDENTS && outages_of(&rest) < MIN_INCIDENTS,
        }
    }

    /// Time of the latest crash with a part.
    pub fn latest_crash(&self, part: &str) -> Option<Duration> {
        let incidents = self.incidents.values().filter(|i| i.parts.contains_key(part));
        incidents.map(|i| duration(i.at)).max()
    }

    /// Whether a part has run soundly after its latest crash; without one, after `since`.
    pub fn has_run_since(&self, part: &str, since: Duration) -> bool {
        let Some(sound) = self.sound.get(part) else {
            return false;
        };
        let incidents = self.incidents.values().filter(|i| i.parts.contains_key(part));
        let latest = incidents.map(|i| i.at).max();
        *sound > latest.unwrap_or_else(|| time(since, 0))
    }

    /// Positions of the incidents in which each part counts, with its place in the prompts there.
    fn counted<'a>(&self, incidents: &[&'a Incident]) -> HashMap<&'a str, Vec<(usize, Presence)>> {
        let mut counted: HashMap<&str, Vec<(usize, Presence)>> = HashMap::new();
        for (position, incident) in incidents.iter().enumerate() {
            let parts = incident.parts.iter().filter(|(p, _)| self.counts(incident, p));
            for (part, presence) in parts {
                counted.entry(part).or_default().push((position, *presence));
            }
        }
        counted
    }

    /// Whether a part is in an incident and has not run soundly since.
    fn counts(&self, incident: &Incident, part: &str) -> bool {
        let is_sound = self.sound.get(part).is_some_and(|at| *at > incident.at);
        incident.parts.contains_key(part) && !is_sound
    }

    fn limit(&mut self) {
        let mut marks: usize = self.incidents.values().map(|i| i.parts.len()).sum();
        while self.incidents.len() > MAX_INCIDENTS
            || (marks > MAX_INCIDENT_MARKS && self.incidents.len() > MIN_INCIDENTS)
        {
            let oldest = self.incidents.iter().min_by_key(|(_, i)| i.at);
            let Some(key) = oldest.map(|(key, _)| key.clone()) else {
                return;
            };
            let removed = self.incidents.remove(&key);
            marks -= removed.map_or(0, |i| i.parts.len());
        }
        if self.sound.len() > MAX_SOUND_PARTS {
            let mut times: Vec<i64> = self.sound.values().copied().collect();
            times.sort_unstable_by(|a, b| b.cmp(a));
            let limit = times[MAX_SOUND_PARTS];
            self.sound.retain(|_, at| *at > limit);
        }
    }
}

/// The one of two parts that explains crashes better: one without a known sound run, as a bad part has none;
/// then more incidents, an older latest sound run, a later place in the prompts, the lower name.
fn better<'a>(a: Candidate<'a>, b: Candidate<'a>) -> Candidate<'a> {
    let order = a
        .sound
        .is_none()
        .cmp(&b.sound.is_none())
        .then_with(|| a.count.cmp(&b.count))
        .then_with(|| b.sound.cmp(&a.sound))
        .then_with(|| a.place.cmp(&b.place))
        .then_with(|| b.part.cmp(a.part));
    if order.is_ge() { a } else { b }
}

/// Occurrences of a mark, given the positions of its incidents.
fn occurrences<'a>(
    incidents: &'a [&Incident],
    positions: &'a [(usize, Presence)],
) -> impl Iterator<Item = Occurrence> + 'a {
    positions
        .iter()
        .map(|(position, presence)| (incidents[*position].at, presence.sent))
}

/// Number of outages in ascending times of incidents.
///
/// A request that was sent to a process after another one had ended is in no outage of both.
fn outages(occurrences: impl Iterator<Item = Occurrence>) -> usize {
    let mut count = 0;
    let mut last_start = None;
    for (at, sent) in occurrences {
        let is_further = |start: i64| at >= start + OUTAGE_MS || sent.is_some_and(|sent| sent >= start);
        if last_start.is_none_or(is_further) {
            last_start = Some(at);
            count += 1;
        }
    }
    count
}

/// Time that was `age_ms` before `now`, in milliseconds of the leader's clock.
fn time(now: Duration, age_ms: u64) -> i64 {
    let age_ms = i64::try_from(age_ms).unwrap_or(i64::MAX);
    (now.as_millis() as i64).saturating_sub(age_ms)
}

/// A time of the leader's clock; those before its start become its start.
fn duration(at: i64) -> Duration {
    Duration::from_millis(u64::try_from(at).unwrap_or_default())
}
