//! Messages to other voters and orders to VMs.

use std::collections::HashMap;

use tokio::sync::mpsc;

use crate::adapters::quic::Pool;
use crate::adapters::upstream;
use crate::adapters::wire;
use crate::domain::consensus::Message;
use crate::domain::placement::Order;
use crate::logging;
use crate::settings::Peer;

/// Messages that wait for one voter; later ones are dropped, which consensus allows.
const QUEUE: usize = 512;

/// Sender of messages and orders; never blocks.
#[derive(Debug)]
pub struct Messenger {
    queues: HashMap<String, mpsc::Sender<wire::Request>>,
    upstreams: upstream::Client,
    runtime: tokio::runtime::Handle,
}

impl Messenger {
    /// Messenger to `peers`; starts one task for each.
    pub fn new(pool: &Pool, peers: &[Peer]) -> Self {
        let mut queues = HashMap::new();
        for peer in peers {
            let (sender, receiver) = mpsc::channel(QUEUE);
            tokio::spawn(pool.clone().send_queued(peer.address.clone(), receiver));
            queues.insert(peer.name.clone(), sender);
        }
        Messenger {
            queues,
            upstreams: upstream::Client::default(),
            runtime: tokio::runtime::Handle::current(),
        }
    }

    /// Sends a message to the voter with identity `to`.
    pub fn send(&self, from: &str, to: &str, message: Message) {
        let name = to.split('~').next().unwrap_or(to);
        let Some(queue) = self.queues.get(name) else {
            return;
        };
        let message_json = serde_json::to_vec(&message).expect("messages have string keys");
        let request = wire::Request {
            kind: Some(wire::request::Kind::Consensus(wire::Consensus {
                from: from.to_owned(),
                to: to.to_owned(),
                message_json,
            })),
        };
        let _ = queue.try_send(request);
    }

    /// Sends an order to a VM.
    pub fn order(&self, sending: Order) {
        let client = self.upstreams.clone();
        self.runtime.spawn(async move {
            let (vm, group, fence) = (&sending.vm, sending.group, sending.fence);
            logging::ORDER_SENT.log(format_args!("vm={vm} group={group} fence={fence}"));
            if let Err(e) = upstream::send_order(&client, &sending).await {
                logging::ORDER_FAILED.log(format_args!("vm={vm} group={group} fence={fence}: {e}"));
            }
        });
    }
}
