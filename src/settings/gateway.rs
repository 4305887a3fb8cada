//! Settings of `heatherramp-gateway`.

use std::net::SocketAddr;

use error_stack::Report;
use serde::Deserialize;
use serde::Serialize;

use super::Error;
use super::fleet::check_seeds;
use super::fleet::peers;
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
    /// Address for readiness.
    pub listen_status: SocketAddr,
    /// Port for metrics on the address of readiness; 0 for none.
    pub metrics_port: u16,
    /// Addresses of some controllers; only their IP numbers count.
    pub seeds: Vec<SocketAddr>,
    /// Port of the controllers for the system's own processes.
    pub peer_port: u16,
    /// Deployment keys.
    pub keys: quic::Keys,
    /// Time after its withdrawal in which a key must stop working everywhere, in milliseconds.
    pub revocation_ms: u64,
    /// Time from SIGTERM to SIGKILL, in seconds.
    pub grace_s: f64,
    /// Limits of dispatch.
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
            peer_port: 7400,
            keys: quic::Keys::default(),
            revocation_ms: 5_000,
            grace_s: 8.0,
            dispatch: gateway::Settings::default(),
        }
    }
}

impl Gateway {
    /// Checks what the types cannot.
    ///
    /// # Errors
    ///
    /// `Value` with the path and the reason.
    pub fn check(&self) -> Result<(), Report<Error>> {
        let fault = |text: &str| Err(Report::new(Error::Value).attach(text.to_owned()));
        check_seeds(&self.seeds)?;
        if self.revocation_ms < 2_000 {
            return fault("revocation_ms: must be at least 2000");
        }
        if !(1.0..=3_600.0).contains(&self.grace_s) {
            return fault("grace_s: must be between 1 and 3600");
        }
        if !(0.0..=1.0).contains(&self.dispatch.retry_use) {
            return fault("dispatch.retry_use: must be between 0 and 1");
        }
        Ok(())
    }

    /// Addresses of the seeds for the system's own processes.
    pub fn peer_seeds(&self) -> Vec<SocketAddr> {
        peers(&self.seeds, self.peer_port)
    }
}
