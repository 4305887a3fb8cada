//! Memory and descriptors of the processes under callers that ignore the limits.
//!
//! Only what does not depend on the machine's speed is checked: the process stays alive, its peak memory and
//! its descriptors stay under a bound, and an ordinary request is answered afterwards.

mod common;
mod site;

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::timeout;

use common::Cluster;
use common::usage;
use site::ACCOUNT_KEY;
use site::Site;
use site::Vm;
use site::document;
use site::raw::Step;
use site::raw::answer_head;
use site::raw::site_with_raw_upstreams;

/// Body limit of the catalog unless a configuration states another one.
const BODY_BYTES: usize = 4 << 20;
/// Largest peak of the resident memory, in MB: the acceptance bound for a VM of 112 MB.
const MAX_RESIDENT_MB: f64 = 96.0;
/// Largest number of open descriptors.
const MAX_DESCRIPTORS: usize = 1_000;
/// The same at a control process, to which all VMs connect.
const MAX_CONTROL_DESCRIPTORS: usize = 2_000;
/// Longest time for which the callers send; what they have not sent by then stays unsent.
const SEND_TIME: Duration = Duration::from_secs(20);
/// Memory is a quantity of the whole process, so only one test runs at a time.
static LOCK: Mutex<()> = Mutex::const_new(());

/// What one caller sends after the start of its head; it then stays open without reading.
#[derive(Clone)]
struct Caller {
    /// Last line of the head; empty if the head does not end.
    framing: String,
    /// Method and path.
    call: &'static str,
    piece: Vec<u8>,
    pieces: usize,
    pause: Duration,
    last: Vec<u8>,
}

impl Caller {
    fn new(framing: &str, piece: Vec<u8>, pieces: usize) -> Self {
        Caller {
            framing: framing.to_owned(),
            call: "POST /orders/1",
            piece,
            pieces,
            pause: Duration::ZERO,
            last: Vec::new(),
        }
    }

    /// Sends a body of this announced length up to `missing` bytes before its end.
    fn announced(length: usize, missing: usize) -> Self {
        let pieces = (length - missing) / 65_536;
        let mut caller = Caller::new(&format!("content-length: {length}"), vec![b'x'; 65_536], pieces);
        caller.last = vec![b'x'; length - missing - pieces * 65_536];
        caller
    }

    /// Sends `chunks` chunks of `bytes` bytes and no end.
    fn chunked(bytes: usize, chunks: usize) -> Self {
        let chunk = [
            format!("{bytes:x}\r\n").into_bytes(),
            vec![b'x'; bytes],
            b"\r\n".to_vec(),
        ]
        .concat();
        // Several small chunks go into one write, since the gateway's memory is tested and not the writes.
        let together = (16_384 / chunk.len()).clamp(1, chunks);
        Caller::new(
            "transfer-encoding: chunked",
            chunk.repeat(together),
            chunks / together,
        )
    }

    /// Returns the connection, unless the gateway has closed it.
    async fn send(self, gateway: SocketAddr) -> Option<TcpStream> {
        let mut stream = TcpStream::connect(gateway).await.ok()?;
        let head = format!(
            "{} HTTP/1.1\r\nhost: a.example\r\nauthorization: Bearer {ACCOUNT_KEY}\r\n\
             x-attempt-id: b\r\nx-deadline-ms: 4000\r\n{}",
            self.call,
            match self.framing.as_str() {
                "" => "x-field: ".to_owned(),
                framing => format!("{framing}\r\n\r\n"),
            }
        );
        stream.write_all(head.as_bytes()).await.ok()?;
        for _ in 0..self.pieces {
            stream.write_all(&self.piece).await.ok()?;
            if !self.pause.is_zero() {
                tokio::time::sleep(self.pause).await;
            }
        }
        stream.write_all(&self.last).await.ok()?;
        Some(stream)
    }
}

/// Peak memory in MB and descriptors of a process once it has read what is in its sockets, so that neither
/// grows for two seconds.
async fn settled_usage(id: u32) -> (f64, usize) {
    let (mut most, mut unchanged) = ((0.0_f64, 0), 0);
    for _ in 0..60 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let now = (usage::peak_mb(id), usage::descriptors(id));
        let has_grown = now.0 > most.0 + 0.5 || now.1 > most.1;
        most = (most.0.max(now.0), most.1.max(now.1));
        unchanged = if has_grown { 0 } else { unchanged + 1 };
        if unchanged == 4 {
            break;
        }
    }
    most
}

/// Lets `count` callers send at once to a gateway with default settings, and checks what it takes.
async fn assert_bounded(number: u8, name: &str, caller: Caller, count: usize) {
    let _alone = LOCK.lock().await;
    let site = Site::start(number);
    let _desk = Vm::start("desk0", "desk", site.controllers.clone()).await;
    site.call_controllers("PUT", "/configuration", &document(3))
        .await
        .unwrap();
    observe(&site, name, ("gateway-g1", site.gateway), caller, count).await;
}

/// Lets callers send to one of the processes of a site.
async fn observe(
    site: &Site,
    name: &str,
    (process, address): (&str, SocketAddr),
    caller: Caller,
    count: usize,
) {
    let bearer = format!("Bearer {ACCOUNT_KEY}");
    let authorization = [("authorization", bearer.as_str())];
    site.send_until("/orders/1", &authorization, 200).await;
    let id = site.processes.iter().find(|(n, _)| n == process).unwrap().1.id();
    let at_rest = usage::of_process(id);
    let mut callers = JoinSet::new();
    for _ in 0..count {
        callers.spawn(timeout(SEND_TIME, caller.clone().send(address)));
    }
    let mut open = Vec::new();
    while let Some(sent) = callers.join_next().await {
        open.extend(sent.unwrap().ok().flatten());
    }
    let (peak_mb, descriptors) = settled_usage(id).await;
    println!(
        "{name}: {:.0} MB at rest, peak {peak_mb:.0} MB, {descriptors} descriptors, {} of {count} sent all",
        at_rest.resident_mb,
        open.len()
    );
    assert!(peak_mb > 0.0, "{name}: the process has ended");
    assert!(peak_mb < MAX_RESIDENT_MB, "{name}: peak of {peak_mb:.0} MB");
    assert!(descriptors < MAX_DESCRIPTORS, "{name}: {descriptors} descriptors");
    site.send_until("/orders/1", &authorization, 200).await;
}

/// Guards against bodies that are each within the limit and together exceed the VM's memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_whole_bodies_are_bounded_together() {
    assert_bounded(211, "whole bodies", Caller::announced(BODY_BYTES, 0), 100).await;
}

/// Guards against bodies that are held without an end because their callers stop sending.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_stop_short_are_bounded_together() {
    assert_bounded(212, "stopping short", Caller::announced(BODY_BYTES, 8), 100).await;
}

/// Guards against the same in chunks, whose length is not known beforehand.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chunked_bodies_that_stop_short_are_bounded_together() {
    assert_bounded(213, "chunks of 60 KB", Caller::chunked(60_000, 69), 100).await;
}

/// Guards against bodies that all grow at the same rate, so that none of them ends or stands out.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_sent_piece_by_piece_are_bounded_together() {
    let mut slow = Caller::announced(BODY_BYTES, 8);
    slow.pause = Duration::from_millis(20);
    assert_bounded(214, "64 KB every 20 ms", slow, 100).await;
}

/// Guards against bodies that are read up to the limit although their announced length exceeds it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_announced_over_the_limit_are_bounded_together() {
    assert_bounded(
        215,
        "announced over the limit",
        Caller::announced(8 * BODY_BYTES, 8),
        60,
    )
    .await;
}

/// Guards against the same without an announced length.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_over_the_limit_are_bounded_together() {
    assert_bounded(216, "over the limit", Caller::chunked(65_536, 512), 60).await;
}

/// Guards against chunks that each cost far more than the byte that they carry.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_chunks_of_one_byte_are_bounded_together() {
    assert_bounded(217, "chunks of one byte", Caller::chunked(1, 384 << 10), 200).await;
}

/// Guards against heads without an end, and connections in any number.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_are_bounded_together() {
    let head = Caller::new("", vec![b'x'; 4_000], 7);
    assert_bounded(218, "heads without an end", head, 2_500).await;
}

/// Guards against heads that are each within a raised limit and together exceed the VM's memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_heads_at_a_gateway_are_bounded_together() {
    let _alone = LOCK.lock().await;
    let site = Site::start(247);
    let _desk = Vm::start("desk0", "desk", site.controllers.clone()).await;
    let mut document: Value = serde_json::from_str(&document(3)).unwrap();
    document["limits"] = json!({"max-header-bytes": 900_000, "max-body-bytes": BODY_BYTES,
                               "header-timeout-ms": 3_000, "idle-timeout-ms": 15_000});
    let answer = site
        .call_controllers("PUT", "/configuration", &document.to_string())
        .await;
    assert_eq!(answer.map(|(status, _)| status), Some(200));
    let caller = Caller::new("", vec![b'x'; 65_536], 13);
    observe(&site, "large heads", ("gateway-g1", site.gateway), caller, 250).await;
}

/// Guards against configurations, of a legal size each, that exceed a controller's memory together.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn configurations_at_a_controller_are_bounded_together() {
    let _alone = LOCK.lock().await;
    let site = Site::start(222);
    let _desk = Vm::start("desk0", "desk", site.controllers.clone()).await;
    site.call_controllers("PUT", "/configuration", &document(3))
        .await
        .unwrap();
    let mut caller = Caller::announced(BODY_BYTES, 8);
    caller.call = "PUT /configuration";
    let controller = ("fleet0", site.controllers[0]);
    observe(&site, "configurations", controller, caller, 100).await;
}

/// Lets callers send to an entry (`e1`) or a control process (`c1`); whether it stays alive and within bounds.
async fn is_process_bounded(process: &str, name: &str, caller: Caller, count: usize) -> bool {
    let _alone = LOCK.lock().await;
    let adjust = |site: &mut heatherramp::cli::Site, _: &mut _| site.entries[0].memory_mb = 128.0;
    let cluster = Cluster::start("memory", (1, 1), &["z1"], adjust).await;
    let address: SocketAddr = match process {
        "c1" => cluster.site.controls[0].listen_http,
        _ => cluster.site.entries[0].listen_http,
    };
    let url = format!("http://{address}/live");
    let wait_until_live = async || {
        let is_live = async || {
            cluster
                .call("GET", &url, &[], "")
                .await
                .is_some_and(|a| a.status == 200)
        };
        while !is_live().await {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    wait_until_live().await;
    let id = cluster
        .process_ids()
        .iter()
        .find(|(n, _)| n == process)
        .unwrap()
        .1;
    let mut callers = JoinSet::new();
    for _ in 0..count {
        callers.spawn(timeout(SEND_TIME, caller.clone().send(address)));
    }
    // Descriptors are taken at once and may be released while others still send.
    let mut most_descriptors = 0;
    let mut open = Vec::new();
    while let Some(sent) = callers.join_next().await {
        open.extend(sent.unwrap().ok().flatten());
        most_descriptors = most_descriptors.max(usage::descriptors(id));
    }
    let (peak_mb, descriptors) = settled_usage(id).await;
    let descriptors = descriptors.max(most_descriptors);
    println!(
        "{process}, {name}: peak {peak_mb:.0} MB, {descriptors} descriptors, {} of {count} sent all",
        open.len()
    );
    let max_descriptors = match process {
        "c1" => MAX_CONTROL_DESCRIPTORS,
        _ => MAX_DESCRIPTORS,
    };
    let answered = timeout(Duration::from_secs(30), wait_until_live()).await;
    peak_mb > 0.0 && peak_mb < MAX_RESIDENT_MB && descriptors < max_descriptors && answered.is_ok()
}

/// Lets callers send to an entry and to a control process; both are observed before either is judged.
async fn assert_processes_bounded(name: &str, caller: Caller, count: usize) {
    let mut exceeded = Vec::new();
    for process in ["e1", "c1"] {
        if !is_process_bounded(process, name, caller.clone(), count).await {
            exceeded.push(process);
        }
    }
    assert!(exceeded.is_empty(), "{name}: bounds exceeded at {exceeded:?}");
}

/// Guards against the same at an entry, which reads a body before it knows the account.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_at_an_entry_are_bounded_together() {
    let mut caller = Caller::announced(BODY_BYTES, 8);
    caller.call = "POST /v1/chat/completions";
    let is_bounded = is_process_bounded("e1", "bodies", caller, 100).await;
    assert!(is_bounded, "bounds exceeded");
}

/// Guards against heads without an end, and connections in any number, at entries and control processes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_at_entries_and_control_processes_are_bounded_together() {
    let caller = Caller::new("", vec![b'x'; 4_000], 7);
    assert_processes_bounded("heads without an end", caller, 2_500).await;
}

/// Guards against few connections whose heads are each larger than any caller needs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_heads_at_entries_and_control_processes_are_bounded_together() {
    let caller = Caller::new("", vec![b'x'; 65_536], 14);
    assert_processes_bounded("large heads without an end", caller, 250).await;
}

/// Guards against connections that stay open after their request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_connections_at_entries_and_control_processes_are_bounded_together() {
    let mut caller = Caller::announced(0, 0);
    caller.call = "GET /live";
    assert_processes_bounded("idle connections", caller, 2_500).await;
}

/// Guards against answers that are held because their callers do not read them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_that_are_not_read_are_bounded_together() {
    let _alone = LOCK.lock().await;
    let script = |head: &str| {
        let head = format!("{}content-length: 6291456\r\n\r\n", answer_head(head));
        vec![Step::Send(head), Step::Send("x".repeat(6 << 20))]
    };
    let (site, _upstreams) = site_with_raw_upstreams(220, script).await;
    let mut caller = Caller::announced(10, 0);
    caller.call = "POST /lookup/1";
    let gateway = ("gateway-g1", site.gateway);
    observe(&site, "answers that are not read", gateway, caller, 100).await;
}

/// Guards against copies of the configuration that a controller holds for operators that do not read their answers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn configurations_that_are_not_read_are_bounded_together() {
    let _alone = LOCK.lock().await;
    let site = Site::start(223);
    let _desk = Vm::start("desk0", "desk", site.controllers.clone()).await;
    let mut large: Value = serde_json::from_str(&document(3)).unwrap();
    large["routes"][0]["name"] = json!("notes".repeat(600_000));
    let adopted = site
        .call_controllers("PUT", "/configuration", &large.to_string())
        .await;
    assert_eq!(adopted.map(|(status, _)| status), Some(200));
    let mut caller = Caller::announced(0, 0);
    caller.call = "GET /configuration";
    // The sockets take the first answers.
    let further = "GET /configuration HTTP/1.1\r\nhost: a.example\r\n\r\n";
    caller.last = further.repeat(4).into_bytes();
    let controller = ("fleet0", site.controllers[0]);
    observe(&site, "configurations that are not read", controller, caller, 100).await;
}

/// Guards against a budget that refuses a single request within the limits, and against a refusal that is
/// lost because the body was not read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_at_the_limit_is_served_and_one_beyond_it_gets_its_refusal() {
    let _alone = LOCK.lock().await;
    let site = Site::start(219);
    let _desk = Vm::start("desk0", "desk", site.controllers.clone()).await;
    site.call_controllers("PUT", "/configuration", &document(3))
        .await
        .unwrap();
    let bearer = format!("Bearer {ACCOUNT_KEY}");
    site.send_until("/orders/1", &[("authorization", bearer.as_str())], 200)
        .await;
    let whole = |chunks| {
        let mut caller = Caller::chunked(65_536, chunks);
        caller.last = b"0\r\n\r\n".to_vec();
        caller
    };
    let callers = [
        (Caller::announced(BODY_BYTES, 0), "200"),
        (Caller::announced(BODY_BYTES + 1, 0), "413"),
        (whole(64), "200"),
        (whole(65), "413"),
    ];
    for (i, (caller, expected)) in callers.into_iter().enumerate() {
        let sent = caller.send(site.gateway).await;
        let mut stream = sent.expect("a connection that takes the whole body");
        let mut status = [0; 12];
        stream.read_exact(&mut status).await.expect("a status line");
        assert_eq!(String::from_utf8_lossy(&status[9..]), expected, "caller {i}");
    }
}
