//! Calls to the leader, which may be this controller.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use super::Mailbox;
use super::Status;
use crate::adapters::fleet::Client;
use crate::domain::fleet::Answer;
use crate::domain::fleet::Call;
use crate::domain::fleet::Event;
use crate::domain::fleet::log_membership;

/// Timeout of a call to the leader; callers try another controller after a second.
const LEADER_TIMEOUT: Duration = Duration::from_millis(850);

/// Interval of the check for a change of leader during a call.
const CHANGE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Way to the leader; clones share the known addresses.
#[derive(Clone)]
pub(super) struct Leader {
    mailbox: Mailbox,
    client: Client,
    status: Arc<Mutex<Status>>,
    /// Address of this controller for the system's own processes.
    own_address: SocketAddr,
    /// Leader that the log of this controller last showed, by identity.
    followed: Arc<Mutex<Option<String>>>,
}

impl Leader {
    pub(super) fn new(
        mailbox: Mailbox,
        client: Client,
        status: Arc<Mutex<Status>>,
        own_address: SocketAddr,
    ) -> Self {
        Leader {
            mailbox,
            client,
            status,
            own_address,
            followed: Arc::default(),
        }
    }

    /// Calls the core of this controller, and the leader if the core redirects there. None without an
    /// answer in time, and when no leader is known or the redirect's target does not lead.
    pub(super) async fn ask(&self, call: Call) -> Option<Answer> {
        let forwarded_call = call.clone();
        let own_answer = self.ask_own_core(call, LEADER_TIMEOUT).await?;
        let Answer::Redirect(leader) = own_answer else {
            return Some(own_answer);
        };
        let leader = address_of(leader)?;
        let answer = self
            .client
            .call_at(leader, &forwarded_call, LEADER_TIMEOUT)
            .await?;
        match answer {
            Answer::Redirect(_) => None,
            answer => {
                self.client.set_leader(Some(leader));
                Some(answer)
            }
        }
    }

    /// Calls the known leader once, without asking the core of this controller first unless it leads.
    ///
    /// None without an answer within `timeout` and when the controller does not lead; the next call
    /// then goes to the leader that it named, or to another controller. A change of leader that the log
    /// of this controller shows is followed immediately.
    pub(super) async fn call(&self, call: Call, timeout: Duration) -> Option<Answer> {
        self.follow_log();
        if self.client.leader() != Some(self.own_address) {
            return self.client.call(&call, timeout).await;
        }
        match self.ask_own_core(call, timeout).await {
            Some(Answer::Redirect(leader)) => {
                self.client.set_leader(address_of(leader));
                None
            }
            None => {
                self.client.set_leader(None);
                None
            }
            answer => answer,
        }
    }

    /// Returns when the log of this controller shows another leader than at the last call.
    pub(super) async fn changed(&self) {
        loop {
            tokio::time::sleep(CHANGE_CHECK_INTERVAL).await;
            let leader = self
                .status
                .lock()
                .expect("no panic under this lock")
                .leader
                .clone();
            let followed = self.followed.lock().expect("no panic under this lock").clone();
            if leader.is_some() && leader != followed {
                return;
            }
        }
    }

    /// Takes over a change of leader from the log of this controller.
    fn follow_log(&self) {
        let leader = self
            .status
            .lock()
            .expect("no panic under this lock")
            .leader
            .clone();
        let mut followed = self.followed.lock().expect("no panic under this lock");
        if *followed != leader {
            self.client.set_leader(address_of(leader.clone()));
            *followed = leader;
        }
    }

    async fn ask_own_core(&self, call: Call, timeout: Duration) -> Option<Answer> {
        let answer = self.mailbox.ask(|ticket| Event::Call { ticket, call });
        tokio::time::timeout(timeout, answer).await.ok()
    }
}

fn address_of(identity: Option<String>) -> Option<SocketAddr> {
    log_membership::controller_address(&identity?).parse().ok()
}
