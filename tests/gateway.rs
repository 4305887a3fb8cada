//! Gateways and fleet controllers as processes on loopback addresses, with stand-in VMs.
//!
//! Nobody reads the processes' standard output, so every test also shows that a stalled
//! reader of the log delays no request.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use heatherramp::adapters::http1;
use heatherramp::adapters::http1::Body;
use heatherramp::adapters::quic;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;

const KEY: &str = "key-of-the-account";
/// Longest wait for a state that the system should reach by itself.
const REACH: Duration = Duration::from_secs(30);

#[derive(Default)]
struct State {
    membership: Option<Value>,
    sequence: u64,
    /// Requests seen: path and headers.
    seen: Vec<(String, HashMap<String, String>)>,
    /// Cut the next stream after this many events.
    cut_after: Option<u64>,
    /// Pause between events, in milliseconds.
    pause_ms: Option<u64>,
    /// Answer the rest of a stream with what belongs to another request.
    is_foreign: bool,
}

/// Stand-in VM: takes orders, sends heartbeats, answers with ten events or a whole body.
#[derive(Clone)]
struct Vm {
    id: String,
    service: String,
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Vm {
    async fn start(id: &str, service: &str, controllers: Vec<SocketAddr>) -> Vm {
        let state: Arc<Mutex<State>> = Arc::default();
        let (id, service) = (id.to_owned(), service.to_owned());
        let shared = (id.clone(), state.clone());
        let handler = move |request| answer(shared.clone(), request);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = http1::serve(any, 16 << 10, Duration::from_secs(30), handler)
            .await
            .unwrap();
        let vm = Vm {
            id,
            service,
            address: server.address,
            state,
        };
        tokio::spawn(vm.clone().beat(controllers));
        vm
    }

    async fn beat(self, controllers: Vec<SocketAddr>) {
        let mut next = 0;
        loop {
            let body = {
                let mut state = self.state.lock().unwrap();
                state.sequence += 1;
                json!({
                    "service": self.service, "address": self.address.to_string(), "zone": "z1",
                    "version": "v1", "slots": 8, "phase": "ready", "cold-remaining-ms": 0,
                    "sequence": state.sequence, "born": 1, "domain": "d1",
                    "preloaded": ["model"], "group": state.membership,
                })
            };
            let path = format!("/replicas/{}", self.id);
            let sent = call(
                controllers[next % controllers.len()],
                "PUT",
                &path,
                &body.to_string(),
                &[],
            )
            .await;
            if sent.is_none_or(|(status, _)| status != 200) {
                next += 1;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }
}

async fn answer((id, state): (String, Arc<Mutex<State>>), request: Request<Incoming>) -> Response<Body> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map(|b| b.to_bytes()).unwrap_or_default();
    if head.uri.path() == "/order" {
        let order: Value = serde_json::from_slice(&body).unwrap();
        let mut state = state.lock().unwrap();
        let place = |stage: &str| {
            Some(json!({"name": order["group"], "epoch": order["epoch"], "rank": 0, "phase": stage}))
        };
        match order["operation"].as_str().unwrap() {
            "join" => state.membership = place("ready"),
            "open" => state.membership = place("open"),
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
    let is_foreign = state.lock().unwrap().is_foreign && !header("last-event-id").is_empty();
    let (cut_after, pause_ms) = {
        let mut state = state.lock().unwrap();
        state.seen.push((head.uri.to_string(), headers.collect()));
        // A foreign answer is a complete one.
        let cut_after = state.cut_after.take().filter(|_| !is_foreign);
        (cut_after, state.pause_ms.unwrap_or(5))
    };
    let mut response = if head.uri.path().starts_with("/notes/") {
        let (sender, receiver) = mpsc::channel(4);
        let first: u64 = header("last-event-id").parse().unwrap_or(0) + 1;
        tokio::spawn(async move {
            for event in first..=10 {
                if cut_after.is_some_and(|last| event > last) {
                    // Half of an event, then the connection breaks.
                    let _ = sender.send(Ok(Bytes::from(format!("id: {event}\nda")))).await;
                    let _ = sender.send(Err(http1::Abort)).await;
                    return;
                }
                let text = format!("id: {event}\ndata: piece {event}\n\n");
                let _ = sender.send(Ok(Bytes::from(text))).await;
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
        });
        Response::new(Body::Stream(receiver))
    } else {
        Response::new(Body::whole([b"echo ", body.as_ref()].concat()))
    };
    let signature = format!("{id}-signature");
    let echoed = if is_foreign {
        "another".to_owned()
    } else {
        header("x-attempt-id")
    };
    for (name, value) in [("x-attempt-id", echoed), ("x-replica-signature", signature)] {
        response.headers_mut().insert(name, value.parse().unwrap());
    }
    response
}

async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    headers: &[(&str, &str)],
) -> Option<(u16, Bytes)> {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "a.example");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from(body.to_owned()))).unwrap();
    let client = http1::Client::default();
    let sending = client.send(address, request, true);
    let (response, _link) = tokio::time::timeout(Duration::from_secs(9), sending)
        .await
        .ok()?
        .ok()?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok()?;
    Some((status, body.to_bytes()))
}

struct Site {
    folder: PathBuf,
    processes: Vec<(String, Child)>,
    controllers: Vec<SocketAddr>,
    gateway: SocketAddr,
    status: SocketAddr,
}

impl Drop for Site {
    fn drop(&mut self) {
        for (_, child) in &mut self.processes {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn free_port(ip: IpAddr) -> u16 {
    let socket = std::net::TcpListener::bind((ip, 0)).unwrap();
    socket.local_addr().unwrap().port()
}

impl Site {
    /// Site of three controllers and a gateway; `number` keeps the addresses of tests apart.
    fn start(number: u8) -> Site {
        let folder =
            std::env::temp_dir().join(format!("heatherramp-gateway-{}-{number}", std::process::id()));
        quic::make_keys(&folder.join("keys")).unwrap();
        let ips: Vec<IpAddr> = (1..=3).map(|i| IpAddr::from([127, 0, number, i])).collect();
        let (admin, peer) = (free_port(ips[0]), free_port(ips[0]));
        let controllers: Vec<SocketAddr> = ips.iter().map(|ip| SocketAddr::new(*ip, admin)).collect();
        let gateway = SocketAddr::new(ips[0], free_port(ips[0]));
        let status = SocketAddr::new(ips[0], free_port(ips[0]));
        let mut site = Site {
            folder,
            processes: Vec::new(),
            controllers,
            gateway,
            status,
        };
        for index in 0..3 {
            let settings = site.fleet_settings(index, peer);
            site.spawn(
                &format!("fleet{index}"),
                env!("CARGO_BIN_EXE_heatherramp-fleet"),
                &settings,
            );
        }
        let settings = json!({
            "name": "g1", "availability_zone": "z1", "listen": gateway, "listen_status": status,
            "seeds": site.controllers, "peer_port": peer, "keys": site.keys(), "grace_s": 4.0,
        });
        site.spawn("gateway", env!("CARGO_BIN_EXE_heatherramp-gateway"), &settings);
        site
    }

    fn keys(&self) -> Value {
        let file = |name: &str| self.folder.join("keys").join(name);
        json!({"authority": file("authority.pem"), "certificate": file("node.pem"), "key": file("node.key")})
    }

    fn fleet_settings(&self, index: usize, peer: u16) -> Value {
        json!({
            "name": format!("fleet{index}"), "data_folder": self.folder.join(format!("data{index}")),
            "first_start": true, "listen": self.controllers[index], "seeds": self.controllers,
            "peer_port": peer, "keys": self.keys(),
            "fleet": {"heartbeat_ms": 200, "stall_ms": 1000},
        })
    }

    fn spawn(&mut self, name: &str, program: &str, settings: &Value) {
        let file = self.folder.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).unwrap();
        let child = Command::new(program)
            .arg("--settings")
            .arg(file)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        self.processes.push((name.to_owned(), child));
    }

    async fn operate(&self, method: &str, path: &str, body: &str) -> Option<(u16, Bytes)> {
        let started = Instant::now();
        let mut last = None;
        while started.elapsed() < REACH {
            for controller in &self.controllers {
                let answer = call(*controller, method, path, body, &[]).await;
                if answer.as_ref().is_some_and(|(status, _)| *status < 500) {
                    return answer;
                }
                last = answer.or(last);
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        last
    }

    async fn ask(&self, path: &str, headers: &[(&str, &str)]) -> Option<(u16, Bytes)> {
        let mut all = vec![
            ("x-attempt-id", "a1"),
            ("x-model", "model"),
            ("x-deadline-ms", "4000"),
        ];
        all.extend(headers);
        call(self.gateway, "POST", path, "body bytes", &all).await
    }

    /// Asks until the status is as wanted.
    async fn ask_until(&self, path: &str, headers: &[(&str, &str)], wanted: u16) -> Bytes {
        let started = Instant::now();
        loop {
            let answer = self.ask(path, headers).await;
            if let Some((_, body)) = answer.as_ref().filter(|(status, _)| *status == wanted) {
                return body.clone();
            }
            assert!(started.elapsed() < REACH, "no {wanted} for {path}: {answer:?}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

fn document(version: u64) -> String {
    json!({
        "version": version,
        "routes": [
            {"name": "notes", "host": "a.example", "path-prefix": "/notes/", "type": "streaming",
             "timeout-ms": 4000, "target-latency-ms": 500, "max-attempts": 2, "service": "engine",
             "stream-resume": true, "target-gap-ms": 300},
            {"name": "orders", "host": "a.example", "path-prefix": "/orders/", "type": "non_idempotent",
             "timeout-ms": 4000, "service": "desk", "max-attempts": 1}
        ],
        "services": [
            {"name": "engine", "health-path": "/healthz", "max-connections": 99, "inference-engine": {
                "slots": 8, "stride": 5, "step_ms": 6.0, "per_seq_ms": 0.2, "read_per_s": 46000.0,
                "loads-per-s": 4.0, "loads_at_once": 6, "usual": {"prompt": 100, "answer": 50},
                "model-list": [{"name": "model", "size": 2, "traffic-share": 1.0, "pace": 1.0,
                                "load-time-s": 1.0, "warmup-s": 0.1}]}},
            {"name": "desk", "health-path": "/healthz"}
        ],
        "tenants": [{"name": "account", "api-keys": [KEY]}]
    })
    .to_string()
}

fn events(body: &Bytes) -> Vec<u64> {
    let text = String::from_utf8(body.to_vec()).unwrap();
    let ids = text.lines().filter_map(|l| l.strip_prefix("id: "));
    ids.map(|id| id.parse().unwrap()).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_finds_its_way_and_nothing_else_does() {
    let site = Site::start(71);
    let mut vms = Vec::new();
    for i in 0..4 {
        vms.push(Vm::start(&format!("vm{i}"), "engine", site.controllers.clone()).await);
    }
    let desk = Vm::start("desk0", "desk", site.controllers.clone()).await;
    // Before there is a configuration nothing is known to be absent or forbidden.
    site.ask_until("/notes/1", &[], 503).await;
    assert_eq!(
        site.operate("PUT", "/configuration", &document(3))
            .await
            .unwrap()
            .0,
        200
    );
    let bearer = format!("Bearer {KEY}");
    let key = ("authorization", bearer.as_str());
    let body = site
        .ask_until("/notes/1?q=%20x", &[key, ("x-tenant", "forged")], 200)
        .await;
    assert_eq!(events(&body), (1..=10).collect::<Vec<u64>>());
    let seen: Vec<_> = vms
        .iter()
        .flat_map(|v| v.state.lock().unwrap().seen.clone())
        .collect();
    let (path, headers) = &seen[0];
    assert_eq!(path, "/notes/1?q=%20x");
    assert_eq!(headers["x-tenant"], "account");
    assert!(!headers.contains_key("authorization"), "the key is not passed on");
    assert!(headers["x-deadline-ms"].parse::<u64>().unwrap() <= 4_000);
    let body = site.ask_until("/orders/1", &[key], 200).await;
    assert_eq!(body.as_ref(), b"echo body bytes");
    assert_eq!(desk.state.lock().unwrap().seen.len(), 1);
    assert_eq!(site.ask("/notes/1", &[]).await.unwrap().0, 401);
    assert_eq!(site.ask("/none/1", &[key]).await.unwrap().0, 404);
    let (ready, _) = call(site.status, "GET", "/readyz", "", &[]).await.unwrap();
    assert_eq!(ready, 200);
    let (_, metrics) = call(site.status, "GET", "/metrics", "", &[]).await.unwrap();
    let metrics = String::from_utf8(metrics.to_vec()).unwrap();
    assert!(
        metrics.contains("heatherramp_gateway_requests_total"),
        "{metrics}"
    );
}

/// Site with two open groups, and their VMs.
async fn site_with_two_groups(number: u8) -> (Site, Vec<Vm>) {
    let site = Site::start(number);
    let mut vms = Vec::new();
    for i in 0..4 {
        vms.push(Vm::start(&format!("vm{i}"), "engine", site.controllers.clone()).await);
    }
    site.operate("PUT", "/configuration", &document(3)).await.unwrap();
    let bearer = format!("Bearer {KEY}");
    site.ask_until("/notes/0", &[("authorization", bearer.as_str())], 200)
        .await;
    // Both groups must be open, since a resumed stream goes elsewhere.
    let started = Instant::now();
    while vms.iter().filter(|vm| is_open(vm)).count() < 2 {
        assert!(started.elapsed() < REACH, "two groups never opened");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    (site, vms)
}

fn is_open(vm: &Vm) -> bool {
    let state = vm.state.lock().unwrap();
    state.membership.as_ref().is_some_and(|m| m["phase"] == "open")
}

/// A resumed run whose answer belongs to somebody else must not be joined to the stream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_is_not_resumed_with_the_answer_of_another_request() {
    let (site, vms) = site_with_two_groups(75).await;
    for vm in &vms {
        let mut state = vm.state.lock().unwrap();
        state.cut_after = Some(4);
        state.is_foreign = true;
    }
    let bearer = format!("Bearer {KEY}");
    let answer = site.ask("/notes/1", &[("authorization", bearer.as_str())]).await;
    let resumed = vms.iter().any(|vm| {
        let state = vm.state.lock().unwrap();
        state
            .seen
            .iter()
            .any(|(_, headers)| headers.contains_key("last-event-id"))
    });
    assert!(resumed, "the rest was asked for");
    assert!(answer.is_none(), "the answer ends cut: {answer:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_broken_stream_goes_on_where_it_broke() {
    let (site, vms) = site_with_two_groups(72).await;
    let bearer = format!("Bearer {KEY}");
    let key = ("authorization", bearer.as_str());
    for vm in &vms {
        vm.state.lock().unwrap().cut_after = Some(4);
    }
    // The first head cuts; the second one is told not to when it gets the rest.
    let answer = {
        let all: Vec<Vm> = vms.clone();
        tokio::spawn(async move {
            let started = Instant::now();
            while started.elapsed() < REACH {
                let cut = all
                    .iter()
                    .any(|v| is_open(v) && v.state.lock().unwrap().cut_after.is_none());
                if cut {
                    all.iter().for_each(|v| v.state.lock().unwrap().cut_after = None);
                    return;
                }
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        });
        site.ask("/notes/1", &[key]).await.unwrap()
    };
    assert_eq!(answer.0, 200);
    assert_eq!(events(&answer.1), (1..=10).collect::<Vec<u64>>());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_controller_takes_nothing_with_it() {
    let mut site = Site::start(73);
    for i in 0..2 {
        Vm::start(&format!("vm{i}"), "engine", site.controllers.clone()).await;
    }
    let bad = document(4).replace("\"service\":\"desk\"", "\"service\":\"none\"");
    assert_eq!(site.operate("PUT", "/configuration", &bad).await.unwrap().0, 400);
    let text = document(3);
    assert_eq!(site.operate("PUT", "/configuration", &text).await.unwrap().0, 200);
    assert_eq!(
        site.operate("PUT", "/configuration", &document(2))
            .await
            .unwrap()
            .0,
        200
    );
    assert_eq!(site.operate("POST", "/evacuations/z9", "").await.unwrap().0, 200);
    let bearer = format!("Bearer {KEY}");
    let key = ("authorization", bearer.as_str());
    site.ask_until("/notes/0", &[key], 200).await;
    site.processes[0].1.kill().unwrap();
    site.processes[0].1.wait().unwrap();
    let (status, read) = site.operate("GET", "/configuration", "").await.unwrap();
    assert_eq!((status, read.as_ref()), (200, text.as_bytes()));
    site.ask_until("/notes/1", &[key], 200).await;
    assert_eq!(
        site.operate("DELETE", "/evacuations/z9", "").await.unwrap().0,
        200
    );
}

/// Callers use what connections they find until the process is gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopping_gateway_cuts_off_nothing_that_it_took() {
    let site = Site::start(74);
    for i in 0..2 {
        let vm = Vm::start(&format!("vm{i}"), "engine", site.controllers.clone()).await;
        vm.state.lock().unwrap().pause_ms = Some(100);
    }
    site.operate("PUT", "/configuration", &document(3)).await.unwrap();
    let bearer = format!("Bearer {KEY}");
    site.ask_until("/notes/0", &[("authorization", &bearer)], 200)
        .await;
    let pid = site.processes.last().unwrap().1.id();
    let killed = Command::new("kill").args(["-TERM", &pid.to_string()]).status();
    assert!(killed.unwrap().success());
    let started = Instant::now();
    let mut asked = Vec::new();
    while started.elapsed() < Duration::from_millis(4_500) {
        let (gateway, bearer) = (site.gateway, bearer.clone());
        asked.push(tokio::spawn(async move {
            let request = Request::builder()
                .method("POST")
                .uri("/notes/1")
                .header("host", "a.example")
                .header("x-attempt-id", "a1")
                .header("x-model", "model")
                .header("x-deadline-ms", "4000")
                .header("authorization", bearer)
                .body(Full::new(Bytes::from_static(b"body")))
                .unwrap();
            let client = http1::Client::default();
            match client.send(gateway, request, true).await {
                Err(http1::Failure::Unsent) => None,
                Err(http1::Failure::Unknown) => Some((0, Vec::new())),
                Ok((response, _link)) => {
                    let status = response.status().as_u16();
                    let body = response.into_body().collect().await.map(|b| b.to_bytes());
                    Some((status, body.map(|b| events(&b)).unwrap_or_default()))
                }
            }
        }));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let (mut whole, mut refused) = (0, 0);
    for answer in asked {
        match answer.await.unwrap() {
            Some((200, ids)) => {
                assert_eq!(ids, (1..=10).collect::<Vec<u64>>(), "cut off");
                whole += 1;
            }
            Some((503, _)) => refused += 1,
            None => {}
            other => panic!("an answer that is none: {other:?}"),
        }
    }
    assert!(whole >= 3 && refused >= 3, "{whole} whole, {refused} refused");
}
