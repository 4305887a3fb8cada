//! Replicas of a service without engines: they register, send check-ins, and answer requests.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Connection;
use crate::http::Message;
use crate::operator;
use crate::record::Record;

/// Interval of check-ins.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Work of a request.
const WORK: Duration = Duration::from_millis(30);

/// What a replica answers to a request that it runs.
pub type Answer = dyn Fn(&Message) -> Vec<u8> + Send + Sync;

/// Replica of a service.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    /// Requests that it has run.
    pub runs: Arc<Mutex<Vec<Message>>>,
    sequence: Arc<AtomicU64>,
    record: Record,
}

impl Replica {
    /// Starts a replica whose answer to each request `answer` builds.
    pub fn start(
        (id, service, zone): (&str, &str, &str),
        address: SocketAddr,
        control: Vec<SocketAddr>,
        answer: Arc<Answer>,
        record: &Record,
    ) -> Result<Replica, String> {
        let listener = TcpListener::bind(address).map_err(|e| format!("{address}: {e}"))?;
        let replica = Replica {
            id: id.to_owned(),
            address: listener.local_addr().map_err(|e| e.to_string())?,
            service: service.to_owned(),
            zone: zone.to_owned(),
            runs: Arc::default(),
            sequence: Arc::default(),
            record: record.clone(),
        };
        let server = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, answer) = (server.clone(), answer.clone());
                thread::spawn(move || server.serve(Connection::new(stream), &*answer));
            }
        });
        let beats = replica.clone();
        thread::spawn(move || beats.send_check_ins(control));
        Ok(replica)
    }

    fn serve(&self, mut connection: Connection, answer: &Answer) {
        while let Ok(Some(request)) = connection.read(false) {
            let path = request.second_word().to_owned();
            if path == "/healthz" {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nX-Replica-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                if connection.write(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let id = request.text("x-attempt-id");
            if request.text("x-target-replica") != self.id {
                let head = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                if connection.write(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let tenant = match request.header("x-tenant") {
                Some(value) => format!("{:?}", String::from_utf8_lossy(value)),
                None => "none".to_owned(),
            };
            self.record.line(&format!(
                "replica {} ({}) runs {id}: {path}, tenant {tenant}",
                self.id, self.zone
            ));
            self.runs.lock().unwrap().push(request.clone());
            thread::sleep(WORK);
            if connection.write(&answer(&request)).is_err() {
                return;
            }
        }
    }

    /// Sends check-ins to the node that the last answer named, else to the nodes of the control plane in turn.
    fn send_check_ins(&self, control: Vec<SocketAddr>) {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(1, |d| d.as_millis() as u64);
        let mut turn = 0;
        let mut next: Option<SocketAddr> = None;
        loop {
            let node = next.take().unwrap_or(control[turn % control.len()]);
            let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\"phase\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":{sequence},\"born\":{born}}}",
                self.service, self.address, self.zone
            );
            let host = node.to_string();
            let headers: [(&str, &[u8]); 2] =
                [("Host", host.as_bytes()), ("Content-Type", b"application/json")];
            let path = format!("/replicas/{}", self.id);
            let request = http::request("PUT", &path, &headers, body.as_bytes());
            match http::exchange(node, &request, operator::TIMEOUT) {
                Ok(response) if (200..300).contains(&response.status()) => {
                    let text = String::from_utf8_lossy(&response.body).into_owned();
                    let named = text.split("\"heartbeat-endpoint\":\"").nth(1);
                    next = named
                        .and_then(|t| t.split('"').next()?.parse().ok())
                        .or(Some(node));
                    thread::sleep(HEARTBEAT);
                }
                _ => {
                    turn += 1;
                    thread::sleep(Duration::from_millis(100));
                }
            }
        }
    }
}

/// Success with the whole body.
pub fn success(request: &Message, body: &str) -> Vec<u8> {
    let id = request.text("x-attempt-id");
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Replica-Signature: 3e1b.07.5a2\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
