//! Upstream VMs: register, send heartbeats, obey orders and answer requests, as the platform's protocol says.

use std::collections::HashMap;
use std::io::BufReader;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use super::http;
use super::http::Message;
use super::note;
use super::now_ms;
use super::sleep_ms;

pub const HEARTBEAT_MS: u64 = 1_200;
/// Time for which a group that lacks a member stands still before it is broken.
pub const STALL_MS: u64 = 4_000;
const OPEN_MS: u64 = 300;
const FIRST_JOIN_MS: u64 = 160;
const JOIN_MS: u64 = 1_600;
const REJOIN_MS: u64 = 200;

/// Membership of a VM in a group.
#[derive(Clone, Debug)]
pub struct Group {
    pub name: String,
    pub epoch: u64,
    pub rank: usize,
    pub phase: &'static str,
    pub model: String,
    pub members: Vec<String>,
    /// When this join was ordered; tells a join from a repeated one.
    pub joined_at: u64,
}

/// State of one VM.
pub struct State {
    pub zone: &'static str,
    pub service: String,
    pub address: SocketAddr,
    pub born: u64,
    sequence: u64,
    pub phase: &'static str,
    pub group: Option<Group>,
    last_model: Option<String>,
    highest_epoch: u64,
    highest_fence: u64,
    /// Requests that run, by attempt id.
    pub running: HashMap<String, u64>,
    /// Partitioned from the core: heartbeats and orders are lost on their way, requests are not.
    pub is_cut: bool,
    /// Silent for a moment: nothing is sent, and what arrives waits.
    pub is_paused: bool,
    /// Heartbeats end: the VM has said that it leaves.
    pub is_gone: bool,
    /// The process has ended.
    pub has_ended: bool,
    /// Address of the last heartbeat that was acknowledged.
    pub beat_at: Option<SocketAddr>,
    /// When that heartbeat was acknowledged.
    pub acknowledged_ms: u64,
    changed: bool,
    /// Pause between two events of a stream, and their number.
    pub pace_ms: u64,
    pub events: u64,
    /// Work of a request that is no stream.
    pub work_ms: u64,
    /// Streams have neither a length nor chunks and end with their connection.
    pub is_unframed: bool,
    /// The process crashes inside the event after this many events of a stream.
    pub crash_after: Option<u64>,
    /// The process crashes when it has sent the head of a stream that goes on after an earlier event.
    pub crashes_on_resume: bool,
}

/// Join of another group while the head of the VM's last group was open, or stood still unbroken.
#[derive(Clone, Debug)]
pub struct DoubleJoin {
    pub vm: String,
    pub of: String,
    pub into: String,
    pub head: String,
    pub head_state: String,
}

/// All VMs of a case.
pub struct World {
    pub vms: Mutex<HashMap<String, State>>,
    controllers: Vec<SocketAddr>,
    pub model: &'static str,
    pub double_joins: Mutex<Vec<DoubleJoin>>,
    /// Request ids by the VM that began to run them, with the time.
    pub runs: Mutex<Vec<(u64, String, String)>>,
    /// Whether requests have arrived; before that, weights load in a tenth of the time.
    pub has_traffic: Mutex<bool>,
}

pub type Shared = Arc<World>;

pub fn world(controllers: Vec<SocketAddr>, model: &'static str) -> Shared {
    Arc::new(World {
        vms: Mutex::default(),
        controllers,
        model,
        double_joins: Mutex::default(),
        runs: Mutex::default(),
        has_traffic: Mutex::new(false),
    })
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// Starts a VM at `ip`.
pub fn start(world: &Shared, id: &str, ip: Ipv4Addr, zone: &'static str, service: &str) {
    let listener = TcpListener::bind((ip, 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    let state = State {
        zone,
        service: service.to_owned(),
        address,
        born: unix_ms(),
        sequence: 0,
        phase: "ready",
        group: None,
        last_model: None,
        highest_epoch: 0,
        highest_fence: 0,
        running: HashMap::new(),
        is_cut: false,
        is_paused: false,
        is_gone: false,
        has_ended: false,
        beat_at: None,
        acknowledged_ms: 0,
        changed: true,
        pace_ms: 100,
        events: 10,
        work_ms: 30,
        is_unframed: false,
        crash_after: None,
        crashes_on_resume: false,
    };
    world.vms.lock().unwrap().insert(id.to_owned(), state);
    let (shared, vm) = (world.clone(), id.to_owned());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if shared.with(&vm, |state| state.has_ended) {
                return;
            }
            let (shared, vm) = (shared.clone(), vm.clone());
            thread::spawn(move || serve(&shared, &vm, stream));
        }
    });
    let (shared, vm) = (world.clone(), id.to_owned());
    thread::spawn(move || send_heartbeats(&shared, &vm));
}

impl World {
    pub fn with<T>(&self, vm: &str, access: impl FnOnce(&mut State) -> T) -> T {
        access(self.vms.lock().unwrap().get_mut(vm).expect("a known VM"))
    }

    /// Groups whose head is open: name, head and members.
    pub fn open_groups(&self) -> Vec<Group> {
        let vms = self.vms.lock().unwrap();
        let open = vms
            .values()
            .filter_map(|s| s.group.as_ref())
            .filter(|g| g.phase == "open");
        open.cloned().collect()
    }

    /// Sends a heartbeat at once.
    pub fn beat_now(&self, vm: &str) {
        self.with(vm, |state| state.changed = true);
    }
}

/// When each group first lost a member, by name and epoch.
static LOST: Mutex<Option<HashMap<(String, u64), u64>>> = Mutex::new(None);

fn lost() -> HashMap<(String, u64), u64> {
    LOST.lock().unwrap().clone().unwrap_or_default()
}

fn record_loss(group: &Group) {
    let mut lost = LOST.lock().unwrap();
    let lost = lost.get_or_insert_with(HashMap::new);
    lost.entry((group.name.clone(), group.epoch)).or_insert(now_ms());
}

fn heartbeat(vm: &State, model: &str) -> String {
    let group = vm.group.as_ref().map_or("null".to_owned(), |g| {
        format!(
            r#"{{"name":"{}","epoch":{},"rank":{},"phase":"{}"}}"#,
            g.name, g.epoch, g.rank, g.phase
        )
    });
    format!(
        r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":6,"phase":"{}","cold-remaining-ms":0,"sequence":{},"born":{},"domain":"d1","preloaded":["{model}"],"group":{group}}}"#,
        vm.service, vm.address, vm.zone, vm.phase, vm.sequence, vm.born
    )
}

fn send_heartbeats(world: &Shared, vm: &str) {
    let mut endpoint: Option<SocketAddr> = None;
    let mut turn = vm.len() + vm.bytes().map(usize::from).sum::<usize>();
    loop {
        while world.with(vm, |state| state.is_paused) {
            sleep_ms(10);
        }
        let (body, is_silent) = world.with(vm, |state| {
            state.sequence += 1;
            state.changed = false;
            (heartbeat(state, world.model), state.is_gone || state.has_ended)
        });
        if is_silent {
            return;
        }
        // A heartbeat without an acknowledgement goes to the next node.
        for _ in 0..world.controllers.len() {
            let address = endpoint.unwrap_or(world.controllers[turn % world.controllers.len()]);
            if world.with(vm, |state| state.is_cut) {
                sleep_ms(1_000);
                break;
            }
            let path = format!("/replicas/{vm}");
            let answer = http::call(
                address,
                "PUT",
                &path,
                &[("content-type", "application/json")],
                &body,
                1_000,
            );
            let answer = answer.filter(|(answer, _)| (200..300).contains(&answer.status()));
            if let Some((answer, _)) = answer {
                let text = answer.text();
                let named = text
                    .split("heartbeat-endpoint\":\"")
                    .nth(1)
                    .and_then(|t| t.split('"').next());
                endpoint = named.and_then(|n| n.parse().ok()).or(endpoint);
                world.with(vm, |state| {
                    state.beat_at = Some(address);
                    state.acknowledged_ms = now_ms();
                });
                break;
            }
            endpoint = None;
            turn += 1;
        }
        let sent = now_ms();
        while now_ms() < sent + HEARTBEAT_MS && !world.with(vm, |s| s.changed || s.is_gone) {
            sleep_ms(10);
        }
    }
}

fn serve(world: &Shared, vm: &str, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(mut output) = stream.try_clone() else {
        return;
    };
    let mut input = BufReader::new(stream);
    while let Some(mut request) = http::read_head(&mut input) {
        if !http::read_body(&mut input, &mut request, false) {
            return;
        }
        if world.with(vm, |state| state.has_ended) {
            return;
        }
        let path = request.first_line.split(' ').nth(1).unwrap_or("").to_owned();
        if path == "/order" {
            // What is lost in a partition gets no answer; the channel stays silent.
            while world.with(vm, |state| state.is_cut || state.is_paused) {
                sleep_ms(20);
            }
            let (status, what) = obey(world, vm, &request);
            note(format!("{vm}: order {what}: {status}"));
            let answer = format!("HTTP/1.1 {status} Order\r\ncontent-length: 2\r\n\r\n{{}}");
            if output.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if !answer(world, vm, &request, &path, &mut output) {
            return;
        }
    }
}

fn field<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    let rest = body.split(&format!("\"{name}\":")).nth(1)?;
    let rest = rest.trim_start();
    if let Some(text) = rest.strip_prefix('"') {
        return text.split('"').next();
    }
    if let Some(list) = rest.strip_prefix('[') {
        return list.split(']').next();
    }
    rest.split([',', '}']).next()
}

fn obey(world: &Shared, vm: &str, request: &Message) -> (u16, String) {
    let body = request.text();
    if request.header("x-target-replica").is_some_and(|id| id != vm) {
        return (421, "for another VM".to_owned());
    }
    let operation = field(&body, "operation").unwrap_or("").to_owned();
    let name = field(&body, "group").unwrap_or("").to_owned();
    let epoch: u64 = field(&body, "epoch").and_then(|e| e.parse().ok()).unwrap_or(0);
    let fence: u64 = field(&body, "fencing-token")
        .and_then(|f| f.parse().ok())
        .unwrap_or(0);
    let what = format!("{operation} {name} epoch {epoch} fence {fence}");
    let mut vms = world.vms.lock().unwrap();
    let state = vms.get_mut(vm).expect("a known VM");
    if fence < state.highest_fence {
        return (412, what);
    }
    state.highest_fence = fence;
    if operation == "join" {
        let members = field(&body, "members").unwrap_or("");
        let members: Vec<String> = members
            .split(',')
            .map(|m| m.trim().trim_matches('"').to_owned())
            .collect();
        let model = field(&body, "model-name").unwrap_or("").to_owned();
        if epoch < state.highest_epoch {
            return (412, what);
        }
        return join(world, vms, vm, &name, epoch, members, model, what);
    }
    let fits = state
        .group
        .as_ref()
        .is_some_and(|g| g.name == name && g.epoch == epoch);
    if operation == "phase-name" {
        return (200, what);
    }
    if !fits {
        return (409, what);
    }
    let group = state.group.as_mut().expect("a group that fits");
    match operation.as_str() {
        "open" if group.phase == "open" => (200, what),
        "open" if group.phase == "ready" && group.rank == 0 => {
            let (world, vm, epoch) = (world.clone(), vm.to_owned(), epoch);
            thread::spawn(move || {
                sleep_ms(OPEN_MS);
                world.with(&vm, |state| {
                    let group = state
                        .group
                        .as_mut()
                        .filter(|g| g.epoch == epoch && g.phase == "ready");
                    if let Some(group) = group {
                        group.phase = "open";
                        state.changed = true;
                        note(format!("{vm}: open as the head of epoch {epoch}"));
                    }
                });
            });
            (202, what)
        }
        "close" if group.phase == "open" => {
            group.phase = "closing";
            state.changed = true;
            let (world, vm) = (world.clone(), vm.to_owned());
            thread::spawn(move || {
                // The head returns to ready once its work is done.
                while world.with(&vm, |state| !state.running.is_empty()) {
                    sleep_ms(20);
                }
                world.with(&vm, |state| {
                    if let Some(group) = state.group.as_mut().filter(|g| g.phase == "closing") {
                        group.phase = "ready";
                        state.changed = true;
                        note(format!("{vm}: closed, its work is done"));
                    }
                });
            });
            (202, what)
        }
        "close" => (200, what),
        "leave" => {
            record_loss(group);
            state.group = None;
            state.changed = true;
            (200, what)
        }
        _ => (409, what),
    }
}

#[allow(clippy::too_many_arguments)]
fn join(
    world: &Shared,
    mut vms: MutexGuard<HashMap<String, State>>,
    vm: &str,
    name: &str,
    epoch: u64,
    members: Vec<String>,
    model: String,
    what: String,
) -> (u16, String) {
    let previous = vms[vm].group.clone();
    if let Some(previous) = &previous {
        if previous.name == name && previous.epoch == epoch {
            let is_same = previous.members == members;
            return (if is_same { 200 } else { 412 }, what);
        }
        record_loss(previous);
    }
    // The group that the VM was last in, if its head still holds it.
    let lost = lost();
    for (head, head_state) in vms.iter() {
        let Some(held) = head_state
            .group
            .as_ref()
            .filter(|g| g.rank == 0 && g.epoch != epoch)
        else {
            continue;
        };
        let was_member = held.members.iter().any(|m| m == vm);
        if !was_member || head_state.has_ended || !matches!(held.phase, "open" | "closing") {
            continue;
        }
        let since = lost.get(&(held.name.clone(), held.epoch));
        let still = since.map(|since| now_ms().saturating_sub(*since));
        if still.is_some_and(|for_ms| for_ms >= STALL_MS) {
            continue;
        }
        let head_text = match still {
            Some(for_ms) => format!("stands still for {for_ms} ms of {STALL_MS}"),
            None => held.phase.to_owned(),
        };
        note(format!(
            "{vm}: takes a join of {name} while {head}, the head of its group {}, {head_text}, with {} requests",
            held.name,
            head_state.running.len()
        ));
        world.double_joins.lock().unwrap().push(DoubleJoin {
            vm: vm.to_owned(),
            of: held.name.clone(),
            into: name.to_owned(),
            head: head.clone(),
            head_state: head_text,
        });
    }
    let has_traffic = *world.has_traffic.lock().unwrap();
    let state = vms.get_mut(vm).expect("a known VM");
    let join_ms = match &state.last_model {
        Some(last) if *last == model => REJOIN_MS,
        _ if has_traffic => JOIN_MS,
        _ => FIRST_JOIN_MS,
    };
    state.last_model = Some(model.clone());
    state.highest_epoch = epoch;
    let rank = members.iter().position(|m| m == vm).unwrap_or(0);
    let joined_at = now_ms();
    state.group = Some(Group {
        name: name.to_owned(),
        epoch,
        rank,
        phase: "joining",
        model,
        members,
        joined_at,
    });
    state.changed = true;
    let (world, vm) = (world.clone(), vm.to_owned());
    thread::spawn(move || {
        sleep_ms(join_ms);
        world.with(&vm, |state| {
            let group = state
                .group
                .as_mut()
                .filter(|g| g.epoch == epoch && g.phase == "joining");
            if let Some(group) = group {
                group.phase = "ready";
                state.changed = true;
            }
        });
    });
    (202, what)
}

/// Answers a request; returns whether the channel stays open.
fn answer(world: &Shared, vm: &str, request: &Message, path: &str, output: &mut TcpStream) -> bool {
    let id = request.header("x-attempt-id").unwrap_or("").to_owned();
    let reject = |status: u16, output: &mut TcpStream| {
        let text = format!(
            "HTTP/1.1 {status} Rejected\r\nx-attempt-id: {id}\r\nx-not-executed: 1\r\nat-server: {vm}\r\ncontent-length: 0\r\n\r\n"
        );
        output.write_all(text.as_bytes()).is_ok()
    };
    if path == "/healthz" {
        let text = format!("HTTP/1.1 200 OK\r\nx-replica-id: {vm}\r\ncontent-length: 0\r\n\r\n");
        return output.write_all(text.as_bytes()).is_ok();
    }
    if request
        .header("x-target-replica")
        .is_some_and(|target| target != vm)
    {
        return reject(421, output);
    }
    let is_stream = request.header("x-model").is_some();
    let group = world.with(vm, |state| state.group.clone());
    if is_stream && group.as_ref().is_none_or(|g| g.rank != 0 || g.phase == "joining") {
        return reject(421, output);
    }
    if is_stream && group.as_ref().is_some_and(|g| g.phase != "open") {
        return reject(503, output);
    }
    *world.has_traffic.lock().unwrap() = true;
    let started = now_ms();
    note(format!("{vm}: runs request {id}"));
    world
        .runs
        .lock()
        .unwrap()
        .push((started, id.clone(), vm.to_owned()));
    let (pace_ms, events, work_ms) = world.with(vm, |state| {
        state.running.insert(id.clone(), started);
        (state.pace_ms, state.events, state.work_ms)
    });
    // A VM that leaves says so in all its answers.
    let leaving = match world.with(vm, |state| state.is_gone || state.phase == "draining") {
        true => "server-leaving: 1\r\n",
        false => "",
    };
    let is_sent = if is_stream {
        let epoch = group.map_or(0, |g| g.epoch);
        let first = request
            .header("last-event-id")
            .and_then(|i| i.parse::<u64>().ok())
            .unwrap_or(0)
            + 1;
        stream(world, vm, &id, epoch, (first, events, pace_ms), output)
    } else {
        sleep_ms(work_ms);
        let body = format!("done {id}");
        let text = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-replica-signature: s.{vm}\r\n{leaving}content-length: {}\r\n\r\n{body}",
            body.len()
        );
        !world.with(vm, |state| state.has_ended) && output.write_all(text.as_bytes()).is_ok()
    };
    world.with(vm, |state| state.running.remove(&id));
    note(format!(
        "{vm}: request {id} ended, answer {}",
        if is_sent { "sent" } else { "cut off" }
    ));
    is_sent
}

/// Sends the events of a stream; returns whether all were sent.
fn stream(
    world: &Shared,
    vm: &str,
    id: &str,
    epoch: u64,
    (first, last, pace_ms): (u64, u64, u64),
    output: &mut TcpStream,
) -> bool {
    let (is_unframed, crash_after, crashes_on_resume) = world.with(vm, |state| {
        (state.is_unframed, state.crash_after, state.crashes_on_resume)
    });
    let framing = match is_unframed {
        true => "connection: close",
        false => "transfer-encoding: chunked",
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-replica-signature: s.{vm}\r\nx-weight-versions: 1\r\ncontent-type: text/event-stream\r\n{framing}\r\n\r\n"
    );
    if output.write_all(head.as_bytes()).is_err() {
        return false;
    }
    if crashes_on_resume && first > 1 {
        sleep_ms(50);
        note(format!(
            "{vm}: crashes before the first event of {id}, after event {}",
            first - 1
        ));
        end(world, vm);
        return false;
    }
    for event in first..=last {
        sleep_ms(pace_ms);
        loop {
            let group = world.with(vm, |state| state.group.clone());
            let Some(group) = group.filter(|g| g.epoch == epoch) else {
                return false;
            };
            // While a member is silent nothing moves.
            if group
                .members
                .iter()
                .any(|member| world.with(member, |state| state.is_paused))
            {
                sleep_ms(10);
                continue;
            }
            // While the group lacks a member nothing moves; then the work is cut off.
            match lost().get(&(group.name.clone(), group.epoch)) {
                Some(since) if now_ms() >= since + STALL_MS => return false,
                Some(_) => sleep_ms(20),
                None => break,
            }
        }
        let mut text = format!("id: {event}\ndata: {id} {event}\n\n");
        let crashes = crash_after.is_some_and(|after| event > after);
        if crashes {
            text.truncate(text.len() / 2);
        }
        let chunk = match is_unframed {
            true => text,
            false => format!("{:x}\r\n{text}\r\n", text.len()),
        };
        if output.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
        if crashes {
            note(format!("{vm}: crashes inside event {event} of {id}"));
            end(world, vm);
            return false;
        }
    }
    if is_unframed {
        // The end of the connection ends the stream.
        return output.shutdown(Shutdown::Both).is_ok();
    }
    output.write_all(b"0\r\n\r\n").is_ok()
}

/// Ends the process of a VM: its group lacks it, and its address refuses connections.
pub fn end(world: &Shared, vm: &str) {
    let address = world.with(vm, |state| {
        state.is_gone = true;
        state.has_ended = true;
        if let Some(group) = state.group.take() {
            record_loss(&group);
        }
        state.address
    });
    // Wakes the thread that accepts connections, which then closes the socket.
    let _ = TcpStream::connect(address);
}
