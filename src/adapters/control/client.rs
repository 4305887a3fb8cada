//! Requests to the leader of the control group.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::Error;
use crate::adapters::clock;
use crate::adapters::quic::Pool;
use crate::adapters::wire;
use crate::adapters::wire::reply::Kind as Reply;
use crate::adapters::wire::request::Kind as Request;
use crate::domain::control::Status;
use crate::domain::state;
use crate::domain::state::Command;
use crate::settings::Peer;

/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(30);

/// Timeout of the first attempt to commit a command.
const FIRST_COMMIT_TIMEOUT: Duration = Duration::from_millis(400);

/// Client of the control group; clones share the known leader.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool,
    peers: Arc<[Peer]>,
    /// Index in `peers` of the process that the next attempt asks.
    leader_index: Arc<AtomicUsize>,
}

impl Client {
    /// Client of the processes in `peers`.
    pub fn new(pool: Pool, peers: &[Peer]) -> Self {
        Client {
            pool,
            peers: peers.into(),
            leader_index: Arc::default(),
        }
    }

    /// Sends a request to the leader, and retries it until an answer comes or `retry_for` is over.
    ///
    /// The first attempt times out after `timeout`. Each attempt without an answer doubles the
    /// timeout: a dead leader is abandoned early, and a slow one is not flooded with retries.
    /// The last attempt may end after `retry_for`.
    ///
    /// Retries may reach several leaders, so the request must be idempotent; all commands are.
    ///
    /// # Errors
    ///
    /// `Unavailable` when no leader answered in time, `Refused` with the leader's reason.
    pub async fn call(
        &self,
        request: Request,
        timeout: Duration,
        retry_for: Duration,
    ) -> Result<Reply, Error> {
        let deadline = clock::now() + retry_for;
        let mut timeout = timeout;
        loop {
            let index = self.leader_index.load(Ordering::Relaxed) % self.peers.len().max(1);
            let Some(peer) = self.peers.get(index) else {
                return Err(Error::Unavailable);
            };
            let message = wire::Request {
                kind: Some(request.clone()),
            };
            let reply = self.pool.call(&peer.address, message, timeout).await;
            match reply.ok().and_then(|r| r.kind) {
                Some(Reply::Redirect(redirect)) => self.select_peer(index, &redirect.leader),
                Some(Reply::Error(reason)) => return Err(Error::Refused(reason)),
                Some(answer) => return Ok(answer),
                None => {
                    self.select_peer(index, "");
                    timeout *= 2;
                }
            }
            if clock::now() + RETRY_DELAY >= deadline {
                return Err(Error::Unavailable);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Commits a command, with attempts for `retry_for`, and returns the reply of the state machine.
    ///
    /// # Errors
    ///
    /// As [`Client::call`], and `Malformed` for an unreadable answer.
    pub async fn propose(&self, command: &Command, retry_for: Duration) -> Result<state::Reply, Error> {
        let command_json = serde_json::to_vec(command).map_err(|_| Error::Malformed)?;
        let request = Request::Propose(wire::Propose { command_json });
        match self.call(request, FIRST_COMMIT_TIMEOUT, retry_for).await? {
            Reply::ReplyJson(json) => serde_json::from_slice(&json).map_err(|_| Error::Malformed),
            _ => Err(Error::Malformed),
        }
    }

    /// Status of the whole system as the leader knows it; attempts go on for `retry_for`.
    ///
    /// The first attempt times out after 2 s.
    ///
    /// # Errors
    ///
    /// As [`Client::call`], and `Malformed` for an unreadable answer.
    pub async fn status(&self, retry_for: Duration) -> Result<Status, Error> {
        let request = Request::Query(wire::Query {});
        match self.call(request, Duration::from_secs(2), retry_for).await? {
            Reply::StatusJson(json) => serde_json::from_slice(&json).map_err(|_| Error::Malformed),
            _ => Err(Error::Malformed),
        }
    }

    /// Makes the next attempt ask the peer named `leader`, or the one after `asked` when no
    /// peer has that name.
    fn select_peer(&self, asked: usize, leader: &str) {
        // The identity of a process that joined an existing group is its name, '~' and the time
        // at which it was created.
        let name = leader.split('~').next().unwrap_or("");
        let leader_index = self.peers.iter().position(|p| p.name == name);
        let next = leader_index.unwrap_or((asked + 1) % self.peers.len().max(1));
        self.leader_index.store(next, Ordering::Relaxed);
    }
}
