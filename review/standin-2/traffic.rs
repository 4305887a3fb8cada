//! Callers that send requests at a steady rate to the gateways that are ready.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use super::http;
use super::http::header;
use super::record::Record;
use super::site::Site;

/// Request of a caller and what came of it.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub sent_at: Instant,
    /// Status of the answer; 0 for none.
    pub status: u16,
    /// Whether it is a success with a signature.
    pub is_served: bool,
}

/// Callers of one site.
#[derive(Clone, Default)]
pub struct Traffic {
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    is_stopped: Arc<AtomicBool>,
}

impl Traffic {
    /// Starts callers that send `method` `path` with `key` each `interval`, to the ready gateways in turn.
    pub fn start(record: &Record, site: &Arc<Site>, request: (&'static str, &'static str, &'static str), interval: Duration) -> Traffic {
        let traffic = Traffic::default();
        let (shared, record, site) = (traffic.clone(), record.clone(), site.clone());
        std::thread::spawn(move || {
            let ready = Arc::new(Mutex::new(vec![true; site.edges.len()]));
            shared.watch_readiness(&site, &ready);
            let mut number = 0_usize;
            while !shared.is_stopped.load(Ordering::Relaxed) {
                number += 1;
                let states = ready.lock().unwrap().clone();
                let count = states.len();
                let chosen = (0..count).map(|i| (number + i) % count).find(|i| states[*i]);
                let edge = chosen.unwrap_or(number % count);
                let (shared, record, site) = (shared.clone(), record.clone(), site.clone());
                std::thread::spawn(move || {
                    let outcome = send(&site, edge, request, format!("{number:016x}"));
                    record.line(&format!(
                        "caller: {} to {} is answered {}",
                        outcome.id, site.edges[edge].name, outcome.status
                    ));
                    shared.outcomes.lock().unwrap().push(outcome);
                });
                std::thread::sleep(interval);
            }
        });
        traffic
    }

    /// Asks each gateway once per second whether it is ready; two misses take it out.
    fn watch_readiness(&self, site: &Arc<Site>, ready: &Arc<Mutex<Vec<bool>>>) {
        for index in 0..site.edges.len() {
            let (shared, site, ready) = (self.clone(), site.clone(), ready.clone());
            std::thread::spawn(move || {
                let mut misses = 0;
                while !shared.is_stopped.load(Ordering::Relaxed) {
                    misses = if site.is_ready(&site.edges[index]) { 0 } else { misses + 1 };
                    ready.lock().unwrap()[index] = misses < 2;
                    std::thread::sleep(Duration::from_secs(1));
                }
            });
        }
    }

    /// Outcomes so far.
    pub fn outcomes(&self) -> Vec<Outcome> {
        self.outcomes.lock().unwrap().clone()
    }

    /// Ends the callers.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }
}

/// Sends one request to an edge machine.
pub fn send(site: &Site, edge: usize, (method, path, key): (&str, &str, &str), id: String) -> Outcome {
    let authorization = format!("Bearer {key}");
    let headers = [
        ("host", "desk.example"),
        ("x-attempt-id", id.as_str()),
        ("x-deadline-ms", "2500"),
        ("authorization", authorization.as_str()),
    ];
    let sent_at = Instant::now();
    let address = site.listen(&site.edges[edge]);
    let answer = http::call(address, method, path, &headers, b"", Duration::from_millis(2_500));
    let status = answer.as_ref().map_or(0, |a| a.status);
    let is_served = answer.is_ok_and(|a| a.status == 200 && header(&a.headers, "x-replica-signature").is_some());
    Outcome {
        id,
        sent_at,
        status,
        is_served,
    }
}
