//! Settings of `heatherramp-control`.

use std::net::SocketAddr;

use error_stack::Report;
use serde::Deserialize;
use serde::Serialize;

use super::Connections;
use super::Error;
use super::Peer;
use crate::adapters::quic;
use crate::domain::control;

/// An operator who may change the system.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name under which the operator's changes are logged and recorded.
    pub name: String,
    /// SHA-256 of the operator's key, as 64 hexadecimal digits.
    pub key_digest: String,
}

/// Settings of a control process.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// Name of this control VM, one of `control`.
    pub name: String,
    /// Address for the system's own processes.
    pub listen_peer: SocketAddr,
    /// Address for announcements, operators and metrics.
    pub listen_http: SocketAddr,
    /// Folder of the replicated log and its snapshots.
    pub data_folder: String,
    /// All control processes, including this one.
    pub control: Vec<Peer>,
    /// Availability zones that environment documents may name.
    pub availability_zones: Vec<String>,
    /// Operators who may read the status and make changes.
    pub operators: Vec<Operator>,
    /// Files with the deployment keys.
    pub keys: quic::Keys,
    /// Limits of the connections of VMs and operators.
    pub connections: Connections,
    /// Timing and limits of consensus, sessions, membership and placement.
    pub core: control::Settings,
    /// Time for which the ledger keeps non-repeatable calls, in hours.
    pub ledger_hours: u64,
}

impl Default for Control {
    fn default() -> Self {
        Control {
            name: "c1".to_owned(),
            listen_peer: SocketAddr::from(([127, 0, 0, 1], 7101)),
            listen_http: SocketAddr::from(([127, 0, 0, 1], 7201)),
            data_folder: "data".to_owned(),
            control: Vec::new(),
            availability_zones: Vec::new(),
            operators: Vec::new(),
            keys: quic::Keys::default(),
            connections: Connections::default(),
            core: control::Settings::default(),
            ledger_hours: 168,
        }
    }
}

impl Control {
    /// Checks the constraints that the field types do not express.
    ///
    /// # Errors
    ///
    /// [`Error::Value`] with the path of the field and the reason.
    pub fn check(&self) -> Result<(), Report<Error>> {
        let invalid = |text: &str| Err(Report::new(Error::Value).attach(text.to_owned()));
        if !self.control.iter().any(|p| p.name == self.name) {
            return invalid("control: must contain this process's name");
        }
        if self
            .control
            .iter()
            .any(|p| p.address.parse::<SocketAddr>().is_err())
        {
            return invalid("control[].address: must be an IP address and port");
        }
        if self.availability_zones.is_empty() {
            return invalid("availability_zones: must not be empty");
        }
        if let Some(reason) = self.connections.invalid_field() {
            return invalid(reason);
        }
        if self.core.consensus.heartbeat_ms * 3 > self.core.consensus.election_ms {
            return invalid("core.consensus.election_ms: must be at least 3 times heartbeat_ms");
        }
        if self.core.consensus.drift_percent > 50 {
            return invalid("core.consensus.drift_percent: must be 0 to 50");
        }
        if self.core.session.poll_ms * 2 > self.core.session.lease_ms {
            return invalid("core.session.lease_ms: must be at least 2 times poll_ms");
        }
        Ok(())
    }
}
