//! Upstream that sends heartbeats, obeys orders and answers requests, as PROTOCOL.md describes it.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use super::http;
use super::http::Answer;
use super::http::Request;
use super::http::header;
use super::json;
use super::record::Record;

/// Largest acknowledgement of a heartbeat.
const MAX_ACKNOWLEDGEMENT: usize = 4 << 10;

/// Heartbeat that was sent.
#[derive(Clone, Copy, Debug)]
pub struct Beat {
    pub at: Instant,
    pub is_acknowledged: bool,
    /// Whether it went to an address that an earlier answer had named.
    pub is_at_endpoint: bool,
    pub to: SocketAddr,
}

/// Replica of a service without an engine; clones refer to the same one.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    slots: u32,
    born: u128,
    record: Record,
    /// While set, the whole server does nothing.
    silent_until: Arc<Mutex<Option<Instant>>>,
    /// Identifiers and keys' tenants of the requests that it ran.
    runs: Arc<Mutex<Vec<(Instant, String, String)>>>,
    beats: Arc<Mutex<Vec<Beat>>>,
    is_stopped: Arc<AtomicBool>,
}

impl Replica {
    /// Starts a replica on `ip` that knows the nodes in `nodes`.
    pub fn start(record: &Record, id: &str, service: &str, zone: &str, ip: IpAddr, nodes: Vec<SocketAddr>) -> Replica {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let replica = Replica {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots: 8,
            born: since_epoch.map_or(0, |d| d.as_millis()),
            record: record.clone(),
            silent_until: Arc::default(),
            runs: Arc::default(),
            beats: Arc::default(),
            is_stopped: Arc::default(),
        };
        let shared = replica.clone();
        http::serve(listener, move |request| shared.answer(&request));
        let shared = replica.clone();
        std::thread::spawn(move || shared.send_heartbeats(nodes));
        replica
    }

    /// Makes the server do nothing until `until`, and go on then.
    pub fn fall_silent(&self, until: Instant) {
        *self.silent_until.lock().unwrap() = Some(until);
    }

    fn wait_while_silent(&self) {
        loop {
            let until = *self.silent_until.lock().unwrap();
            match until.map(|until| until.saturating_duration_since(Instant::now())) {
                Some(rest) if !rest.is_zero() => std::thread::sleep(rest),
                _ => return,
            }
        }
    }

    /// Heartbeats so far.
    pub fn beats(&self) -> Vec<Beat> {
        self.beats.lock().unwrap().clone()
    }

    /// Requests that it ran: when, identifier, tenant.
    pub fn runs(&self) -> Vec<(Instant, String, String)> {
        self.runs.lock().unwrap().clone()
    }

    /// Ends the heartbeats.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    fn answer(&self, request: &Request) -> Answer {
        self.wait_while_silent();
        let headers = &request.headers;
        let target = header(headers, "x-target-replica");
        if target.is_some_and(|target| target != self.id) {
            return Answer::new(421, "").with("x-not-executed", "1");
        }
        if request.path == "/healthz" {
            return Answer::new(200, "").with("x-replica-id", &self.id);
        }
        let id = header(headers, "x-attempt-id").unwrap_or_default().to_owned();
        let tenant = header(headers, "x-tenant").unwrap_or_default().to_owned();
        self.record.line(&format!("{}: runs {id} of tenant {tenant:?}", self.id));
        self.runs.lock().unwrap().push((Instant::now(), id.clone(), tenant));
        std::thread::sleep(Duration::from_millis(30));
        let signature = format!("{}.{id}", self.id);
        Answer::new(200, format!("done {id}"))
            .with("x-attempt-id", &id)
            .with("x-replica-signature", &signature)
    }

    /// Sends heartbeats to the address that the last acknowledgement named, and to the nodes in turn if there is none
    /// or a heartbeat fails there.
    fn send_heartbeats(&self, nodes: Vec<SocketAddr>) {
        let mut sequence = 0;
        let mut node = 0;
        let mut endpoint: Option<SocketAddr> = None;
        while !self.is_stopped.load(Ordering::Relaxed) {
            let due = Instant::now() + Duration::from_millis(1_200);
            // Until one is acknowledged.
            loop {
                self.wait_while_silent();
                sequence += 1;
                let to = endpoint.unwrap_or(nodes[node % nodes.len()]);
                let body = format!(
                    "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
                     \"phase\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":{sequence},\"born\":{}}}",
                    self.service, self.address, self.zone, self.slots, self.born
                );
                let path = format!("/replicas/{}", self.id);
                let headers = [("content-type", "application/json")];
                let at = Instant::now();
                let sent = http::call(to, "PUT", &path, &headers, body.as_bytes(), Duration::from_secs(1));
                let acknowledgement = sent
                    .as_ref()
                    .ok()
                    .filter(|a| (200..300).contains(&a.status) && a.body.len() <= MAX_ACKNOWLEDGEMENT);
                let status = sent.as_ref().map_or_else(|e| e.kind().to_string(), |a| a.status.to_string());
                self.record.line(&format!("{}: heartbeat {sequence} to {to} is answered {status}", self.id));
                self.beats.lock().unwrap().push(Beat {
                    at,
                    is_acknowledged: acknowledgement.is_some(),
                    is_at_endpoint: endpoint.is_some(),
                    to,
                });
                if let Some(acknowledgement) = acknowledgement {
                    let named = json::text(&acknowledgement.text(), "heartbeat-endpoint");
                    endpoint = named.and_then(|text| text.parse().ok()).or(endpoint);
                    break;
                }
                endpoint = None;
                node += 1;
                std::thread::sleep(Duration::from_millis(50));
            }
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
        }
    }
}
