//! Calls to the leading controller, and to the others while the leader is unknown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::adapters::clock;
use crate::adapters::quic::Pool;
use crate::adapters::wire;
use crate::domain::fleet::Answer;
use crate::domain::fleet::Call;
use crate::domain::fleet::Controller;
use crate::domain::fleet::log_membership;

/// Time after a failed report before a gateway turns to the controller in its zone again.
const LOCAL_RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Addresses of the controllers.
#[derive(Debug, Default)]
struct Directory {
    leader: Option<SocketAddr>,
    /// From the settings.
    seeds: Vec<SocketAddr>,
    /// Members of the replicated log, as last set by [`Client::set_controllers`], with their
    /// availability zones.
    controllers: Vec<(SocketAddr, String)>,
    /// Availability zone of this client; empty for none.
    zone: String,
    /// Controller that answered the last [`Client::call_relay`].
    relay: Option<SocketAddr>,
    /// When a [`Client::call_relay`] last had no answer.
    relay_failed_at: Option<Duration>,
    /// Number of addresses handed out by `next_address`, plus a random start.
    cursor: usize,
}

/// Client of the controllers; clones share the known addresses.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool,
    directory: Arc<Mutex<Directory>>,
}

impl Client {
    /// Client in the availability zone `zone` that knows the controllers at `seeds`.
    pub fn new(pool: Pool, seeds: &[SocketAddr], zone: &str) -> Self {
        // A random start spreads processes that start together over the controllers.
        let directory = Directory {
            seeds: seeds.to_vec(),
            zone: zone.to_owned(),
            cursor: rand::random::<u32>() as usize,
            ..Directory::default()
        };
        Client {
            pool,
            directory: Arc::new(Mutex::new(directory)),
        }
    }

    /// Replaces the addresses from the settings.
    pub fn set_seeds(&self, seeds: &[SocketAddr]) {
        self.with_directory(|directory| directory.seeds = seeds.to_vec());
    }

    /// Replaces the addresses of the controllers that are members of the replicated log; those that
    /// are not `IP:port` are skipped.
    pub fn set_controllers(&self, controllers: &[Controller]) {
        let with_address = |c: &Controller| Some((c.address.parse().ok()?, c.zone.clone()));
        let controllers = controllers.iter().filter_map(with_address).collect();
        self.with_directory(|directory| directory.controllers = controllers);
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

    /// Controller that answered the last [`Client::call_relay`].
    pub fn relay(&self) -> Option<SocketAddr> {
        self.with_directory(|directory| directory.relay)
    }

    /// Calls the controller that this client reports to: one in its own availability zone if there is
    /// one that answers, and otherwise the last one that answered.
    ///
    /// Returns `None` when no answer came within `timeout` and when the controller has lost the leader.
    /// The next call then goes to another controller.
    pub async fn call_relay(&self, call: &Call, timeout: Duration) -> Option<Answer> {
        let address = self.with_directory(|directory| directory.relay_or_next(clock::now()))?;
        let answer = self.call_at(address, call, timeout).await;
        let answer = answer.filter(|answer| !matches!(answer, Answer::Redirect(_)));
        self.with_directory(|directory| {
            directory.relay = answer.is_some().then_some(address);
            if answer.is_none() {
                directory.relay_failed_at = Some(clock::now());
            }
        });
        answer
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
        let call_json = serde_json::to_vec(call).expect("map keys of calls are strings");
        let request = wire::Request {
            kind: Some(wire::request::Kind::Fleet(wire::Fleet { call_json })),
        };
        let reply = self.pool.call(&address.to_string(), request, timeout).await;
        match reply.map(|r| r.kind) {
            Ok(Some(wire::reply::Kind::FleetJson(json))) => serde_json::from_slice(&json).ok(),
            _ => None,
        }
    }

    fn with_directory<T>(&self, access: impl FnOnce(&mut Directory) -> T) -> T {
        access(&mut self.directory.lock().expect("no panic under this lock"))
    }
}

impl Directory {
    fn leader_or_next(&mut self) -> Option<SocketAddr> {
        self.leader.or_else(|| self.next_address())
    }

    /// Controller for the next [`Client::call_relay`].
    fn relay_or_next(&mut self, now: Duration) -> Option<SocketAddr> {
        let has_failed_lately = self
            .relay_failed_at
            .is_some_and(|at| now < at + LOCAL_RETRY_INTERVAL);
        let is_local = |(_, zone): &&(SocketAddr, String)| !zone.is_empty() && *zone == self.zone;
        let mut local = self
            .controllers
            .iter()
            .filter(is_local)
            .map(|(address, _)| *address);
        if !has_failed_lately && self.relay.is_none_or(|relay| !local.clone().any(|l| l == relay)) {
            self.relay = local.next().or(self.relay);
        }
        self.relay.or_else(|| self.next_address())
    }

    /// Next address in turn.
    fn next_address(&mut self) -> Option<SocketAddr> {
        let mut all: Vec<SocketAddr> = self.controllers.iter().map(|(address, _)| *address).collect();
        let seeds: Vec<SocketAddr> = self.seeds.iter().filter(|s| !all.contains(s)).copied().collect();
        all.extend(seeds);
        self.cursor = self.cursor.wrapping_add(1);
        all.get(self.cursor % all.len().max(1)).copied()
    }
}
