//! Runs this controller's relay between gateways and VMs and the leader.
//!
//! The relay runs on the runtime's thread, not on the one that owns the data folder, so a controller whose
//! disk stalls keeps serving its gateways.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use super::health;
use super::leader::Leader;
use crate::adapters::clock;
use crate::adapters::http1;
use crate::daemon::Tickets;
use crate::domain::fleet;
use crate::domain::fleet::Announcement;
use crate::domain::fleet::Answer;
use crate::domain::fleet::Call;
use crate::domain::fleet::Controller;
use crate::domain::fleet::Input;
use crate::domain::fleet::Report;
use crate::domain::fleet::Timing;
use crate::domain::pace::Ask;

/// Time limit for the answer to a digest, which the leader holds for 20 ms, or 90 ms with 300 gateways.
const DIGEST_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay after a digest without an answer.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Interval in which reports are checked for the end of their wait. While the leader is late, nothing else
/// may have them answered within their time limit.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Relay of this controller; clones share it.
#[derive(Clone)]
pub(super) struct Relay {
    core: Arc<Mutex<fleet::Relay>>,
    tickets: Tickets<Answer>,
    /// Client for health checks of targets.
    upstreams: http1::Client,
    /// Runtime of the health checks, since calls of VMs are served on another thread.
    runtime: tokio::runtime::Handle,
    /// Availability zone of this controller.
    zone: Arc<str>,
}

impl Relay {
    pub(super) fn new(controller: Controller, timing: Timing) -> Self {
        let zone = Arc::from(controller.zone.as_str());
        let core = fleet::Relay::new(controller, timing);
        Relay {
            zone,
            core: Arc::new(Mutex::new(core)),
            tickets: Tickets::default(),
            upstreams: http1::Client::default(),
            runtime: tokio::runtime::Handle::current(),
        }
    }

    /// Answers a gateway's report.
    pub(super) async fn report(&self, report: Box<Report>) -> Answer {
        let (ticket, answer) = self.tickets.issue();
        self.step(Input::Report(ticket, report));
        answer.await.unwrap_or_default()
    }

    /// Answers a gateway that asks for a permit of one of `targets`.
    pub(super) async fn permit(&self, targets: Vec<String>) -> Answer {
        let (ticket, answer) = self.tickets.issue();
        self.step(Input::Permit(ticket, targets));
        answer.await.unwrap_or_default()
    }

    /// Answers a gateway that asks for a permit for a target that may be cold.
    pub(super) async fn pace(&self, ask: Box<Ask>) -> Answer {
        let (ticket, answer) = self.tickets.issue();
        self.step(Input::Ask(ticket, ask));
        answer.await.unwrap_or_default()
    }

    /// Takes a heartbeat over for the leader; returns whether it is acknowledged.
    pub(super) async fn take_heartbeat(&self, announcement: Box<Announcement>) -> bool {
        let (ticket, answer) = self.tickets.issue();
        self.step(Input::Heartbeat(ticket, announcement));
        matches!(answer.await, Ok(Answer::Done))
    }

    /// Forgets a gateway that now reports to another controller.
    pub(super) fn withdraw(&self, gateway: String) {
        self.step(Input::Withdrawal(gateway));
    }

    /// Forgets a VM that shuts down and tells the leader, in its starts up to `incarnation` if it has stated that.
    pub(super) fn forget(&self, id: &str, incarnation: Option<u64>) {
        self.step(Input::Departure(id.to_owned(), incarnation));
    }

    /// Address for the next heartbeats of the VM `id`, if one is known: of a gateway that reports here
    /// or, for a VM in another availability zone, of a controller in that zone with port `port`.
    pub(super) fn heartbeat_address(&self, zone: &str, id: &str, port: u16) -> Option<SocketAddr> {
        let core = self.core.lock().expect("no panic under this lock");
        if zone == &*self.zone {
            return core.heartbeat_address(clock::now(), id)?.parse().ok();
        }
        let in_zone = core.controllers().iter().filter(|c| c.zone == zone);
        // The gateways of a zone report to all controllers there, and VMs follow them.
        let weight = |c: &&Controller| xxhash_rust::xxh3::xxh3_64(format!("{}{id}", c.address).as_bytes());
        let controller = in_zone.max_by_key(weight)?;
        let address: SocketAddr = controller.address.parse().ok()?;
        Some(SocketAddr::new(address.ip(), port))
    }

    /// Answers reports whose wait has ended, until the process ends.
    pub(super) async fn run_ticks(self) {
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            self.step(Input::Tick);
        }
    }

    /// Sends digests to the leader and takes its overviews until the process ends.
    pub(super) async fn run(self, leader: Leader) {
        loop {
            // The clock is read under the lock: another thread may have stepped the core at a later time.
            let (asked_at, digest) = {
                let mut core = self.core.lock().expect("no panic under this lock");
                let now = clock::now();
                (now, core.digest(now))
            };
            let call = Call::Digest(Box::new(digest));
            // A leader that is late still answers; one that has been replaced is not waited for.
            let answer = tokio::select! {
                answer = leader.call(call, DIGEST_TIMEOUT) => answer,
                () = leader.changed() => None,
            };
            match answer {
                Some(Answer::Overview(overview)) => self.step(Input::Overview(asked_at, overview)),
                _ => {
                    self.step(Input::DigestLost);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    fn step(&self, input: Input) {
        let mut core = self.core.lock().expect("no panic under this lock");
        let answers = core.step(clock::now(), input);
        let checks = core.take_checks();
        drop(core);
        for (check, address) in checks {
            let relay = self.clone();
            self.runtime.spawn(async move {
                let cold = health::send(&relay.upstreams, &check, &address).await;
                relay.step(Input::Checked(check, cold));
            });
        }
        for (ticket, answer) in answers {
            self.tickets.answer(ticket, answer);
        }
    }
}
