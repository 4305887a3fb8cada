//! State that all requests of a gateway share.

use std::borrow::Cow;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;

use super::evidence::Checks;
use super::intake::Budgets;
use super::marks::Marks;
use super::metrics::Metrics;
use crate::adapters::clock;
use crate::adapters::fleet::Client;
use crate::adapters::http1;
use crate::adapters::quic::Pool;
use crate::daemon::Shutdown;
use crate::domain::catalog::Catalog;
use crate::domain::fleet::Announcement;
use crate::domain::fleet::Confirmation;
use crate::domain::fleet::Handling;
use crate::domain::fleet::Heartbeats;
use crate::domain::gateway::Balancer;
use crate::domain::gateway::Budget;
use crate::domain::gateway::Change;
use crate::domain::gateway::Demand;
use crate::domain::gateway::Reach;
use crate::domain::gateway::Refusals;
use crate::domain::gateway::Settings;
use crate::domain::quarantine::Evidence;
use crate::domain::quarantine::Observations;
use crate::domain::quarantine::is_fingerprint;
use crate::domain::reuse::Steering;
use crate::logging;
use crate::settings::Intake;

/// The catalog's lease ends this long before `revocation_ms`, the time after which a withdrawn key must
/// not work anywhere, so that requests admitted last still reach their upstream in time.
const LEASE_MARGIN: Duration = Duration::from_millis(500);

/// Prompt parts that the leader named last; a gateway that loses the controllers keeps them.
#[derive(Default)]
struct Quarantine {
    /// Parts that the leader asks about.
    suspects: Vec<String>,
    /// Parts in quarantine.
    parts: HashSet<String>,
}

/// Shared state of a gateway.
pub(super) struct Context {
    pub(super) settings: Settings,
    pub(super) upstreams: http1::Client,
    pub(super) controllers: Client,
    /// Connections to other gateways.
    pub(super) peers: Pool,
    /// Number of tunnels that are open for other gateways.
    pub(super) tunnels: AtomicUsize,
    pub(super) metrics: Metrics,
    /// Budgets of what callers make this process hold.
    pub(super) budgets: Budgets,
    pub(super) intake: Intake,
    /// Notified when a target may have room again.
    pub(super) room: Notify,
    /// Notified when the links to targets become suspect.
    pub(super) links_changed: Notify,
    /// Number of requests that ask for a permit.
    pub(super) asking: AtomicUsize,
    balancer: Mutex<Balancer>,
    budget: Mutex<Budget>,
    demand: Mutex<Demand>,
    steering: Mutex<Steering>,
    heartbeats: Mutex<Heartbeats>,
    observations: Mutex<Observations>,
    quarantine: RwLock<Quarantine>,
    checks: Mutex<Checks>,
    reach: Mutex<Reach>,
    refusals: Mutex<Refusals>,
    helper_address: OnceLock<String>,
    catalog: Mutex<Option<Arc<Catalog>>>,
    /// Start of the catalog's lease: when the leader last confirmed its version; none before it first did.
    confirmation: Mutex<Option<Confirmation>>,
    /// Whether the leader has ever sent targets.
    has_targets: AtomicBool,
    pub(super) shutdown: Shutdown,
    /// Time after a report during which the catalog may be used.
    catalog_lease: Duration,
}

impl Context {
    pub(super) fn new(
        settings: &crate::settings::Gateway,
        budgets: Budgets,
        controllers: Client,
        peers: Pool,
        dialer: http1::Dialer,
    ) -> Self {
        let revocation_time = Duration::from_millis(settings.revocation_ms);
        Context {
            settings: settings.dispatch.clone(),
            upstreams: http1::Client::new(dialer),
            controllers,
            peers,
            tunnels: AtomicUsize::new(0),
            metrics: Metrics::new(),
            budgets,
            intake: settings.intake.clone(),
            room: Notify::new(),
            links_changed: Notify::new(),
            asking: AtomicUsize::new(0),
            balancer: Mutex::new(Balancer::new(
                &settings.availability_zone,
                rand::random(),
                settings.dispatch.clone(),
            )),
            budget: Mutex::default(),
            demand: Mutex::default(),
            steering: Mutex::default(),
            heartbeats: Mutex::default(),
            observations: Mutex::default(),
            quarantine: RwLock::default(),
            checks: Mutex::default(),
            reach: Mutex::default(),
            refusals: Mutex::default(),
            helper_address: OnceLock::new(),
            catalog: Mutex::default(),
            confirmation: Mutex::default(),
            has_targets: AtomicBool::new(false),
            shutdown: Shutdown::default(),
            catalog_lease: revocation_time.saturating_sub(LEASE_MARGIN),
        }
    }

    /// Catalog in force; none when its lease has expired.
    pub(super) fn catalog(&self) -> Option<Arc<Catalog>> {
        let is_valid = self.is_in_contact(self.catalog_lease);
        let catalog = self.catalog.lock().expect("no panic under this lock");
        catalog.clone().filter(|_| is_valid)
    }

    /// Whether the leader has confirmed this gateway's data within `validity`.
    pub(super) fn is_in_contact(&self, validity: Duration) -> bool {
        let confirmation = *self.confirmation.lock().expect("no panic under this lock");
        confirmation.is_some_and(|c| c.is_valid(clock::now(), validity))
    }

    /// How to handle a heartbeat that has just arrived.
    pub(super) fn receive_heartbeat(&self, announcement: &Announcement) -> Handling {
        let controller = self.controllers.relay();
        self.heartbeats().receive(clock::now(), controller, announcement)
    }

    /// Version of the latest catalog, also when its lease has expired.
    pub(super) fn catalog_version(&self) -> Option<u64> {
        let catalog = self.catalog.lock().expect("no panic under this lock");
        catalog.as_ref().map(|c| c.version())
    }

    pub(super) fn set_catalog(&self, catalog: Arc<Catalog>) {
        self.budgets
            .allow_heads(&self.intake, &catalog.definition().limits);
        *self.catalog.lock().expect("no panic under this lock") = Some(catalog);
    }

    /// Renews the catalog's lease from `confirmation` on, which the leader gave before it stated its version.
    pub(super) fn renew_lease(&self, confirmation: Confirmation, has_targets: bool) {
        let mut known = self.confirmation.lock().expect("no panic under this lock");
        *known = known.max(Some(confirmation));
        drop(known);
        if has_targets {
            self.has_targets.store(true, Ordering::Relaxed);
        }
    }

    /// Whether the load balancer in front should send new connections here.
    pub(super) fn is_ready(&self) -> bool {
        !self.is_draining() && self.has_targets.load(Ordering::Relaxed) && self.catalog().is_some()
    }

    pub(super) fn is_draining(&self) -> bool {
        self.shutdown.stop().is_some()
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

    pub(super) fn steering(&self) -> MutexGuard<'_, Steering> {
        self.steering.lock().expect("no panic under this lock")
    }

    pub(super) fn checks(&self) -> MutexGuard<'_, Checks> {
        self.checks.lock().expect("no panic under this lock")
    }

    pub(super) fn reach(&self) -> MutexGuard<'_, Reach> {
        self.reach.lock().expect("no panic under this lock")
    }

    /// Brings the reach of targets up to date, and logs when this gateway is partitioned or restored.
    pub(super) fn update_reach(&self) {
        let mut reach = self.reach();
        let change = reach.update(clock::now());
        let detours = reach.detours();
        drop(reach);
        self.metrics.detour_targets.set(detours as i64);
        let event = match change {
            Some(Change::Partitioned) => {
                self.balancer().clear_all_failures();
                self.links_changed.notify_waiters();
                logging::GATEWAY_PARTITIONED
            }
            Some(Change::Restored) => logging::GATEWAY_RESTORED,
            None => return,
        };
        self.metrics
            .partitioned
            .set(i64::from(change == Some(Change::Partitioned)));
        event.log_fields(&[("targets", (detours as u64).into())]);
    }

    /// Address of another target than `id`, drawn at random.
    pub(super) fn other_target(&self, id: &str) -> Option<SocketAddr> {
        self.balancer().other_address(id, rand::random())?.parse().ok()
    }

    /// Address at which this gateway opens connections for others; none while it cannot.
    pub(super) fn helper_address(&self) -> Option<String> {
        let is_able = !self.is_draining() && !self.reach().is_partitioned(clock::now());
        self.helper_address.get().filter(|_| is_able).cloned()
    }

    /// Sets the address at which this gateway opens connections for others.
    pub(super) fn set_helper_address(&self, address: String) {
        // Set once, at the start.
        let _ = self.helper_address.set(address);
    }

    pub(super) fn heartbeats(&self) -> MutexGuard<'_, Heartbeats> {
        self.heartbeats.lock().expect("no panic under this lock")
    }

    pub(super) fn refusals(&self) -> MutexGuard<'_, Refusals> {
        self.refusals.lock().expect("no panic under this lock")
    }

    pub(super) fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().expect("no panic under this lock")
    }

    /// Evidence for the next report.
    pub(super) fn evidence(&self, now: Duration) -> Evidence {
        let quarantine = self.quarantine.read().expect("no panic under this lock");
        self.observations().report(now, &quarantine.suspects)
    }

    /// First of `marks` that is in quarantine.
    pub(super) fn quarantined_mark(&self, marks: &Marks) -> Option<String> {
        let quarantine = self.quarantine.read().expect("no panic under this lock");
        if quarantine.parts.is_empty() {
            return None;
        }
        let found = marks.iter().find(|mark| quarantine.parts.contains(mark.as_ref()));
        found.map(Cow::into_owned)
    }

    /// Replaces the parts that the leader asks about, and those in quarantine.
    pub(super) fn set_quarantine(&self, suspects: &[String], quarantined: &[String]) {
        let requests = quarantined.iter().filter(|mark| is_fingerprint(mark)).count();
        let parts = quarantined.len() - requests;
        self.metrics.quarantined_parts.set(parts as i64);
        self.metrics.quarantined_requests.set(requests as i64);
        let mut quarantine = self.quarantine.write().expect("no panic under this lock");
        quarantine.suspects = suspects.to_vec();
        let is_same = quarantine.parts.len() == quarantined.len()
            && quarantined.iter().all(|p| quarantine.parts.contains(p));
        if !is_same {
            quarantine.parts = quarantined.iter().cloned().collect();
        }
    }
}
