//! Messages to other controllers and orders to VMs.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http_body_util::Full;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::adapters::clock;
use crate::adapters::http1;
use crate::adapters::quic::Pool;
use crate::adapters::wire;
use crate::domain::consensus::Message;
use crate::domain::fleet::Order;
use crate::domain::fleet::log_membership;
use crate::logging;
use crate::platform::header;
use crate::platform::order;

/// Messages queued for one controller. Further ones are dropped, which the consensus protocol allows.
const MAX_QUEUED_MESSAGES: usize = 256;
/// Timeout of an order. The leader resends an order until a heartbeat shows its effect.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Sends consensus messages and orders without blocking the caller.
pub(super) struct Messenger {
    pool: Pool,
    queues: HashMap<String, mpsc::Sender<wire::Request>>,
    client: http1::Client,
    runtime: tokio::runtime::Handle,
}

impl Messenger {
    pub(super) fn new(pool: Pool) -> Self {
        Messenger {
            pool,
            queues: HashMap::new(),
            client: http1::Client::default(),
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

    /// Sends an order to a VM and logs the outcome.
    pub(super) fn send_order(&self, order: Order) {
        let client = self.client.clone();
        self.runtime.spawn(async move {
            let started = clock::now();
            let result = timeout(ORDER_TIMEOUT, deliver_order(&client, &order)).await;
            let result = result.unwrap_or_else(|_| Err("timed out without an answer".to_owned()));
            let took_ms = (clock::now() - started).as_millis() as u64;
            let task = format!("{:?}", order.task);
            let outcome = match &result {
                Ok(status) => status.to_string(),
                Err(reason) => reason.clone(),
            };
            let event = match result {
                Ok(status) if status < 300 => logging::VM_ORDERED,
                _ => logging::VM_ORDER_FAILED,
            };
            event.log_fields(&[
                ("vm", order.vm.as_str().into()),
                ("group", order.epoch.into()),
                ("fence", order.fence.into()),
                ("task", task.as_str().into()),
                ("outcome", outcome.as_str().into()),
                ("took_ms", took_ms.into()),
            ]);
        });
    }
}

/// Posts an order and returns the HTTP status.
async fn deliver_order(client: &http1::Client, vm_order: &Order) -> Result<u16, String> {
    let address = vm_order.address.parse().map_err(|e| format!("VM address: {e}"))?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(order::PATH)
        .header(http::header::HOST, &vm_order.address)
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(header::TARGET, &vm_order.vm)
        .body(Full::new(Bytes::from(order::encode(vm_order))))
        .map_err(|e| e.to_string())?;
    // `true` asks for a new connection.
    let sent = client.send(address, request, true).await;
    let (response, _connection) = sent.map_err(|f| format!("{f:?}"))?;
    Ok(response.status().as_u16())
}
