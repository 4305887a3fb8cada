//! Durations and batch sizes of the consensus protocol.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Durations and batch sizes of the consensus protocol.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Interval between heartbeats of a leader, in milliseconds.
    pub heartbeat_ms: u64,
    /// Shortest time without contact from a leader before an election, in milliseconds.
    pub election_ms: u64,
    /// Largest difference between the clock rates of two voters, in percent.
    pub drift_percent: u64,
    /// Records applied since the last snapshot that cause the next one.
    pub snapshot_every: u64,
    /// Largest number of records in one append message.
    pub batch_records: usize,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            heartbeat_ms: 80,
            election_ms: 500,
            drift_percent: 10,
            snapshot_every: 4096,
            batch_records: 512,
        }
    }
}

impl Timing {
    /// Interval between heartbeats.
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// Shortest time without contact from a leader before an election.
    pub fn election_timeout(&self) -> Duration {
        Duration::from_millis(self.election_ms)
    }

    /// Duration of the leader lease: the election timeout less the allowed clock drift.
    pub fn lease_duration(&self) -> Duration {
        Duration::from_millis(self.election_ms * (100 - self.drift_percent) / 100)
    }
}
