//! Settings of `heatherramp-gateway`.

use std::net::SocketAddr;

use error_stack::Report;
use serde::Deserialize;
use serde::Serialize;

use super::Error;
use super::fleet::check_seeds;
use super::fleet::peer_addresses;
use super::intake::Intake;
use crate::adapters::quic;
use crate::domain::gateway;

/// Settings of a gateway process.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Gateway {
    /// Name of this VM.
    pub name: String,
    /// Availability zone of this VM.
    pub availability_zone: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for readiness checks.
    pub listen_status: SocketAddr,
    /// Port for metrics, on the IP address of `listen_status`; 0 for none.
    pub metrics_port: u16,
    /// Addresses of some controllers; their ports are ignored.
    pub seeds: Vec<SocketAddr>,
    /// Region of this VM; only gateways of the same region open connections for this one.
    pub region: String,
    /// Port on which other gateways ask for connections, on the IP address of `listen`; 0 for any free port.
    pub tunnel_port: u16,
    /// Port on which controllers accept the system's own processes.
    pub peer_port: u16,
    /// Files with the deployment keys.
    pub keys: quic::Keys,
    /// Time within which a withdrawn key must stop working everywhere, in milliseconds.
    pub revocation_ms: u64,
    /// Time that the platform leaves between SIGTERM and SIGKILL, in seconds; the shutdown ends before.
    pub grace_s: f64,
    /// Memory of this VM, in MB; callers may make the process hold 7/16 of it.
    pub memory_mb: f64,
    /// Limits of what is taken from callers.
    pub intake: Intake,
    /// Limits of load balancing, retries and admission.
    pub dispatch: gateway::Settings,
}

impl Default for Gateway {
    fn default() -> Self {
        Gateway {
            name: "gateway".to_owned(),
            availability_zone: String::new(),
            listen: SocketAddr::from(([127, 0, 0, 1], 8080)),
            listen_status: SocketAddr::from(([127, 0, 0, 1], 8081)),
            metrics_port: 0,
            seeds: Vec::new(),
            region: String::new(),
            tunnel_port: 0,
            peer_port: 7400,
            keys: quic::Keys::default(),
            revocation_ms: 5_000,
            grace_s: 8.0,
            // The smallest VM that gateways run on.
            memory_mb: 112.0,
            intake: Intake::default(),
            dispatch: gateway::Settings::default(),
        }
    }
}

impl Gateway {
    /// Checks the constraints that the field types do not express.
    ///
    /// # Errors
    ///
    /// [`Error::Value`] with the path of the field and the reason.
    pub fn check(&self) -> Result<(), Report<Error>> {
        let invalid = |text: &str| Err(Report::new(Error::Value).attach(text.to_owned()));
        check_seeds(&self.seeds)?;
        if self.revocation_ms < 2_000 {
            return invalid("revocation_ms: must be at least 2000");
        }
        if !(1.0..=3_600.0).contains(&self.grace_s) {
            return invalid("grace_s: must be between 1 and 3600");
        }
        if !(32.0..=1_000_000.0).contains(&self.memory_mb) {
            return invalid("memory_mb: must be between 32 and 1000000");
        }
        if let Some(text) = self.intake.invalid_field() {
            return invalid(text);
        }
        if !(0.0..=1.0).contains(&self.dispatch.retry_use) {
            return invalid("dispatch.retry_use: must be between 0 and 1");
        }
        if self.dispatch.max_answer_bytes == 0 {
            return invalid("dispatch.max_answer_bytes: must be at least 1");
        }
        Ok(())
    }

    /// Addresses of the seeds, with the port for the system's own processes.
    pub fn peer_seeds(&self) -> Vec<SocketAddr> {
        peer_addresses(&self.seeds, self.peer_port)
    }
}
