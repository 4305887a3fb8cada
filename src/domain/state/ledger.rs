//! Ledger of non-repeatable calls: the call of an idempotency key runs at most once.
//!
//! A call is running, has ended, or has an unknown outcome. In the last two cases its
//! key does not run again before the retention is over. At its size limits, the ledger
//! drops the bodies of the oldest answers and refuses new keys; it never forgets a key
//! early to make room.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

/// Keys held at most, so that a snapshot fits into one frame between processes.
const MAX_KEYS: usize = 250_000;
/// Answers held with their body at most.
const MAX_STORED_BODIES: usize = 20_000;
/// Bytes of all stored bodies at most.
const MAX_STORED_BYTES: usize = 4 << 20;
/// Largest body that is stored, in bytes.
const MAX_STORED_BODY_BYTES: usize = 64 * 1024;

/// Identity of a non-repeatable call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Call {
    /// Client account.
    pub client_account: String,
    /// Environment.
    pub environment: String,
    /// Idempotency key that the caller chose.
    pub key: String,
    /// Digest of method, path and body; it must be the same whenever the key is used again.
    pub digest: u64,
    /// Wall clock time of arrival at the entry, in milliseconds since the Unix epoch.
    pub arrived_ms: u64,
}

impl Call {
    /// Key of the call in the ledger: unique across client accounts and environments.
    fn slot_key(&self) -> String {
        format!(
            "{}\u{1f}{}\u{1f}{}",
            self.client_account, self.environment, self.key
        )
    }

    /// Number of the call's shard, below `shards`.
    pub fn shard(&self, shards: u64) -> u64 {
        xxhash_rust::xxh3::xxh3_64(self.slot_key().as_bytes()) % shards.max(1)
    }
}

/// How an attempt ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The call did not run: no byte of it can have reached an upstream.
    NotRun,
    /// The upstream answered, and the answer is stored.
    Answer {
        /// HTTP status.
        status: u16,
        /// Body.
        body: String,
    },
    /// The upstream answered; the body was too large to store, or has been dropped.
    Ran {
        /// HTTP status.
        status: u16,
    },
    /// It is not known whether the upstream ran the call.
    Unknown,
}

/// Decision of the ledger about an attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The attempt may run.
    Granted,
    /// Another attempt at the call is running.
    Running,
    /// The call has ended, with this outcome.
    Ended(Outcome),
    /// The key is in use for a call with another method, path or body.
    Mismatch,
    /// The ledger holds as many keys as it can, and refuses this new one.
    Full,
    /// The ledger received the end of an attempt, which may have changed nothing.
    Recorded,
}

/// Progress of an attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
enum Progress {
    Running,
    Ended(Outcome),
}

/// Latest attempt at the call of one key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Slot {
    digest: u64,
    attempt: String,
    /// Session of the entry that makes the attempt.
    session: String,
    /// Time from which the retention counts, in milliseconds since the Unix epoch.
    arrived_ms: u64,
    progress: Progress,
}

/// Non-repeatable calls by idempotency key.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ledger {
    slots: BTreeMap<String, Slot>,
    /// Keys of the slots that store a body, oldest first.
    bodies: VecDeque<String>,
    /// Bytes of all stored bodies.
    stored_bytes: usize,
    /// Latest wall clock time of a control process, in milliseconds since the Unix epoch.
    clock_ms: u64,
}

impl Ledger {
    /// Number of keys held.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Sessions that have a running attempt, sorted, each once.
    pub fn running_sessions(&self) -> Vec<&str> {
        let running = self.slots.values().filter(|s| s.progress == Progress::Running);
        let mut sessions: Vec<&str> = running.map(|s| s.session.as_str()).collect();
        sessions.sort_unstable();
        sessions.dedup();
        sessions
    }

    pub(super) fn begin(&mut self, call: &Call, attempt: &str, session: &str) -> Verdict {
        let is_full = self.slots.len() >= MAX_KEYS;
        let Some(slot) = self.slots.get(&call.slot_key()) else {
            if is_full {
                return Verdict::Full;
            }
            self.slots.insert(
                call.slot_key(),
                Slot {
                    digest: call.digest,
                    attempt: attempt.to_owned(),
                    session: session.to_owned(),
                    // An entry whose clock is behind must not shorten the retention.
                    arrived_ms: call.arrived_ms.max(self.clock_ms),
                    progress: Progress::Running,
                },
            );
            return Verdict::Granted;
        };
        if slot.digest != call.digest {
            return Verdict::Mismatch;
        }
        match &slot.progress {
            Progress::Running if slot.attempt == attempt => Verdict::Granted,
            Progress::Running => Verdict::Running,
            Progress::Ended(outcome) => Verdict::Ended(outcome.clone()),
        }
    }

    pub(super) fn finish(&mut self, call: &Call, attempt: &str, outcome: &Outcome) -> Verdict {
        let slot_key = call.slot_key();
        let Some(slot) = self.slots.get_mut(&slot_key) else {
            return Verdict::Recorded;
        };
        // The end of an attempt may arrive after its session was ended, which made the
        // outcome unknown. A known outcome replaces an unknown one; nothing replaces a
        // known one.
        let is_replaceable = matches!(
            slot.progress,
            Progress::Running | Progress::Ended(Outcome::Unknown)
        );
        if slot.attempt != attempt || !is_replaceable {
            return Verdict::Recorded;
        }
        match outcome {
            Outcome::NotRun => {
                self.slots.remove(&slot_key);
            }
            Outcome::Unknown => slot.progress = Progress::Ended(Outcome::Unknown),
            Outcome::Answer { status, body } if body.len() > MAX_STORED_BODY_BYTES => {
                slot.progress = Progress::Ended(Outcome::Ran { status: *status });
            }
            Outcome::Ran { .. } => slot.progress = Progress::Ended(outcome.clone()),
            Outcome::Answer { body, .. } => {
                self.stored_bytes += body.len();
                slot.progress = Progress::Ended(outcome.clone());
                self.bodies.push_back(slot_key);
                self.drop_oldest_bodies();
            }
        }
        Verdict::Recorded
    }

    fn drop_oldest_bodies(&mut self) {
        while self.bodies.len() > MAX_STORED_BODIES || self.stored_bytes > MAX_STORED_BYTES {
            let Some(slot_key) = self.bodies.pop_front() else {
                return;
            };
            if let Some(slot) = self.slots.get_mut(&slot_key)
                && let Progress::Ended(Outcome::Answer { status, body }) = &slot.progress
            {
                self.stored_bytes -= body.len();
                slot.progress = Progress::Ended(Outcome::Ran { status: *status });
            }
        }
    }

    /// Makes the outcome of the session's running calls unknown.
    pub(super) fn end_session(&mut self, session: &str) {
        for slot in self.slots.values_mut() {
            if slot.session == session && slot.progress == Progress::Running {
                slot.progress = Progress::Ended(Outcome::Unknown);
            }
        }
    }

    pub(super) fn forget(&mut self, now_ms: u64, retention_ms: u64) {
        self.clock_ms = self.clock_ms.max(now_ms);
        let oldest_kept_ms = now_ms.saturating_sub(retention_ms);
        self.slots
            .retain(|_, s| s.progress == Progress::Running || s.arrived_ms >= oldest_kept_ms);
        let slots = &self.slots;
        self.bodies.retain(|slot_key| slots.contains_key(slot_key));
        let body_sizes = slots.values().filter_map(|s| match &s.progress {
            Progress::Ended(Outcome::Answer { body, .. }) => Some(body.len()),
            _ => None,
        });
        self.stored_bytes = body_sizes.sum();
    }
}
