//! Tasks that wait for an answer, by ticket.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::sync::oneshot;

/// Number that matches an answer with the task that waits for it.
pub type Ticket = u64;

/// Tasks that wait for an answer `A`; clones share them.
#[derive(Debug)]
pub struct Tickets<A> {
    next: Arc<AtomicU64>,
    waiting: Arc<Mutex<HashMap<Ticket, oneshot::Sender<A>>>>,
}

impl<A> Clone for Tickets<A> {
    fn clone(&self) -> Self {
        Tickets {
            next: self.next.clone(),
            waiting: self.waiting.clone(),
        }
    }
}

impl<A> Default for Tickets<A> {
    fn default() -> Self {
        Tickets {
            next: Arc::default(),
            waiting: Arc::default(),
        }
    }
}

impl<A> Tickets<A> {
    /// Issues a ticket, with the receiver of its answer.
    pub fn issue(&self) -> (Ticket, oneshot::Receiver<A>) {
        let ticket = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.waiting
            .lock()
            .expect("no panic under this lock")
            .insert(ticket, sender);
        (ticket, receiver)
    }

    /// Delivers an answer to the task that waits for `ticket`.
    pub fn answer(&self, ticket: Ticket, answer: A) {
        let waiting = self
            .waiting
            .lock()
            .expect("no panic under this lock")
            .remove(&ticket);
        if let Some(sender) = waiting {
            // The waiting task may have been cancelled.
            let _ = sender.send(answer);
        }
    }
}
