//! Announcements of VMs, and the reports of the upstream processes on them.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::domain::environment::Kind;

/// Longest name in an announcement, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// State that an upstream process reports about itself.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Report {
    /// Incarnation; changes whenever the process restarts, never 0 in an announcement.
    pub incarnation: u64,
    /// Number of the group in the last order carried out; 0 for none.
    pub group: u64,
    /// Fencing number in that order.
    pub fence: u64,
    /// Whether the model is loaded and the group can serve calls.
    pub ready: bool,
    /// Whether the upstream is about to shut down.
    pub leaving: bool,
    /// Number of calls in progress.
    pub running: usize,
    /// Duration of one generation step, in microseconds; 0 when idle.
    pub step_us: u64,
    /// Model whose weights are on the VM, as `model@version`; name of the service for a service.
    pub model: String,
}

/// Announcement as received, not validated yet.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Raw {
    /// Name of the VM.
    pub vm: String,
    /// Address of the upstream.
    pub address: String,
    /// Availability zone.
    pub availability_zone: String,
    /// Fabric domain; all members of a group are in the same one.
    pub fabric_domain: String,
    /// Number of accelerators of the VM.
    #[serde(default)]
    pub accelerators: u32,
    /// Kind of the upstream.
    #[serde(default)]
    pub kind: Kind,
    /// State of the upstream.
    #[serde(default)]
    pub report: Report,
}

/// Validated announcement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Announcement {
    /// Name of the VM.
    pub vm: String,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Fabric domain; all members of a group are in the same one.
    pub domain: String,
    /// Number of accelerators of the VM.
    pub accelerators: u32,
    /// Kind of the upstream.
    pub kind: Kind,
    /// State of the upstream.
    pub report: Report,
}

/// Reason why an announcement is refused, as sent to the VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error(pub String);

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Error {}

impl TryFrom<Raw> for Announcement {
    type Error = Error;

    fn try_from(raw: Raw) -> Result<Self, Error> {
        let fields = [
            ("vm", &raw.vm),
            ("availability_zone", &raw.availability_zone),
            ("fabric_domain", &raw.fabric_domain),
        ];
        for (field, value) in fields {
            let is_printable = value.chars().all(|c| c.is_ascii_graphic());
            if value.is_empty() || value.len() > MAX_NAME_BYTES || !is_printable {
                let reason = format!("{field}: must be 1 to {MAX_NAME_BYTES} printable characters");
                return Err(Error(reason));
            }
        }
        if raw.report.incarnation == 0 {
            return Err(Error("report.incarnation: must not be 0".to_owned()));
        }
        if raw.report.model.len() > 2 * MAX_NAME_BYTES {
            return Err(Error("report.model: too long".to_owned()));
        }
        let address = raw.address.parse().map_err(|_| {
            Error(format!(
                "address: not an IP address and port: {:.64}",
                raw.address
            ))
        })?;
        Ok(Announcement {
            vm: raw.vm,
            address,
            zone: raw.availability_zone,
            domain: raw.fabric_domain,
            accelerators: raw.accelerators,
            kind: raw.kind,
            report: raw.report,
        })
    }
}
