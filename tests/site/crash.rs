//! Upstream of a plain service whose process ends, and starts again, during the test.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinSet;

use super::Vm;
use super::free_port;
use super::raw::answer_head;
use super::raw::event_text;
use super::raw::header;
use super::raw::read_request;
use super::vm::VmState;

/// Time from a crash until the upstream listens again.
const RESTART_TIME: Duration = Duration::from_millis(500);
/// Time for which an upstream may listen after its connections have ended.
const CLOSE_TIME: Duration = Duration::from_millis(20);
/// Pause before each event of an answer.
const EVENT_PAUSE: Duration = Duration::from_millis(30);
/// Events of a whole answer.
const EVENTS: u64 = 10;

/// Upstream that crashes when told to, and when it begins to answer a request whose path or prompt parts hold
/// the bad part.
#[derive(Clone)]
pub struct Upstream {
    address: SocketAddr,
    bad_part: &'static str,
    /// When the upstream crashed.
    pub crashes: Arc<Mutex<Vec<Instant>>>,
    /// Arrival of each request, with its path and prompt parts.
    pub requests: Arc<Mutex<Vec<(Instant, String)>>>,
    crash: Arc<Notify>,
}

impl Upstream {
    /// Starts an upstream at an address of its own.
    ///
    /// After a crash it is a new incarnation of the same upstream, or a new upstream at the same address if
    /// `renames` is set.
    pub fn start(
        id: &str,
        ip: IpAddr,
        bad_part: &'static str,
        renames: bool,
        controllers: Vec<SocketAddr>,
    ) -> Upstream {
        let upstream = Upstream {
            address: SocketAddr::new(ip, free_port(ip)),
            bad_part,
            crashes: Arc::default(),
            requests: Arc::default(),
            crash: Arc::default(),
        };
        tokio::spawn(upstream.clone().run(id.to_owned(), renames, controllers));
        upstream
    }

    /// Ends the process; all its connections break.
    pub fn crash(&self) {
        self.crash.notify_one();
    }

    async fn run(self, id: String, renames: bool, controllers: Vec<SocketAddr>) {
        for restarts in 0.. {
            let listener = TcpListener::bind(self.address).await.unwrap();
            let state = Arc::new(Mutex::new(VmState {
                restarts,
                ..VmState::default()
            }));
            let id = match renames {
                true => format!("{id}-{restarts}"),
                false => id.clone(),
            };
            Vm::announce(&id, "desk", self.address, state.clone(), controllers.clone());
            self.serve_until_crash(listener, restarts).await;
            self.crashes.lock().unwrap().push(Instant::now());
            state.lock().unwrap().is_silent = true;
            tokio::time::sleep(RESTART_TIME).await;
        }
    }

    async fn serve_until_crash(&self, listener: TcpListener, restarts: u64) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        connections.spawn(self.clone().serve(stream, restarts));
                    }
                }
                () = self.crash.notified() => break,
            }
        }
        // The kernel closes the files of a process one by one, in either order.
        if restarts.is_multiple_of(2) {
            drop(listener);
            connections.shutdown().await;
        } else {
            connections.shutdown().await;
            tokio::time::sleep(CLOSE_TIME).await;
            drop(listener);
        }
    }

    /// Answers requests on a connection until either side closes it.
    async fn serve(self, mut stream: TcpStream, restarts: u64) {
        while let Some(head) = read_request(&mut stream).await {
            let parts = header(&head, "x-prefix-hash").unwrap_or_default();
            let path = head.split_whitespace().nth(1).unwrap_or_default();
            let mark = format!("{path} {parts}");
            let is_bad = mark.contains(self.bad_part);
            self.requests.lock().unwrap().push((Instant::now(), mark));
            // Every third crash ends the process before the head goes out.
            let has_head = !is_bad || restarts % 3 != 2;
            let answer_head = format!("{}transfer-encoding: chunked\r\n\r\n", answer_head(&head));
            if has_head && stream.write_all(answer_head.as_bytes()).await.is_err() {
                return;
            }
            if is_bad {
                tokio::time::sleep(EVENT_PAUSE).await;
                self.crash();
                return std::future::pending().await;
            }
            let last = header(&head, "last-event-id").and_then(|v| v.parse().ok());
            for event in last.unwrap_or(0) + 1..=EVENTS {
                tokio::time::sleep(EVENT_PAUSE).await;
                let text = event_text(event, event);
                let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                if stream.write_all(chunk.as_bytes()).await.is_err() {
                    return;
                }
            }
            if stream.write_all(b"0\r\n\r\n").await.is_err() {
                return;
            }
        }
    }
}

/// Times of all crashes, in order.
pub fn crash_times(upstreams: &[Upstream]) -> Vec<Instant> {
    let times = upstreams.iter().flat_map(|u| u.crashes.lock().unwrap().clone());
    let mut times: Vec<Instant> = times.collect();
    times.sort();
    times
}
