//! Intake of connections at a controller.
//!
//! Gateways that lose their controller connect to the others. A handshake takes a controller with 0.3 of a core
//! about 5 ms, and a connection about 100 KB, so without limits the gateways that come take the time and memory
//! that the connected ones need. Beyond a limit a connection is refused with one packet; the gateway comes back
//! after a delay that grows. Other controllers are always accepted, since the log needs them.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Time for which unused handshakes are saved up, so that many gateways may start together.
const BURST: Duration = Duration::from_secs(3);
/// Part of the saved handshakes below which a peer must show that it still waits.
const VALIDATION_LEVEL: f64 = 0.5;
/// Time without a refusal after which the next one is logged again.
const QUIET_TIME: Duration = Duration::from_secs(30);

/// Limits of a controller's intake of connections from the system's own processes.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest number of open connections.
    pub connections: usize,
    /// Handshakes per second, on average over a few seconds.
    pub handshakes_per_s: u32,
    /// Resident memory of the process from which on no connection is accepted, in MB.
    pub memory_mb: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            // Twice the gateways of the largest deployment.
            connections: 640,
            // A fifth of 0.3 of a core.
            handshakes_per_s: 40,
            // Of 256 MB, with room for what has arrived in sockets.
            memory_mb: 208,
        }
    }
}

/// Connection that a peer asks for, and what the controller holds at that time.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Whether the peer is another controller.
    pub is_controller: bool,
    /// Whether the peer has just shown that it receives packets at its address.
    pub is_validated: bool,
    /// Open connections.
    pub connections: usize,
    /// Resident memory of the process, in MB.
    pub memory_mb: u64,
}

/// Decision on a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The handshake begins.
    Accept,
    /// The peer is asked to connect again at once. One that has given up does not, which saves its handshake.
    Validate,
    /// The connection is refused.
    Refuse(Reason),
}

/// Limit by which a connection is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// [`Limits::connections`].
    Connections,
    /// [`Limits::handshakes_per_s`].
    Handshakes,
    /// [`Limits::memory_mb`].
    Memory,
}

impl Reason {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Reason::Connections => "connections",
            Reason::Handshakes => "handshakes",
            Reason::Memory => "memory",
        }
    }
}

/// Decides which connections a controller accepts.
#[derive(Clone, Debug)]
pub struct Intake {
    limits: Limits,
    /// Handshakes that may begin now.
    saved: f64,
    updated_at: Duration,
    refused_at: Option<Duration>,
}

impl Intake {
    /// Intake with all handshakes of a burst saved.
    pub fn new(limits: Limits, now: Duration) -> Self {
        let mut intake = Intake {
            limits,
            saved: 0.0,
            updated_at: now,
            refused_at: None,
        };
        intake.saved = intake.burst();
        intake
    }

    /// Decides on a connection.
    pub fn admit(&mut self, now: Duration, arrival: Arrival) -> Admission {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let earned = elapsed * f64::from(self.limits.handshakes_per_s);
        self.saved = (self.saved + earned).min(self.burst());
        self.updated_at = now;
        if arrival.is_controller {
            // Its handshake takes time as well, which others do not get.
            self.saved = (self.saved - 1.0).max(0.0);
            return Admission::Accept;
        }
        if arrival.connections >= self.limits.connections {
            return Admission::Refuse(Reason::Connections);
        }
        if arrival.memory_mb >= self.limits.memory_mb {
            return Admission::Refuse(Reason::Memory);
        }
        if self.saved < 1.0 {
            return Admission::Refuse(Reason::Handshakes);
        }
        if !arrival.is_validated && self.saved < self.burst() * VALIDATION_LEVEL {
            return Admission::Validate;
        }
        self.saved -= 1.0;
        Admission::Accept
    }

    /// Records a refusal; returns whether it is the first one for a while.
    pub fn record_refusal(&mut self, now: Duration) -> bool {
        let previous = self.refused_at.replace(now);
        previous.is_none_or(|at| now >= at + QUIET_TIME)
    }

    fn burst(&self) -> f64 {
        f64::from(self.limits.handshakes_per_s) * BURST.as_secs_f64()
    }
}
