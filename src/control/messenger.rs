//! Messages to other voters, and orders to VMs to join a group.

use std::collections::HashMap;

use tokio::sync::mpsc;

use crate::adapters::quic::Pool;
use crate::adapters::upstream;
use crate::adapters::wire;
use crate::domain::consensus::Message;
use crate::domain::placement::Order;
use crate::logging;
use crate::settings::Peer;

/// Messages queued for one voter; further ones are dropped, which consensus tolerates.
const MAX_QUEUED_MESSAGES: usize = 512;

/// Sender of messages and orders; never blocks.
#[derive(Debug)]
pub struct Messenger {
    queues: HashMap<String, mpsc::Sender<wire::Request>>,
    upstreams: upstream::Client,
    runtime: tokio::runtime::Handle,
}

impl Messenger {
    /// Messenger to `peers`; starts one delivery task for each on the current runtime.
    pub fn new(pool: &Pool, peers: &[Peer]) -> Self {
        let mut queues = HashMap::new();
        for peer in peers {
            let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
            tokio::spawn(pool.clone().send_queued(peer.address.clone(), receiver));
            queues.insert(peer.name.clone(), sender);
        }
        Messenger {
            queues,
            upstreams: upstream::Client::default(),
            runtime: tokio::runtime::Handle::current(),
        }
    }

    /// Sends a message to the voter with identity `to`; one to an unknown voter is dropped.
    ///
    /// The part of an identity before `~` is the name of the control process.
    pub fn send(&self, from: &str, to: &str, message: Message) {
        let name = to.split('~').next().unwrap_or(to);
        let Some(queue) = self.queues.get(name) else {
            return;
        };
        let message_json =
            serde_json::to_vec(&message).expect("a message encodes as JSON: its map keys are strings");
        let request = wire::Request {
            kind: Some(wire::request::Kind::Consensus(wire::Consensus {
                from: from.to_owned(),
                to: to.to_owned(),
                message_json,
            })),
        };
        let _ = queue.try_send(request);
    }

    /// Sends an order to a VM in the background; a failure is only logged.
    pub fn send_order(&self, order: Order) {
        let client = self.upstreams.clone();
        self.runtime.spawn(async move {
            let (vm, group, fence) = (&order.vm, order.group, order.fence);
            logging::ORDER_SENT.log(format_args!("vm={vm} group={group} fence={fence}"));
            if let Err(e) = upstream::send_order(&client, &order).await {
                logging::ORDER_FAILED.log(format_args!("vm={vm} group={group} fence={fence}: {e}"));
            }
        });
    }
}
