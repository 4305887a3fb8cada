//! What all requests of a gateway share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;

use super::metrics::Metrics;
use crate::adapters::clock;
use crate::adapters::fleet::Client;
use crate::adapters::http1;
use crate::domain::catalog::Catalog;
use crate::domain::gateway::Balancer;
use crate::domain::gateway::Budget;
use crate::domain::gateway::Demand;
use crate::domain::gateway::Settings;

/// Time before the withdrawal limit at which the catalog stops counting: the last request
/// still has to reach its upstream.
const LEASE_MARGIN: Duration = Duration::from_millis(500);

/// State of a gateway.
pub(super) struct Context {
    pub(super) settings: Settings,
    pub(super) upstreams: http1::Client,
    pub(super) controllers: Client,
    pub(super) metrics: Metrics,
    /// Signalled when a target may have room again.
    pub(super) room: Notify,
    balancer: Mutex<Balancer>,
    budget: Mutex<Budget>,
    demand: Mutex<Demand>,
    catalog: Mutex<Option<Arc<Catalog>>>,
    /// Time of sending of the last report that the leader answered, in milliseconds.
    confirmed_ms: AtomicU64,
    has_targets: AtomicBool,
    draining: AtomicBool,
    /// Time from which a draining gateway takes no more requests, in milliseconds.
    closes_ms: AtomicU64,
    lease: Duration,
}

impl Context {
    pub(super) fn new(settings: &crate::settings::Gateway, controllers: Client) -> Self {
        let revocation = Duration::from_millis(settings.revocation_ms);
        Context {
            settings: settings.dispatch.clone(),
            upstreams: http1::Client::default(),
            controllers,
            metrics: Metrics::new(),
            room: Notify::new(),
            balancer: Mutex::new(Balancer::new(
                &settings.availability_zone,
                rand::random(),
                settings.dispatch.clone(),
            )),
            budget: Mutex::default(),
            demand: Mutex::default(),
            catalog: Mutex::default(),
            confirmed_ms: AtomicU64::new(0),
            has_targets: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            closes_ms: AtomicU64::new(u64::MAX),
            lease: revocation.saturating_sub(LEASE_MARGIN),
        }
    }

    /// Catalog, while the leader's word on it still counts.
    pub(super) fn catalog(&self) -> Option<Arc<Catalog>> {
        let confirmed = Duration::from_millis(self.confirmed_ms.load(Ordering::Relaxed));
        let is_valid = clock::now() < confirmed + self.lease;
        let catalog = self.catalog.lock().expect("no panic under this lock");
        catalog.clone().filter(|_| is_valid)
    }

    /// Version of the latest catalog, 0 for none.
    pub(super) fn version(&self) -> u64 {
        let catalog = self.catalog.lock().expect("no panic under this lock");
        catalog.as_ref().map_or(0, |c| c.version())
    }

    pub(super) fn set_catalog(&self, catalog: Arc<Catalog>) {
        *self.catalog.lock().expect("no panic under this lock") = Some(catalog);
    }

    /// Takes note that the leader answered a report sent at `sent`.
    pub(super) fn confirm(&self, sent: Duration, has_targets: bool) {
        self.confirmed_ms
            .store(sent.as_millis() as u64, Ordering::Relaxed);
        if has_targets {
            self.has_targets.store(true, Ordering::Relaxed);
        }
    }

    /// Whether new connections should come here.
    pub(super) fn is_ready(&self) -> bool {
        !self.is_draining() && self.has_targets.load(Ordering::Relaxed) && self.catalog().is_some()
    }

    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Withdraws readiness now, and takes no more requests from `closes` on.
    pub(super) fn drain(&self, closes: Duration) {
        self.closes_ms.store(closes.as_millis() as u64, Ordering::Relaxed);
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Whether a request would outlast this process.
    pub(super) fn is_closed(&self) -> bool {
        clock::now().as_millis() as u64 >= self.closes_ms.load(Ordering::Relaxed)
    }

    pub(super) fn balancer(&self) -> MutexGuard<'_, Balancer> {
        self.balancer.lock().expect("no panic under this lock")
    }

    pub(super) fn budget(&self) -> MutexGuard<'_, Budget> {
        self.budget.lock().expect("no panic under this lock")
    }

    pub(super) fn demand(&self) -> MutexGuard<'_, Demand> {
        self.demand.lock().expect("no panic under this lock")
    }
}
