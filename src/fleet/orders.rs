//! Orders to VMs: at most one to each VM at a time, and a bounded number to all.
//!
//! After a loss, or when thousands of VMs appear, the leader has many orders at once, and repeats those
//! without an effect. Without a bound they would take the processor from the leader's lease. How each order ended
//! goes back to the core, which sends none to a process that has ended.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use tokio::time::timeout;

use super::Mailbox;
use crate::adapters::clock;
use crate::adapters::http1;
use crate::adapters::http1::Cause;
use crate::adapters::http1::Failure;
use crate::domain::fleet::Contact;
use crate::domain::fleet::Event;
use crate::domain::fleet::Order;
use crate::domain::fleet::Reply;
use crate::logging;
use crate::platform::header;
use crate::platform::order;

/// Timeout of an order. The leader resends an order until a heartbeat shows its effect.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Orders under way; many of them may wait for VMs that are out of reach.
const MAX_UNDER_WAY: usize = 128;

/// Orders that wait and that are under way.
#[derive(Default)]
struct Queue {
    /// VMs with an order that waits for its turn, oldest first.
    turns: VecDeque<String>,
    /// Latest order of each VM that waits.
    waiting: HashMap<String, Order>,
    /// VMs with an order under way.
    under_way: HashSet<String>,
}

impl Queue {
    /// Adds an order; a later order to the same VM replaces one that waits, which is returned.
    fn push(&mut self, order: Order) -> Option<Order> {
        let vm = order.vm.clone();
        let replaced = self.waiting.insert(vm.clone(), order);
        if replaced.is_none() {
            self.turns.push_back(vm);
        }
        replaced
    }

    /// Next order to send, if one may be sent now.
    fn pop(&mut self) -> Option<Order> {
        if self.under_way.len() >= MAX_UNDER_WAY {
            return None;
        }
        let position = self.turns.iter().position(|vm| !self.under_way.contains(vm))?;
        let vm = self.turns.remove(position)?;
        let order = self.waiting.remove(&vm)?;
        self.under_way.insert(vm);
        Some(order)
    }

    /// Takes out an order that waits for the process that `order` was for, because that process is not there.
    fn discard_for(&mut self, order: &Order) -> Option<Order> {
        let waiting = self.waiting.get(&order.vm);
        waiting.filter(|w| w.incarnation == order.incarnation)?;
        self.turns.retain(|vm| *vm != order.vm);
        self.waiting.remove(&order.vm)
    }
}

/// Order without an answer.
struct Undelivered {
    reply: Reply,
    reason: String,
}

impl From<Failure> for Undelivered {
    fn from(failure: Failure) -> Self {
        Undelivered {
            reply: match failure {
                Failure::Unsent(Cause::Refused) => Reply::Refused,
                Failure::Unsent(_) => Reply::Unsent,
                Failure::Unknown | Failure::Invalid => Reply::Unclear,
            },
            reason: format!("{failure:?}"),
        }
    }
}

/// Sender of orders; clones share the queue.
#[derive(Clone)]
pub(super) struct Orders {
    client: http1::Client,
    queue: Arc<Mutex<Queue>>,
    mailbox: Mailbox,
    runtime: tokio::runtime::Handle,
}

impl Orders {
    /// Sender on the current runtime; results go to `mailbox`.
    pub(super) fn new(mailbox: Mailbox) -> Self {
        Orders {
            client: http1::Client::default(),
            queue: Arc::default(),
            mailbox,
            runtime: tokio::runtime::Handle::current(),
        }
    }

    /// Sends an order, as soon as there is room, and logs the outcome.
    pub(super) fn send(&self, order: Order) {
        let mut queue = self.queue.lock().expect("no panic under this lock");
        let replaced = queue.push(order);
        let next = queue.pop();
        drop(queue);
        self.tell_unsent(replaced);
        if let Some(order) = next {
            self.runtime.spawn(self.clone().run(order));
        }
    }

    /// Sends one order, and then those that have waited for it.
    async fn run(self, first: Order) {
        let mut next = Some(first);
        while let Some(order) = next {
            let reply = self.deliver(&order).await;
            let mut queue = self.queue.lock().expect("no panic under this lock");
            queue.under_way.remove(&order.vm);
            let is_absent = matches!(reply, Reply::Refused | Reply::Misdirected);
            let discarded = is_absent.then(|| queue.discard_for(&order)).flatten();
            next = queue.pop();
            drop(queue);
            self.tell_unsent(discarded);
        }
    }

    /// Posts an order, logs the outcome and tells the core of it.
    async fn deliver(&self, order: &Order) -> Reply {
        let started = clock::now();
        let result = timeout(ORDER_TIMEOUT, post(&self.client, order)).await;
        let result = result.unwrap_or_else(|_| {
            Err(Undelivered {
                reply: Reply::Unclear,
                reason: "timed out without an answer".to_owned(),
            })
        });
        let took_ms = (clock::now() - started).as_millis() as u64;
        let (outcome, reply) = match &result {
            Ok(StatusCode::MISDIRECTED_REQUEST) => ("421".to_owned(), Reply::Misdirected),
            Ok(status) => (status.as_u16().to_string(), Reply::Answered),
            Err(undelivered) => (undelivered.reason.clone(), undelivered.reply),
        };
        let event = match result {
            Ok(status) if status.is_success() => logging::VM_ORDERED,
            _ => logging::VM_ORDER_FAILED,
        };
        event.log_fields(&[
            ("vm", order.vm.as_str().into()),
            ("group", order.epoch.into()),
            ("fence", order.fence.into()),
            ("task", order.task.name().into()),
            ("outcome", outcome.as_str().into()),
            ("took_ms", took_ms.into()),
        ]);
        self.mailbox.tell(Event::Contact(Contact {
            vm: order.vm.clone(),
            incarnation: order.incarnation,
            begun: started,
            reply,
            order: Some(order.clone()),
        }));
        reply
    }

    /// Tells the core of an order that will not be sent.
    fn tell_unsent(&self, order: Option<Order>) {
        let Some(order) = order else {
            return;
        };
        self.mailbox.tell(Event::Contact(Contact {
            vm: order.vm.clone(),
            incarnation: order.incarnation,
            begun: clock::now(),
            reply: Reply::Unsent,
            order: Some(order),
        }));
    }
}

/// Posts an order and returns the HTTP status.
async fn post(client: &http1::Client, vm_order: &Order) -> Result<StatusCode, Undelivered> {
    let unsendable = |reason: String| Undelivered {
        reply: Reply::Unsent,
        reason,
    };
    let address = vm_order.address.parse();
    let address = address.map_err(|e| unsendable(format!("VM address: {e}")))?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(order::PATH)
        .header(http::header::HOST, &vm_order.address)
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(header::TARGET, &vm_order.vm)
        .body(Full::new(Bytes::from(order::encode(vm_order))))
        .map_err(|e| unsendable(e.to_string()))?;
    // `true` asks for a new connection.
    let (response, _connection) = client.send(address, request, true).await?;
    Ok(response.status())
}
