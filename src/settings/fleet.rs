//! Settings of `heatherramp-fleet`.

use std::net::SocketAddr;

use error_stack::Report;
use serde::Deserialize;
use serde::Serialize;

use super::Error;
use crate::adapters::quic;
use crate::domain::consensus;
use crate::domain::fleet;

/// Settings of a fleet controller.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Name of this VM.
    pub name: String,
    /// Availability zone of this VM; gateways and VMs prefer the controller in theirs.
    pub availability_zone: String,
    /// Folder of the replicated log.
    pub data_folder: String,
    /// Whether a seed with an empty data folder starts a new log, as on a first installation.
    pub first_start: bool,
    /// Address for VMs and operators.
    pub listen: SocketAddr,
    /// Port for metrics, on the IP address of `listen`; 0 for none.
    pub metrics_port: u16,
    /// Addresses of some controllers; their ports are ignored.
    pub seeds: Vec<SocketAddr>,
    /// Port for the system's own processes.
    pub peer_port: u16,
    /// Files with the deployment keys.
    pub keys: quic::Keys,
    /// Memory of this VM, in MB; HTTP callers may make the process hold 3/16 of it.
    pub memory_mb: f64,
    /// Number of disks that may be lost at the same time without loss of the log.
    pub disk_losses: usize,
    /// Timing of consensus.
    pub consensus: consensus::Timing,
    /// Timing of heartbeats, groups and gateway reports; `disk_losses` overrides its `voters`.
    pub fleet: fleet::Timing,
    /// Limits of connections from the system's own processes.
    pub intake: fleet::IntakeLimits,
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet {
            name: "fleet".to_owned(),
            availability_zone: String::new(),
            data_folder: "data".to_owned(),
            first_start: false,
            listen: SocketAddr::from(([127, 0, 0, 1], 8090)),
            metrics_port: 0,
            seeds: Vec::new(),
            peer_port: 7400,
            keys: quic::Keys::default(),
            memory_mb: 256.0,
            disk_losses: 1,
            consensus: consensus::Timing::default(),
            fleet: fleet::Timing::default(),
            intake: fleet::IntakeLimits::default(),
        }
    }
}

impl Fleet {
    /// Checks the constraints that the field types do not express.
    ///
    /// # Errors
    ///
    /// [`Error::Value`] with the path of the field and the reason.
    pub fn check(&self) -> Result<(), Report<Error>> {
        let invalid = |text: &str| Err(Report::new(Error::Value).attach(text.to_owned()));
        check_seeds(&self.seeds)?;
        if self.data_folder.is_empty() {
            return invalid("data_folder: must not be empty");
        }
        if !(64.0..=1_000_000.0).contains(&self.memory_mb) {
            return invalid("memory_mb: must be between 64 and 1000000");
        }
        if self.consensus.election_ms < self.consensus.heartbeat_ms * 3 {
            return invalid("consensus.election_ms: must be at least 3 times heartbeat_ms");
        }
        if self.intake.connections == 0 || self.intake.handshakes_per_s == 0 || self.intake.memory_mb == 0 {
            return invalid("intake: limits must be at least 1");
        }
        Ok(())
    }

    /// Address for the system's own processes.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.listen.ip(), self.peer_port)
    }

    /// Addresses of the seeds, with the port for the system's own processes.
    pub fn peer_seeds(&self) -> Vec<SocketAddr> {
        peer_addresses(&self.seeds, self.peer_port)
    }

    /// Number of voters that tolerates the loss of `disk_losses` disks.
    pub fn voters(&self) -> usize {
        2 * self.disk_losses + 1
    }
}

/// Replaces the ports of the seeds by `port`.
pub(super) fn peer_addresses(seeds: &[SocketAddr], port: u16) -> Vec<SocketAddr> {
    seeds.iter().map(|s| SocketAddr::new(s.ip(), port)).collect()
}

/// Refuses an empty list of seeds.
pub(super) fn check_seeds(seeds: &[SocketAddr]) -> Result<(), Report<Error>> {
    if seeds.is_empty() {
        return Err(Report::new(Error::Value).attach("seeds: must not be empty"));
    }
    Ok(())
}
