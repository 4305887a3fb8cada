//! Settings of probes and member leases.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Interval of probes and length of member leases.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Interval between probes of one member, in milliseconds.
    pub probe_ms: u64,
    /// Length of a member's lease, from the sending of the probe it answered, in milliseconds.
    pub member_lease_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            probe_ms: 300,
            member_lease_ms: 1_200,
        }
    }
}

impl Timing {
    /// Length of a member's lease, from the sending of the probe it answered.
    pub fn member_lease(&self) -> Duration {
        Duration::from_millis(self.member_lease_ms)
    }
}
