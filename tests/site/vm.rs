//! Simulated VM of a platform's fleet.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use heatherramp::adapters::http1;
use heatherramp::adapters::http1::Body;
use heatherramp::adapters::http1::Incoming;
use heatherramp::adapters::http1::Part;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;

use super::call;

/// State of a simulated VM.
#[derive(Default)]
pub struct VmState {
    /// Membership in a group, as heartbeats report it.
    pub membership: Option<Value>,
    /// Number of the last heartbeat.
    pub sequence: u64,
    /// Number of restarts of the VM's process, which its incarnation shows.
    pub restarts: u64,
    /// Path and headers of each request received.
    pub requests: Vec<(String, HashMap<String, String>)>,
    /// Break the next stream off after this many events.
    pub cut_after: Option<u64>,
    /// Pause between events, in milliseconds.
    pub pause_ms: Option<u64>,
    /// Answer a request to resume a stream with the identifier of another request.
    pub answers_as_another: bool,
    /// State in each answer that this VM shuts down.
    pub says_that_it_leaves: bool,
    /// Answer each request with 503 and this `retry-after`, in seconds, without running it.
    pub retry_after: Option<&'static str>,
    /// Send no more heartbeats.
    pub is_silent: bool,
    /// Address that acknowledged the last heartbeat.
    pub heartbeat_address: Option<SocketAddr>,
}

/// Simulated VM: obeys orders, sends heartbeats, and answers with ten events or by echoing the body.
#[derive(Clone)]
pub struct Vm {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub state: Arc<Mutex<VmState>>,
}

impl Vm {
    pub async fn start(id: &str, service: &str, controllers: Vec<SocketAddr>) -> Vm {
        let state: Arc<Mutex<VmState>> = Arc::default();
        let shared = (id.to_owned(), state.clone());
        let handler = move |request| answer(shared.clone(), request);
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = http1::serve(any_port, 16 << 10, Duration::from_secs(30), handler)
            .await
            .unwrap();
        Vm::announce(id, service, server.address, state, controllers)
    }

    /// Starts the heartbeats of a VM whose requests are answered at `address`.
    pub fn announce(
        id: &str,
        service: &str,
        address: SocketAddr,
        state: Arc<Mutex<VmState>>,
        controllers: Vec<SocketAddr>,
    ) -> Vm {
        let vm = Vm {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            state,
        };
        tokio::spawn(vm.clone().send_heartbeats(controllers));
        vm
    }

    /// Sends heartbeats to the address that the last answer named, and to the controllers in turn when
    /// that one does not acknowledge.
    pub async fn send_heartbeats(self, controllers: Vec<SocketAddr>) {
        let mut controller_index = 0;
        let mut address = controllers[0];
        loop {
            let body = {
                let mut state = self.state.lock().unwrap();
                if state.is_silent {
                    return;
                }
                state.sequence += 1;
                json!({
                    "service": self.service, "address": self.address.to_string(), "zone": "z1",
                    "version": "v1", "slots": 8, "phase": "ready", "cold-remaining-ms": 0,
                    "sequence": state.sequence, "born": state.restarts + 1, "domain": "d1",
                    "preloaded": ["model"], "group": state.membership,
                })
            };
            let path = format!("/replicas/{}", self.id);
            let response = call(address, "PUT", &path, &body.to_string(), &[]).await;
            let acknowledged = response.filter(|(status, _)| *status == 200);
            if acknowledged.is_none() {
                address = controllers[0];
            }
            match acknowledged {
                Some((_, body)) => {
                    self.state.lock().unwrap().heartbeat_address = Some(address);
                    let answer: Value = serde_json::from_slice(&body).unwrap();
                    let next = answer["heartbeat-endpoint"].as_str();
                    address = next.map_or(address, |next| next.parse().unwrap());
                }
                None => controller_index += 1,
            }
            // Only the controller that the gateway reports to names the gateway, so each is tried.
            if controllers.contains(&address) {
                controller_index += 1;
                address = controllers[controller_index % controllers.len()];
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }

    pub fn request_count(&self) -> usize {
        self.state.lock().unwrap().requests.len()
    }
}

/// Answers an order or a request to a simulated VM.
pub async fn answer(
    (id, state): (String, Arc<Mutex<VmState>>),
    request: Request<Incoming>,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map(|b| b.to_bytes()).unwrap_or_default();
    if head.uri.path() == "/order" {
        let order: Value = serde_json::from_slice(&body).unwrap();
        let mut state = state.lock().unwrap();
        let membership = |stage: &str| {
            Some(json!({"name": order["group"], "epoch": order["epoch"], "rank": 0, "phase": stage}))
        };
        match order["operation"].as_str().unwrap() {
            "join" => state.membership = membership("ready"),
            "open" => state.membership = membership("open"),
            "leave" => state.membership = None,
            _ => {}
        }
        return Response::new(Body::whole("{}"));
    }
    let header = |name: &str| {
        head.headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    };
    let headers = head
        .headers
        .iter()
        .map(|(k, v)| (k.to_string(), v.to_str().unwrap().to_owned()));
    let (leaves, retry_after) = {
        let state = state.lock().unwrap();
        (state.says_that_it_leaves, state.retry_after)
    };
    let answers_as_another = state.lock().unwrap().answers_as_another && !header("last-event-id").is_empty();
    let (cut_after, pause_ms) = {
        let mut state = state.lock().unwrap();
        state.requests.push((head.uri.to_string(), headers.collect()));
        // The answer that claims to be another request's is not broken off.
        let cut_after = state.cut_after.take().filter(|_| !answers_as_another);
        (cut_after, state.pause_ms.unwrap_or(5))
    };
    let mut response = if head.uri.path().starts_with("/notes/") {
        let (sender, receiver) = mpsc::channel(4);
        let first_event: u64 = header("last-event-id").parse().unwrap_or(0) + 1;
        tokio::spawn(async move {
            for event in first_event..=10 {
                if cut_after.is_some_and(|last| event > last) {
                    // Sends a part of an event, then breaks the connection.
                    let _ = sender.send(Part::Chunk(format!("id: {event}\nda").into())).await;
                    return;
                }
                let text = format!("id: {event}\ndata: piece {event}\n\n");
                let _ = sender.send(Part::Chunk(text.into())).await;
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
            let _ = sender.send(Part::End).await;
        });
        Response::new(Body::Stream(receiver))
    } else {
        Response::new(Body::whole([b"echo ", body.as_ref()].concat()))
    };
    if leaves {
        response
            .headers_mut()
            .insert("server-leaving", "1".parse().unwrap());
    }
    if let Some(seconds) = retry_after {
        *response.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
        let headers = response.headers_mut();
        headers.insert("retry-after", seconds.parse().unwrap());
        headers.insert("x-not-executed", "1".parse().unwrap());
    }
    let signature = format!("{id}-signature");
    let echoed = if answers_as_another {
        "another".to_owned()
    } else {
        header("x-attempt-id")
    };
    for (name, value) in [("x-attempt-id", echoed), ("x-replica-signature", signature)] {
        response.headers_mut().insert(name, value.parse().unwrap());
    }
    response
}

pub fn is_open(vm: &Vm) -> bool {
    let state = vm.state.lock().unwrap();
    state.membership.as_ref().is_some_and(|m| m["phase"] == "open")
}
