//! Runs this controller's relay between gateways and VMs and the leader.
//!
//! The relay runs on the runtime's thread, not on the one that owns the data folder, so a controller whose
//! disk stalls keeps serving its gateways.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use super::Mailbox;
use crate::adapters::clock;
use crate::adapters::fleet::Client;
use crate::daemon::Tickets;
use crate::domain::fleet;
use crate::domain::fleet::Announcement;
use crate::domain::fleet::Answer;
use crate::domain::fleet::Call;
use crate::domain::fleet::Event;
use crate::domain::fleet::Input;
use crate::domain::fleet::Report;
use crate::domain::fleet::log_membership;

/// Time limit for the answer to a digest, which the leader holds for at most 50 ms.
const DIGEST_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay after a digest without an answer.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Relay of this controller; clones share it.
#[derive(Clone)]
pub(super) struct Relay {
    core: Arc<Mutex<fleet::Relay>>,
    tickets: Tickets<Answer>,
}

impl Relay {
    pub(super) fn new(core: fleet::Relay) -> Self {
        Relay {
            core: Arc::new(Mutex::new(core)),
            tickets: Tickets::default(),
        }
    }

    /// Answers a gateway's report.
    pub(super) async fn report(&self, report: Box<Report>) -> Answer {
        let (ticket, answer) = self.tickets.issue();
        self.step(Input::Report(ticket, report));
        answer.await.unwrap_or_default()
    }

    /// Takes a heartbeat over for the leader; returns whether it is acknowledged.
    pub(super) async fn take_heartbeat(&self, announcement: Box<Announcement>) -> bool {
        let (ticket, answer) = self.tickets.issue();
        self.step(Input::Heartbeat(ticket, announcement));
        matches!(answer.await, Ok(Answer::Done))
    }

    /// Forgets a VM that shuts down and has told the leader.
    pub(super) fn forget(&self, id: &str) {
        self.step(Input::Departure(id.to_owned()));
    }

    /// Address of a controller in the availability zone, if one is known.
    pub(super) fn controller_in(&self, zone: &str) -> Option<SocketAddr> {
        let core = self.core.lock().expect("no panic under this lock");
        let controller = core.controllers().iter().find(|c| c.zone == zone)?;
        controller.address.parse().ok()
    }

    /// Sends digests to the leader and takes its overviews until the process ends.
    pub(super) async fn run(self, mailbox: Mailbox, client: Client, own_address: SocketAddr) {
        loop {
            let asked_at = clock::now();
            let digest = self
                .core
                .lock()
                .expect("no panic under this lock")
                .digest(asked_at);
            let call = Call::Digest(Box::new(digest));
            match call_leader(&mailbox, &client, own_address, call).await {
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
        drop(core);
        for (ticket, answer) in answers {
            self.tickets.answer(ticket, answer);
        }
    }
}

/// Calls the leader once, within this process if it is this controller.
async fn call_leader(
    mailbox: &Mailbox,
    client: &Client,
    own_address: SocketAddr,
    call: Call,
) -> Option<Answer> {
    if client.leader() != Some(own_address) {
        return client.call(&call, DIGEST_TIMEOUT).await;
    }
    let answer = mailbox.ask(|ticket| Event::Call { ticket, call });
    match tokio::time::timeout(DIGEST_TIMEOUT, answer).await {
        Ok(Answer::Redirect(leader)) => {
            let leader = leader.and_then(|l| log_membership::controller_address(&l).parse().ok());
            client.set_leader(leader);
            None
        }
        Ok(answer) => Some(answer),
        Err(_) => {
            client.set_leader(None);
            None
        }
    }
}
