//! Retry budget, so that failures do not multiply the load.
//!
//! Each gateway may retry a fraction of its own requests, plus an equal share of a fixed allowance.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::Settings;

/// Times of the requests and retries of one service within the window, oldest first.
#[derive(Clone, Debug, Default)]
struct Window {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

/// Retry budget by service.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    services: BTreeMap<String, Window>,
}

impl Budget {
    /// Records the arrival of a request, which adds to the budget.
    pub fn record_request(&mut self, now: Duration, settings: &Settings, service: &str) {
        let window = self.services.entry(service.to_owned()).or_default();
        window.remove_expired(now, settings.retry_window());
        window.requests.push_back(now);
    }

    /// Takes one retry out of the budget; returns false, and takes nothing, when none is left.
    pub fn try_retry(&mut self, now: Duration, settings: &Settings, service: &str, gateways: usize) -> bool {
        let window = self.services.entry(service.to_owned()).or_default();
        window.remove_expired(now, settings.retry_window());
        let by_requests = settings.retry_ratio * window.requests.len() as f64;
        let extra = settings.retry_extra / gateways.max(1) as f64;
        let allowed = (by_requests + extra) * settings.retry_use;
        if window.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        window.retries.push_back(now);
        true
    }
}

impl Window {
    fn remove_expired(&mut self, now: Duration, length: Duration) {
        let oldest = now.saturating_sub(length);
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|t| *t < oldest) {
                times.pop_front();
            }
        }
    }
}
