//! Time limits of the fleet controllers.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Time for a head to notice that a member has left.
const MEMBER_LOSS_MARGIN: Duration = Duration::from_millis(200);

/// Time without an answer from a head, beyond that for which gateways report it as serving, after which its
/// group has certainly stopped: together 1.7 s, since a sound VM may be silent for 1.5 s and go on.
const STALL_CONFIRMATION_TIME: Duration = Duration::from_millis(700);

/// Settings of a fleet controller's decisions.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Interval between heartbeats of a VM, in milliseconds.
    pub heartbeat_ms: u64,
    /// Time after which a head that has lost a member refuses requests, in milliseconds.
    pub stall_ms: u64,
    /// Longest time for which a gateway's report waits for a change, in milliseconds; with many gateways
    /// they wait longer.
    pub poll_ms: u64,
    /// Voters that the replicated log should have.
    pub voters: usize,
    /// Silence after which a voter counts as lost and is replaced, in milliseconds.
    pub voter_lost_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            heartbeat_ms: 1_200,
            stall_ms: 4_000,
            // Gateways learn each other's load from these answers; an engine takes on new requests
            // about every 50 ms.
            poll_ms: 40,
            voters: 5,
            voter_lost_ms: 4_000,
        }
    }
}

impl Timing {
    /// Silence after which a VM counts as lost, unless a gateway gets answers from its group.
    ///
    /// 2.5 heartbeat intervals: two heartbeats may be late in a row, and half an interval more
    /// covers the retry at another controller.
    pub fn vm_silence_limit(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms * 5 / 2)
    }

    /// Silence after which a VM counts as lost when gateways report that its group has stopped answering.
    pub fn stalled_vm_silence_limit(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms * 5 / 4)
    }

    /// Time for which gateways must report that a head has stopped answering, and none that it serves, before
    /// a silent member of its group counts as lost.
    pub fn stall_confirmation_time(&self) -> Duration {
        STALL_CONFIRMATION_TIME
    }

    /// Silence after which a VM is removed from the registry and, without a group, from the targets.
    pub fn vm_retention(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms * 12)
    }

    /// Time that a heartbeat may take to arrive: one interval.
    pub fn heartbeat_delay(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// Time within which every VM sends its heartbeats to a new leader.
    pub fn leader_discovery_time(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms * 2)
    }

    /// Time without a new VM after which all VMs are taken to be known: one heartbeat interval.
    pub fn arrival_quiet_time(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// Time after which a head that cannot be reached certainly refuses requests, counted from
    /// the heartbeat that shows that another member has left.
    pub fn head_stop_time(&self) -> Duration {
        Duration::from_millis(self.stall_ms) + MEMBER_LOSS_MARGIN
    }
}
