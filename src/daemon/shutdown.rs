//! Planned stop of a daemon, as all its requests see it.

use std::sync::OnceLock;

use tokio::sync::Notify;

use crate::adapters::clock;
use crate::domain::stop::Stop;

/// Schedule of the planned stop, once it has begun.
#[derive(Debug, Default)]
pub struct Shutdown {
    stop: OnceLock<Stop>,
    /// Notified when the stop begins.
    begun: Notify,
}

impl Shutdown {
    /// Begins the stop; a later call changes nothing.
    pub fn begin(&self, stop: Stop) {
        let _ = self.stop.set(stop);
        self.begun.notify_waiters();
    }

    /// Schedule of the stop, if it has begun.
    pub fn stop(&self) -> Option<&Stop> {
        self.stop.get()
    }

    /// Returns when requests that are still in progress must be answered, since the process is about to end.
    pub async fn answers_ended(&self) {
        // Created before the check, so that a stop that begins during it is not missed.
        let begun = self.begun.notified();
        if self.stop.get().is_none() {
            begun.await;
        }
        if let Some(stop) = self.stop.get() {
            tokio::time::sleep(stop.answers_end.saturating_sub(clock::now())).await;
        }
    }
}
