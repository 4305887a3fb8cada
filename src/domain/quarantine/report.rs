//! Evidence as it travels from gateways to the leader.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Time for which a crash is reported, so that a lost report or a change of leader does not lose it.
pub(super) const REPORTED_TIME: Duration = Duration::from_secs(5);
/// Crashes in the merged evidence of several gateways, and their marks; the youngest are kept.
const MAX_MERGED_CRASHES: usize = 512;
const MAX_MERGED_MARKS: usize = 65_536;

/// Marks of one request that was in progress at a target when its process ended, or may have ended, and that had
/// not shown by then that it is sound: the parts of its prompt and its fingerprint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// Identifier of the target.
    pub target: String,
    /// Incarnation of the process that ended.
    pub incarnation: u64,
    /// Parts of the request's prompt in order, without the last one; then its fingerprint.
    pub parts: Vec<String>,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// Time since the request was sent to the target, in milliseconds; earlier versions do not report it.
    #[serde(default)]
    pub sent_age_ms: Option<u64>,
}

/// What one or several gateways have seen.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evidence {
    /// Recent crashes.
    pub crashes: Vec<Crash>,
    /// Recent losses of a connection for which no gateway can tell whether the process has ended; earlier versions
    /// do not report them.
    #[serde(default)]
    pub undecided: Vec<Crash>,
    /// Time since the latest sound run of the parts that were asked about, in milliseconds.
    pub sound: BTreeMap<String, u64>,
}

/// Target, incarnation and marks of a crash.
type CrashKey<'a> = (&'a str, u64, &'a [String]);
/// Time since a crash and since the request was sent, in milliseconds.
type Ages = (u64, Option<u64>);

impl Evidence {
    /// Merged evidence of several gateways, each with the time since it arrived.
    ///
    /// A crash that several report has the highest of its ages and the latest time of sending, a part the age of
    /// its latest sound run.
    pub fn merged<'a>(evidence: impl IntoIterator<Item = (&'a Evidence, Duration)>) -> Self {
        let mut crashes = Merged::default();
        let mut undecided = Merged::default();
        let mut sound: BTreeMap<String, u64> = BTreeMap::new();
        for (evidence, elapsed) in evidence {
            crashes.extend(&evidence.crashes, elapsed);
            undecided.extend(&evidence.undecided, elapsed);
            for (part, age_ms) in &evidence.sound {
                let age_ms = age_ms.saturating_add(elapsed.as_millis() as u64);
                match sound.get_mut(part) {
                    Some(age) => *age = age_ms.min(*age),
                    None => drop(sound.insert(part.clone(), age_ms)),
                }
            }
        }
        Evidence {
            crashes: crashes.youngest(),
            undecided: undecided.youngest(),
            sound,
        }
    }
}

/// Crashes of several gateways, without repetitions.
#[derive(Default)]
struct Merged<'a> {
    ages: HashMap<CrashKey<'a>, Ages>,
}

impl<'a> Merged<'a> {
    /// Adds crashes from a report that arrived `elapsed` ago.
    fn extend(&mut self, crashes: &'a [Crash], elapsed: Duration) {
        let elapsed_ms = elapsed.as_millis() as u64;
        for crash in crashes {
            let age_ms = crash.age_ms.saturating_add(elapsed_ms);
            if u128::from(age_ms) > REPORTED_TIME.as_millis() {
                continue;
            }
            let key = (crash.target.as_str(), crash.incarnation, crash.parts.as_slice());
            let sent = crash.sent_age_ms.map(|ms| ms.saturating_add(elapsed_ms));
            let (age, sent_age) = self.ages.entry(key).or_insert((age_ms, sent));
            *age = age_ms.max(*age);
            *sent_age = [*sent_age, sent].into_iter().flatten().min();
        }
    }

    /// The youngest crashes, within [`MAX_MERGED_CRASHES`] and [`MAX_MERGED_MARKS`].
    fn youngest(self) -> Vec<Crash> {
        let mut crashes: Vec<_> = self.ages.into_iter().map(|(key, ages)| (ages, key)).collect();
        crashes.sort_unstable();
        crashes.truncate(MAX_MERGED_CRASHES);
        let mut marks = 0;
        crashes.retain(|(_, (_, _, parts))| {
            marks += parts.len();
            marks <= MAX_MERGED_MARKS
        });
        let crashes = crashes
            .into_iter()
            .map(|((age_ms, sent_age_ms), (target, incarnation, parts))| Crash {
                target: target.to_owned(),
                incarnation,
                parts: parts.to_vec(),
                age_ms,
                sent_age_ms,
            });
        crashes.collect()
    }
}
