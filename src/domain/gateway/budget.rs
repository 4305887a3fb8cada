//! Budget of repeats, shared between gateways by equal parts.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::Settings;

/// Requests and repeats of one service within the window.
#[derive(Clone, Debug, Default)]
struct Window {
    requests: VecDeque<Duration>,
    repeats: VecDeque<Duration>,
}

/// Budget of repeats by service.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    services: BTreeMap<String, Window>,
}

impl Budget {
    /// Counts a first send.
    pub fn request(&mut self, now: Duration, settings: &Settings, service: &str) {
        let window = self.services.entry(service.to_owned()).or_default();
        window.expire(now, settings.window());
        window.requests.push_back(now);
    }

    /// Takes a repeat out of the budget; returns whether it is allowed.
    pub fn repeat(&mut self, now: Duration, settings: &Settings, service: &str, gateways: usize) -> bool {
        let window = self.services.entry(service.to_owned()).or_default();
        window.expire(now, settings.window());
        let own = settings.retry_ratio * window.requests.len() as f64;
        let extra = settings.retry_extra / gateways.max(1) as f64;
        let allowed = (own + extra) * settings.retry_use;
        if window.repeats.len() as f64 + 1.0 > allowed {
            return false;
        }
        window.repeats.push_back(now);
        true
    }
}

impl Window {
    fn expire(&mut self, now: Duration, length: Duration) {
        let oldest = now.saturating_sub(length);
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|t| *t < oldest) {
                times.pop_front();
            }
        }
    }
}
