//! Way into a thread that owns decisions.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;

use tokio::sync::oneshot;

/// Number by which the answer finds who waits.
type Ticket = u64;

/// Sender of events `E` and receiver of answers `A`.
#[derive(Debug)]
pub struct Mailbox<E, A> {
    events: mpsc::Sender<E>,
    tickets: Arc<AtomicU64>,
    waiting: Arc<Mutex<HashMap<Ticket, oneshot::Sender<A>>>>,
}

impl<E, A> Clone for Mailbox<E, A> {
    fn clone(&self) -> Self {
        Mailbox {
            events: self.events.clone(),
            tickets: self.tickets.clone(),
            waiting: self.waiting.clone(),
        }
    }
}

impl<E, A: Default> Mailbox<E, A> {
    /// Mailbox and the receiving end for the thread.
    pub fn new() -> (Self, mpsc::Receiver<E>) {
        let (events, receiver) = mpsc::channel();
        let mailbox = Mailbox {
            events,
            tickets: Arc::default(),
            waiting: Arc::default(),
        };
        (mailbox, receiver)
    }

    /// Sends an event that nobody waits for.
    pub fn tell(&self, event: E) {
        // The thread is gone only while the process ends.
        let _ = self.events.send(event);
    }

    /// Sends the event that `make` builds for a ticket and waits for its answer.
    pub async fn ask(&self, make: impl FnOnce(Ticket) -> E) -> A {
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.waiting
            .lock()
            .expect("no panic under this lock")
            .insert(ticket, sender);
        self.tell(make(ticket));
        receiver.await.unwrap_or_default()
    }

    /// Answers the holder of a ticket.
    pub fn answer(&self, ticket: Ticket, answer: A) {
        let waiting = self
            .waiting
            .lock()
            .expect("no panic under this lock")
            .remove(&ticket);
        if let Some(sender) = waiting {
            // Whoever waited may have given up.
            let _ = sender.send(answer);
        }
    }
}
