//! Calls to the leading controller, and to the others while the leader is unknown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use crate::adapters::clock;
use crate::adapters::quic::Pool;
use crate::adapters::wire;
use crate::domain::fleet::Answer;
use crate::domain::fleet::Attachment;
use crate::domain::fleet::Call;
use crate::domain::fleet::Choice;
use crate::domain::fleet::Controller;
use crate::domain::fleet::Outcome;
use crate::domain::fleet::Verdict;
use crate::domain::fleet::log_membership;

/// Time in which a controller that is alive acknowledges a report. Half of the gateway's connection timeout, so
/// that the end of a process is noticed within the validity of heartbeats.
const SILENCE_LIMIT: Duration = Duration::from_millis(600);
/// Time limit for the answer of a controller that is alive but slow; less than half of the lease on the catalog.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Time limit of a report that tries another controller; it delays the next one to the present controller.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(600);

/// Addresses of the controllers.
#[derive(Debug, Default)]
struct Directory {
    leader: Option<SocketAddr>,
    /// From the settings.
    seeds: Vec<SocketAddr>,
    /// Members of the replicated log, as last set by [`Client::set_controllers`].
    controllers: Vec<SocketAddr>,
    /// Number of addresses handed out by `next_address`, plus a random start.
    cursor: usize,
}

/// Client of the controllers; clones share the known addresses.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool,
    directory: Arc<Mutex<Directory>>,
    attachment: Arc<Mutex<Attachment>>,
}

impl Client {
    /// Client in the availability zone `zone` that knows the controllers at `seeds`.
    pub fn new(pool: Pool, seeds: &[SocketAddr], zone: &str) -> Self {
        // A random start spreads processes that start together over the controllers.
        let directory = Directory {
            seeds: seeds.to_vec(),
            cursor: rand::random::<u32>() as usize,
            ..Directory::default()
        };
        Client {
            pool,
            attachment: Arc::new(Mutex::new(Attachment::new(seeds, zone, rand::random()))),
            directory: Arc::new(Mutex::new(directory)),
        }
    }

    /// Replaces the addresses from the settings.
    pub fn set_seeds(&self, seeds: &[SocketAddr]) {
        self.with_directory(|directory| directory.seeds = seeds.to_vec());
        self.attachment().set_seeds(seeds);
    }

    /// Replaces the controllers that are members of the replicated log, and the number of gateways in the
    /// deployment, which may be 0 if unknown. Addresses that are not `IP:port` are skipped.
    pub fn set_controllers(&self, controllers: &[Controller], gateways: usize) {
        let addresses = controllers.iter().filter_map(|c| c.address.parse().ok());
        self.with_directory(|directory| directory.controllers = addresses.collect());
        self.attachment().set_controllers(controllers, gateways);
    }

    /// Address of the leader, if known.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.with_directory(|directory| directory.leader)
    }

    /// Sets or forgets the leader.
    pub fn set_leader(&self, address: Option<SocketAddr>) {
        self.with_directory(|directory| directory.leader = address);
    }

    /// Calls the leader once, or the next controller in turn while the leader is unknown.
    ///
    /// Returns `None` when no answer came within `timeout`, with the outcome of the call unknown,
    /// or when the controller does not lead. The next call then goes to the leader that the answer
    /// named, or else to the next controller.
    pub async fn call(&self, call: &Call, timeout: Duration) -> Option<Answer> {
        let address = self.with_directory(Directory::leader_or_next)?;
        let answer = self.call_at(address, call, timeout).await;
        match answer {
            Some(Answer::Redirect(leader)) => {
                let leader = leader.and_then(|l| log_membership::controller_address(&l).parse().ok());
                self.with_directory(|directory| directory.leader = leader);
                None
            }
            Some(answer) => {
                self.with_directory(|directory| directory.leader = Some(address));
                Some(answer)
            }
            None => {
                self.with_directory(|directory| {
                    if directory.leader == Some(address) {
                        directory.leader = None;
                    }
                });
                None
            }
        }
    }

    /// Controller that this client reports to, if it answers.
    pub fn relay(&self) -> Option<SocketAddr> {
        self.attachment().current()
    }

    /// Controller for the next report.
    pub fn choose_relay(&self) -> Option<Choice> {
        self.attachment().choose(clock::now())
    }

    /// Sends a report to the controller of `choice`; none without an answer in time.
    pub async fn report(&self, choice: Choice, call: &Call) -> Option<Answer> {
        let limit = if choice.is_trial {
            TRIAL_TIMEOUT
        } else {
            REPORT_TIMEOUT
        };
        let address = choice.address.to_string();
        let reply = self
            .pool
            .call_patiently(&address, encode(call), SILENCE_LIMIT, limit);
        decode(reply.await.ok()?)
    }

    /// Records how a report ended.
    pub fn record_report(&self, choice: Choice, outcome: Outcome) -> Verdict {
        self.attachment().record(clock::now(), choice, outcome)
    }

    /// Sends a last call to a controller, if a connection to it is open, and forgets the connection.
    pub async fn send_last(&self, address: SocketAddr, call: &Call) {
        let address = address.to_string();
        self.pool.send_last(&address, encode(call), TRIAL_TIMEOUT).await;
    }

    /// Calls the controller that this client reports to, and any other if there is none.
    ///
    /// Returns `None` when no readable answer came within `timeout`, and a redirect as an answer.
    pub async fn call_relay(&self, call: &Call, timeout: Duration) -> Option<Answer> {
        match self.relay() {
            Some(relay) => self.call_at(relay, call, timeout).await,
            None => self.call_any(call, timeout).await,
        }
    }

    /// Calls any controller once, the next one in turn at each call.
    ///
    /// Returns `None` when no readable answer came within `timeout`, and a redirect as an answer.
    pub async fn call_any(&self, call: &Call, timeout: Duration) -> Option<Answer> {
        let address = self.with_directory(Directory::next_address)?;
        self.call_at(address, call, timeout).await
    }

    /// Calls the controller at `address` once.
    ///
    /// Returns `None` when no readable answer came within `timeout`, and a redirect as an answer.
    pub async fn call_at(&self, address: SocketAddr, call: &Call, timeout: Duration) -> Option<Answer> {
        let reply = self.pool.call(&address.to_string(), encode(call), timeout).await;
        decode(reply.ok()?)
    }

    fn attachment(&self) -> MutexGuard<'_, Attachment> {
        self.attachment.lock().expect("no panic under this lock")
    }

    fn with_directory<T>(&self, access: impl FnOnce(&mut Directory) -> T) -> T {
        access(&mut self.directory.lock().expect("no panic under this lock"))
    }
}

impl Directory {
    fn leader_or_next(&mut self) -> Option<SocketAddr> {
        self.leader.or_else(|| self.next_address())
    }

    /// Next address in turn.
    fn next_address(&mut self) -> Option<SocketAddr> {
        let mut all = self.controllers.clone();
        let seeds: Vec<SocketAddr> = self.seeds.iter().filter(|s| !all.contains(s)).copied().collect();
        all.extend(seeds);
        self.cursor = self.cursor.wrapping_add(1);
        all.get(self.cursor % all.len().max(1)).copied()
    }
}

fn encode(call: &Call) -> wire::Request {
    let call_json = serde_json::to_vec(call).expect("map keys of calls are strings");
    wire::Request {
        kind: Some(wire::request::Kind::Fleet(wire::Fleet { call_json })),
    }
}

fn decode(reply: wire::Reply) -> Option<Answer> {
    match reply.kind {
        Some(wire::reply::Kind::FleetJson(json)) => serde_json::from_slice(&json).ok(),
        _ => None,
    }
}
