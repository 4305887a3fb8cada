//! Messages to other controllers.

use std::collections::HashMap;

use tokio::sync::mpsc;

use crate::adapters::quic::Pool;
use crate::adapters::wire;
use crate::domain::consensus::Message;
use crate::domain::fleet::log_membership;

/// Messages queued for one controller. Further ones are dropped, which the consensus protocol allows.
const MAX_QUEUED_MESSAGES: usize = 256;

/// Sends consensus messages without blocking the caller.
pub(super) struct Messenger {
    pool: Pool,
    queues: HashMap<String, mpsc::Sender<wire::Request>>,
    runtime: tokio::runtime::Handle,
}

impl Messenger {
    pub(super) fn new(pool: Pool) -> Self {
        Messenger {
            pool,
            queues: HashMap::new(),
            runtime: tokio::runtime::Handle::current(),
        }
    }

    /// Sends a message to the controller with identity `to`.
    pub(super) fn send(&mut self, from: &str, to: &str, message: Message) {
        let address = log_membership::controller_address(to).to_owned();
        let message_json = serde_json::to_vec(&message).expect("messages have string keys");
        let request = wire::Request {
            kind: Some(wire::request::Kind::Consensus(wire::Consensus {
                from: from.to_owned(),
                to: to.to_owned(),
                message_json,
            })),
        };
        let queue = self.queues.entry(address).or_insert_with_key(|address| {
            let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
            self.runtime
                .spawn(self.pool.clone().send_queued(address.clone(), receiver));
            sender
        });
        // A full queue drops the message, which the consensus protocol allows.
        let _ = queue.try_send(request);
    }
}
