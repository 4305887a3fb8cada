//! Probes of VMs: new connections that carry nothing, to learn whether a process listens.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::Semaphore;

use super::Mailbox;
use crate::adapters::clock;
use crate::adapters::http1::Dialer;
use crate::domain::fleet::Contact;
use crate::domain::fleet::Event;
use crate::domain::fleet::Probe;
use crate::domain::fleet::Reply;

/// Probes under way; a further one is dropped, and the core asks for it again. Those to silent hosts last 0.4 s.
const MAX_UNDER_WAY: usize = 64;

/// Sender of probes; clones share the limit.
#[derive(Clone)]
pub(super) struct Probes {
    dialer: Dialer,
    room: Arc<Semaphore>,
    mailbox: Mailbox,
    runtime: tokio::runtime::Handle,
}

impl Probes {
    /// Sender on the current runtime; results go to `mailbox`.
    pub(super) fn new(mailbox: Mailbox) -> Self {
        Probes {
            dialer: Dialer::default(),
            room: Arc::new(Semaphore::new(MAX_UNDER_WAY)),
            mailbox,
            runtime: tokio::runtime::Handle::current(),
        }
    }

    /// Opens a connection to a VM and tells the core how that ended.
    pub(super) fn send(&self, probe: Probe) {
        let Ok(address) = probe.address.parse::<SocketAddr>() else {
            return;
        };
        let Ok(permit) = self.room.clone().try_acquire_owned() else {
            return;
        };
        let (dialer, mailbox) = (self.dialer.clone(), self.mailbox.clone());
        self.runtime.spawn(async move {
            let begun = clock::now();
            let reply = match dialer.open(address).await {
                Ok(_) => Reply::Accepted,
                Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => Reply::Refused,
                Err(_) => Reply::Unclear,
            };
            drop(permit);
            mailbox.tell(Event::Contact(Contact {
                vm: probe.vm,
                incarnation: probe.incarnation,
                begun,
                reply,
                order: None,
            }));
        });
    }
}
