//! Settings of `heatherramp-entry`.

use std::net::SocketAddr;

use error_stack::Report;
use serde::Deserialize;
use serde::Serialize;

use super::Connections;
use super::Error;
use super::Peer;
use crate::adapters::quic;
use crate::domain::dispatch;

/// Durations of a graceful shutdown.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Drain {
    /// Time for which callers are still accepted after readiness checks fail, in milliseconds.
    pub grace_ms: u64,
    /// Longest wait for calls in flight, in milliseconds.
    pub longest_ms: u64,
}

impl Default for Drain {
    fn default() -> Self {
        Drain {
            grace_ms: 10_000,
            longest_ms: 600_000,
        }
    }
}

/// Settings of an entry process.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Entry {
    /// Name of this entry VM.
    pub name: String,
    /// Availability zone of this VM.
    pub availability_zone: String,
    /// Address for callers.
    pub listen_http: SocketAddr,
    /// Address for the system's own processes.
    pub listen_peer: SocketAddr,
    /// All control processes.
    pub control: Vec<Peer>,
    /// Files with the deployment keys.
    pub keys: quic::Keys,
    /// Timing of dispatch.
    pub dispatch: dispatch::Timing,
    /// Largest body of any call, in bytes.
    pub max_body_bytes: usize,
    /// Memory of this VM, in MB; callers may make the process hold 7/16 of it.
    pub memory_mb: f64,
    /// Limits of the connections of callers.
    pub connections: Connections,
    /// Durations of a graceful shutdown.
    pub drain: Drain,
}

impl Default for Entry {
    fn default() -> Self {
        Entry {
            name: "e1".to_owned(),
            availability_zone: String::new(),
            listen_http: SocketAddr::from(([127, 0, 0, 1], 8080)),
            listen_peer: SocketAddr::from(([127, 0, 0, 1], 7301)),
            control: Vec::new(),
            keys: quic::Keys::default(),
            dispatch: dispatch::Timing::default(),
            max_body_bytes: 16 << 20,
            memory_mb: 1_024.0,
            connections: Connections::default(),
            drain: Drain::default(),
        }
    }
}

impl Entry {
    /// Checks the constraints that the field types do not express.
    ///
    /// # Errors
    ///
    /// [`Error::Value`] with the path of the field and the reason.
    pub fn check(&self) -> Result<(), Report<Error>> {
        let invalid = |text: &str| Err(Report::new(Error::Value).attach(text.to_owned()));
        // `#` separates the name from the unique part of a session identifier.
        if self.name.is_empty() || self.name.contains('#') {
            return invalid("name: must not be empty or contain '#'");
        }
        if self.availability_zone.is_empty() {
            return invalid("availability_zone: must not be empty");
        }
        if self.control.is_empty() {
            return invalid("control: must not be empty");
        }
        if self
            .control
            .iter()
            .any(|p| p.address.parse::<SocketAddr>().is_err())
        {
            return invalid("control[].address: must be an IP address and port");
        }
        if !(128.0..=1_000_000.0).contains(&self.memory_mb) {
            return invalid("memory_mb: must be between 128 and 1000000");
        }
        if let Some(reason) = self.connections.invalid_field() {
            return invalid(reason);
        }
        if self.dispatch.probe_ms * 2 > self.dispatch.member_lease_ms {
            return invalid("dispatch.member_lease_ms: must be at least 2 times probe_ms");
        }
        Ok(())
    }
}
