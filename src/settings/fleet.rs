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
    /// Folder of the replicated log.
    pub data_folder: String,
    /// Whether an empty folder belongs to a first installation.
    pub first_start: bool,
    /// Address for VMs and operators.
    pub listen: SocketAddr,
    /// Port for metrics on the same IP number; 0 for none.
    pub metrics_port: u16,
    /// Addresses of some controllers; only their IP numbers count.
    pub seeds: Vec<SocketAddr>,
    /// Port for the system's own processes.
    pub peer_port: u16,
    /// Deployment keys.
    pub keys: quic::Keys,
    /// Number of disks that may be lost at once.
    pub disk_losses: usize,
    /// Intervals of the replicated log.
    pub consensus: consensus::Timing,
    /// Times and limits of the fleet.
    pub fleet: fleet::Timing,
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet {
            name: "fleet".to_owned(),
            data_folder: "data".to_owned(),
            first_start: false,
            listen: SocketAddr::from(([127, 0, 0, 1], 8090)),
            metrics_port: 0,
            seeds: Vec::new(),
            peer_port: 7400,
            keys: quic::Keys::default(),
            disk_losses: 1,
            consensus: consensus::Timing::default(),
            fleet: fleet::Timing::default(),
        }
    }
}

impl Fleet {
    /// Checks what the types cannot.
    ///
    /// # Errors
    ///
    /// `Value` with the path and the reason.
    pub fn check(&self) -> Result<(), Report<Error>> {
        let fault = |text: &str| Err(Report::new(Error::Value).attach(text.to_owned()));
        check_seeds(&self.seeds)?;
        if self.data_folder.is_empty() {
            return fault("data_folder: must not be empty");
        }
        if self.consensus.election_ms < self.consensus.heartbeat_ms * 3 {
            return fault("consensus.election_ms: must be at least 3 heartbeats");
        }
        Ok(())
    }

    /// Address for the system's own processes.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.listen.ip(), self.peer_port)
    }

    /// Addresses of the seeds for the system's own processes.
    pub fn peer_seeds(&self) -> Vec<SocketAddr> {
        peers(&self.seeds, self.peer_port)
    }

    /// Voters that bear the loss of `disk_losses` disks.
    pub fn voters(&self) -> usize {
        2 * self.disk_losses + 1
    }
}

/// Addresses of the seeds for the system's own processes.
pub(super) fn peers(seeds: &[SocketAddr], port: u16) -> Vec<SocketAddr> {
    seeds.iter().map(|s| SocketAddr::new(s.ip(), port)).collect()
}

/// Refuses an empty list of controllers.
pub(super) fn check_seeds(seeds: &[SocketAddr]) -> Result<(), Report<Error>> {
    if seeds.is_empty() {
        return Err(Report::new(Error::Value).attach("seeds: must not be empty"));
    }
    Ok(())
}
