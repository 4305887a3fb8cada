//! Replicas that may crash and come back. Model replicas take orders to join and leave groups, and stream events.

use std::collections::HashSet;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Connection;
use crate::http::Message;
use crate::operator;
use crate::record::Record;
use crate::world::World;

/// Interval of check-ins.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time of a join of staged weights, of a load, and of the opening of a group.
const WARMUP: Duration = Duration::from_millis(200);
const LOAD: Duration = Duration::from_millis(500);
const OPENING: Duration = Duration::from_millis(300);
/// Time until the first event, and between events.
const FIRST_EVENT: Duration = Duration::from_millis(100);
const PAUSE: Duration = Duration::from_millis(30);
/// Time for which a replica is partitioned from the core.
const CUT: Duration = Duration::from_secs(10);
/// Events of a stream.
const EVENTS: u64 = 10;

/// Membership of a group.
#[derive(Clone, Debug)]
struct Membership {
    group: String,
    epoch: u64,
    rank: usize,
    members: String,
    phase: &'static str,
}

/// What one boot of a replica holds and knows.
#[derive(Default)]
struct State {
    boot: u64,
    born: u64,
    sequence: u64,
    fence: u64,
    epoch: u64,
    membership: Option<Membership>,
    /// Models on the host; these outlast a boot.
    staged: HashSet<String>,
    streams: Vec<TcpStream>,
    is_down: bool,
    /// Until when it is partitioned from the core: it gets no order, and no check-in reaches the control plane.
    cut_until: Option<Instant>,
}

impl State {
    /// What a check-in says of staged models and of the group.
    fn told(&self) -> String {
        let staged: Vec<String> = self.staged.iter().map(|m| format!("\"{m}\"")).collect();
        let group = self.membership.as_ref().map_or(String::new(), |m| {
            format!(
                ",\"group\":{{\"name\":\"{}\",\"epoch\":{},\"rank\":{},\"phase\":\"{}\"}}",
                m.group, m.epoch, m.rank, m.phase
            )
        });
        format!("\"preloaded\":[{}]{group}", staged.join(","))
    }
}

/// Decides whether the replica crashes when it begins to run a request.
pub type Crash = dyn Fn(&Message) -> bool + Send + Sync;

/// Model replica.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    domain: String,
    state: Arc<(Mutex<State>, Condvar)>,
    /// When requests began to run, with their heads.
    pub runs: Arc<Mutex<Vec<(Instant, Message)>>>,
    pub crashes: Arc<Mutex<Vec<Instant>>>,
    /// Time for which it is down after a crash.
    down: Duration,
    crash: Arc<Crash>,
    world: World,
    record: Record,
}

impl Engine {
    pub fn start(
        (id, service, zone, domain): (&str, &str, &str, &str),
        address: SocketAddr,
        control: Vec<SocketAddr>,
        (crash, down, world): (Arc<Crash>, Duration, World),
        record: &Record,
    ) -> Result<Engine, String> {
        let listener = TcpListener::bind(address).map_err(|e| format!("{address}: {e}"))?;
        let engine = Engine {
            id: id.to_owned(),
            address: listener.local_addr().map_err(|e| e.to_string())?,
            service: service.to_owned(),
            zone: zone.to_owned(),
            domain: domain.to_owned(),
            state: Arc::default(),
            runs: Arc::default(),
            crashes: Arc::default(),
            down,
            crash,
            world,
            record: record.clone(),
        };
        let server = engine.clone();
        thread::spawn(move || server.run(listener));
        let beats = engine.clone();
        thread::spawn(move || beats.send_check_ins(control));
        Ok(engine)
    }

    /// Whether it is the head of an open group.
    pub fn is_open(&self) -> bool {
        let state = self.state.0.lock().unwrap();
        state.membership.as_ref().is_some_and(|m| m.phase == "open")
    }

    /// Whether the service has no engines: it runs each request at once and answers it whole.
    fn is_plain(&self) -> bool {
        self.service == "desk"
    }

    /// Accepts connections, boot after boot.
    fn run(&self, mut listener: TcpListener) {
        loop {
            self.boot();
            let _ = listener.set_nonblocking(true);
            while !self.state.0.lock().unwrap().is_down {
                match listener.accept() {
                    Ok((stream, _)) => self.accept(stream),
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
            drop(listener);
            thread::sleep(self.down);
            listener = loop {
                match TcpListener::bind(self.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(50)),
                }
            };
        }
    }

    fn boot(&self) {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(1, |d| d.as_millis() as u64);
        let mut state = self.state.0.lock().unwrap();
        *state = State {
            boot: state.boot + 1,
            born,
            staged: std::mem::take(&mut state.staged),
            ..State::default()
        };
        self.state.1.notify_all();
    }

    fn accept(&self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let mut state = self.state.0.lock().unwrap();
        if let Ok(clone) = stream.try_clone() {
            state.streams.push(clone);
        }
        let boot = state.boot;
        drop(state);
        let server = self.clone();
        thread::spawn(move || server.serve(Connection::new(stream), boot));
    }

    fn fail(&self) {
        let mut state = self.state.0.lock().unwrap();
        if state.is_down {
            return;
        }
        state.is_down = true;
        for stream in state.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        drop(state);
        self.crashes.lock().unwrap().push(Instant::now());
        self.record.line(&format!("replica {} crashes", self.id));
    }

    fn serve(&self, mut connection: Connection, boot: u64) {
        while let Ok(Some(request)) = connection.read(false) {
            let is_current = {
                let state = self.state.0.lock().unwrap();
                state.boot == boot && !state.is_down
            };
            if !is_current {
                return;
            }
            let id = request.text("x-attempt-id");
            let target = request.text("x-target-replica");
            let path = request.second_word().to_owned();
            let answer = |status: &str, headers: &str| {
                format!("HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\n{headers}Content-Length: 0\r\n\r\n")
                    .into_bytes()
            };
            let written = if path == "/healthz" {
                connection.write(&answer("200 OK", &format!("X-Replica-Id: {}\r\n", self.id)))
            } else if !target.is_empty() && target != self.id {
                connection.write(&answer("421 Misdirected Request", "X-Not-Executed: 1\r\n"))
            } else if path == "/order" && self.is_cut() {
                // Nothing of it arrives.
                return self.hold(connection);
            } else if path == "/order" {
                let order = String::from_utf8_lossy(&request.body).into_owned();
                if field(&order, "operation") == "open"
                    && let Some(delay) = self.world.take_late_open()
                {
                    self.open_late(order, boot, delay);
                    return self.hold(connection);
                }
                let status = self.obey(&String::from_utf8_lossy(&request.body), boot);
                connection.write(&answer(status, ""))
            } else if self.is_plain() {
                self.run_plain(&mut connection, &request)
            } else if !self.is_open() {
                connection.write(&answer("503 Service Unavailable", "X-Not-Executed: 1\r\n"))
            } else {
                self.stream(&mut connection, &request, &id)
            };
            if written.is_err() {
                return;
            }
        }
    }

    fn is_cut(&self) -> bool {
        let state = self.state.0.lock().unwrap();
        state.cut_until.is_some_and(|end| Instant::now() < end)
    }

    /// Keeps a connection open without an answer.
    fn hold(&self, connection: Connection) {
        thread::sleep(CUT);
        drop(connection);
    }

    /// Leaves an order to open without an answer and carries it out later. Meanwhile the core is out of reach.
    fn open_late(&self, order: String, boot: u64, delay: Duration) {
        self.record.line(&format!(
            "replica {} gets {order}, without an answer, and is cut off from the core",
            self.id
        ));
        self.state.0.lock().unwrap().cut_until = Some(Instant::now() + CUT);
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(delay);
            let status = engine.obey(&order, boot);
            engine.record.line(&format!(
                "replica {} carries out the late order to open: {status}",
                engine.id
            ));
        });
    }

    fn run_plain(&self, connection: &mut Connection, request: &Message) -> std::io::Result<()> {
        self.runs.lock().unwrap().push((Instant::now(), request.clone()));
        thread::sleep(PAUSE);
        if (self.crash)(request) {
            self.record.line(&format!(
                "replica {} begins to run {}, which crashes it",
                self.id,
                request.text("x-attempt-id")
            ));
            self.fail();
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        connection.write(&crate::replica::success(request, "done"))
    }

    fn stream(&self, connection: &mut Connection, request: &Message, id: &str) -> std::io::Result<()> {
        thread::sleep(FIRST_EVENT);
        self.runs.lock().unwrap().push((Instant::now(), request.clone()));
        if (self.crash)(request) {
            self.record.line(&format!(
                "replica {} begins to run {id}, which crashes it",
                self.id
            ));
            self.fail();
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        let first = request.text("last-event-id").parse::<u64>().unwrap_or(0) + 1;
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Replica-Signature: 3e1b.07.5a2\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        connection.write(head.as_bytes())?;
        for event in first..=EVENTS {
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            connection.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            thread::sleep(PAUSE);
        }
        connection.write(b"0\r\n\r\n")
    }

    /// Carries out an order; returns the status of the answer.
    fn obey(&self, order: &str, boot: u64) -> &'static str {
        let operation = field(order, "operation");
        let (group, epoch) = (field(order, "group"), number(order, "epoch"));
        let fence = number(order, "fencing-token");
        let mut state = self.state.0.lock().unwrap();
        if fence < state.fence {
            return "412 Precondition Failed";
        }
        self.record
            .line(&format!("replica {} is ordered: {order}", self.id));
        state.fence = fence;
        let is_member = state
            .membership
            .as_ref()
            .is_some_and(|m| m.group == group && m.epoch == epoch);
        match operation.as_str() {
            "join" => {
                let members = order
                    .split("\"members\":[")
                    .nth(1)
                    .and_then(|t| t.split(']').next());
                let members = members.unwrap_or_default().to_owned();
                if epoch < state.epoch {
                    return "412 Precondition Failed";
                }
                if is_member {
                    let is_same = state.membership.as_ref().is_some_and(|m| m.members == members);
                    return if is_same {
                        "200 OK"
                    } else {
                        "412 Precondition Failed"
                    };
                }
                state.epoch = epoch;
                self.world.join(&self.id, epoch, &members);
                let model = field(order, "model-name");
                let time = if state.staged.contains(&model) {
                    WARMUP
                } else {
                    LOAD
                };
                let rank = members.split(',').position(|m| m.trim_matches('"') == self.id);
                state.membership = Some(Membership {
                    group,
                    epoch,
                    rank: rank.unwrap_or(0),
                    members,
                    phase: "joining",
                });
                drop(state);
                self.later(boot, epoch, time, move |state| {
                    state.staged.insert(model.clone());
                    "ready"
                });
            }
            "open" => match state.membership.as_ref().map(|m| m.phase) {
                Some("ready") if is_member => {
                    drop(state);
                    let world = self.world.clone();
                    self.later(boot, epoch, OPENING, move |_| {
                        world.open(epoch);
                        "open"
                    });
                }
                Some("open") if is_member => return "200 OK",
                _ => return "409 Conflict",
            },
            "close" if is_member => {
                if let Some(membership) = &mut state.membership {
                    membership.phase = "ready";
                }
                self.state.1.notify_all();
            }
            "leave" if is_member => {
                state.membership = None;
                self.world.leave(&self.id, epoch);
                self.state.1.notify_all();
            }
            "phase-name" => {
                let model = field(order, "model-name");
                drop(state);
                let engine = self.clone();
                thread::spawn(move || {
                    thread::sleep(LOAD);
                    engine.state.0.lock().unwrap().staged.insert(model);
                    engine.state.1.notify_all();
                });
            }
            _ => return "409 Conflict",
        }
        "202 Accepted"
    }

    /// Changes the phase of a membership after `time`, unless the boot or the membership has ended.
    fn later(
        &self,
        boot: u64,
        epoch: u64,
        time: Duration,
        change: impl Fn(&mut State) -> &'static str + Send + 'static,
    ) {
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(time);
            let mut state = engine.state.0.lock().unwrap();
            let is_member = state.membership.as_ref().is_some_and(|m| m.epoch == epoch);
            if state.boot != boot || state.is_down || !is_member {
                return;
            }
            let phase = change(&mut state);
            if let Some(membership) = &mut state.membership {
                membership.phase = phase;
            }
            engine.state.1.notify_all();
        });
    }

    /// Sends check-ins at each interval and after each change.
    fn send_check_ins(&self, control: Vec<SocketAddr>) {
        let mut turn = 0;
        let mut next: Option<SocketAddr> = None;
        loop {
            let mut state = self.state.0.lock().unwrap();
            if state.is_down || state.boot == 0 {
                drop(state);
                next = None;
                thread::sleep(Duration::from_millis(20));
                continue;
            }
            state.sequence += 1;
            let (boot, sequence, born) = (state.boot, state.sequence, state.born);
            let told = state.told();
            drop(state);
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":26,\"phase\":\"ready\",\"cold-remaining-ms\":0,\"phase-name\":\"unified\",\"model-list\":[],\"domain\":\"{}\",{told},\"sequence\":{sequence},\"born\":{born}}}",
                self.service, self.address, self.zone, self.domain
            );
            let node = next.take().unwrap_or(control[turn % control.len()]);
            if self.is_cut() && control.contains(&node) {
                // Nothing of it arrives; the next node is tried after a second without a response.
                thread::sleep(operator::TIMEOUT);
                turn += 1;
                continue;
            }
            let host = node.to_string();
            let headers: [(&str, &[u8]); 2] =
                [("Host", host.as_bytes()), ("Content-Type", b"application/json")];
            let request = http::request(
                "PUT",
                &format!("/replicas/{}", self.id),
                &headers,
                body.as_bytes(),
            );
            match http::exchange(node, &request, operator::TIMEOUT) {
                Ok(response) if (200..300).contains(&response.status()) => {
                    let text = String::from_utf8_lossy(&response.body).into_owned();
                    let named = text.split("\"heartbeat-endpoint\":\"").nth(1);
                    next = named
                        .and_then(|t| t.split('"').next()?.parse().ok())
                        .or(Some(node));
                    self.wait_for_change(boot, &told);
                }
                _ => {
                    turn += 1;
                    thread::sleep(Duration::from_millis(100));
                }
            }
        }
    }

    /// Returns after the interval of check-ins, or when there is something new to tell.
    fn wait_for_change(&self, boot: u64, told: &str) {
        let ends = Instant::now() + HEARTBEAT;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let now = Instant::now();
            if now >= ends || state.boot != boot || state.is_down || state.told() != told {
                return;
            }
            state = self.state.1.wait_timeout(state, ends - now).unwrap().0;
        }
    }
}

/// Text of a field of a flat JSON object.
fn field(json: &str, name: &str) -> String {
    let value = json.split(&format!("\"{name}\":\"")).nth(1);
    value
        .and_then(|v| v.split('"').next())
        .unwrap_or_default()
        .to_owned()
}

/// Whole number of a field of a flat JSON object.
fn number(json: &str, name: &str) -> u64 {
    let value = json.split(&format!("\"{name}\":")).nth(1).unwrap_or_default();
    let digits: String = value.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}
