//! Mailbox of a thread that owns a state machine: passes events in and answers back.

use std::sync::mpsc;

use super::tickets::Ticket;
use super::tickets::Tickets;

/// Handle that sends events `E` to the thread and delivers its answers `A`.
#[derive(Debug)]
pub struct Mailbox<E, A> {
    events: mpsc::Sender<E>,
    tickets: Tickets<A>,
}

impl<E, A> Clone for Mailbox<E, A> {
    fn clone(&self) -> Self {
        Mailbox {
            events: self.events.clone(),
            tickets: self.tickets.clone(),
        }
    }
}

impl<E, A: Default> Mailbox<E, A> {
    /// Creates a mailbox and the receiver from which the thread takes its events.
    pub fn new() -> (Self, mpsc::Receiver<E>) {
        let (events, receiver) = mpsc::channel();
        let mailbox = Mailbox {
            events,
            tickets: Tickets::default(),
        };
        (mailbox, receiver)
    }

    /// Sends an event without waiting for an answer.
    pub fn tell(&self, event: E) {
        // Sending fails only while the process ends, when the thread is gone.
        let _ = self.events.send(event);
    }

    /// Sends the event that `make` builds for a new ticket and waits for the answer.
    ///
    /// Returns the default answer if the thread ends first.
    pub async fn ask(&self, make: impl FnOnce(Ticket) -> E) -> A {
        let (ticket, receiver) = self.tickets.issue();
        self.tell(make(ticket));
        receiver.await.unwrap_or_default()
    }

    /// Delivers an answer to the task that waits for `ticket`.
    pub fn answer(&self, ticket: Ticket, answer: A) {
        self.tickets.answer(ticket, answer);
    }
}
