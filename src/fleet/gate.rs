//! Intake of connections from gateways and other controllers.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::Status;
use super::metrics::Metrics;
use crate::adapters::clock;
use crate::adapters::memory;
use crate::adapters::quic;
use crate::domain::fleet::Admission;
use crate::domain::fleet::Arrival;
use crate::domain::fleet::Intake;
use crate::domain::fleet::IntakeLimits;
use crate::logging;

/// Interval in which the memory of the process is read; a burst of handshakes adds 12 MB in it.
const MEMORY_INTERVAL: Duration = Duration::from_millis(500);

/// Decides on connections and counts them.
pub(super) struct Gate {
    intake: Mutex<Intake>,
    status: Arc<Mutex<Status>>,
    /// Controllers from the settings.
    seeds: BTreeSet<IpAddr>,
    memory_mb: Arc<AtomicU64>,
    metrics: Metrics,
}

impl Gate {
    /// Gate that knows the controllers at `seeds` and those in `status`.
    pub(super) fn new(
        limits: IntakeLimits,
        seeds: &[SocketAddr],
        status: Arc<Mutex<Status>>,
        metrics: Metrics,
    ) -> Self {
        let memory_mb: Arc<AtomicU64> = Arc::default();
        let shared = memory_mb.clone();
        tokio::spawn(async move {
            loop {
                shared.store(memory::resident_mb(), Ordering::Relaxed);
                tokio::time::sleep(MEMORY_INTERVAL).await;
            }
        });
        Gate {
            intake: Mutex::new(Intake::new(limits, clock::now())),
            status,
            seeds: seeds.iter().map(SocketAddr::ip).collect(),
            memory_mb,
            metrics,
        }
    }

    /// Decides on a connection.
    pub(super) fn admit(&self, peer: quic::Arrival) -> Admission {
        let arrival = Arrival {
            is_controller: self.is_controller(peer.address.ip()),
            is_validated: peer.is_validated,
            connections: peer.connections,
            memory_mb: self.memory_mb.load(Ordering::Relaxed),
        };
        let now = clock::now();
        let mut intake = self.intake.lock().expect("no panic under this lock");
        let admission = intake.admit(now, arrival);
        let outcome = match admission {
            Admission::Accept => "accepted",
            Admission::Validate => "validated",
            Admission::Refuse(reason) => {
                if intake.record_refusal(now) {
                    logging::INTAKE_LIMITED.log_fields(&[
                        ("limit", reason.name().into()),
                        ("connections", (arrival.connections as u64).into()),
                        ("memory_mb", arrival.memory_mb.into()),
                    ]);
                }
                reason.name()
            }
        };
        self.metrics.connections.set(arrival.connections as i64);
        self.metrics.intake.with_label_values(&[outcome]).inc();
        admission
    }

    fn is_controller(&self, ip: IpAddr) -> bool {
        let status = self.status.lock().expect("no panic under this lock");
        let mut members = status.controllers.iter();
        let is_member = members.any(|m| m.parse::<SocketAddr>().is_ok_and(|m| m.ip() == ip));
        is_member || self.seeds.contains(&ip)
    }
}
