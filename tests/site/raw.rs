//! Upstream of a plain service that answers with bytes given by the test, at the level of TCP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use serde_json::Value;
use serde_json::json;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::ACCOUNT_KEY;
use super::STATE_TIMEOUT;
use super::Site;
use super::Vm;
use super::document;

/// What a raw upstream does next on a connection.
#[derive(Clone, Debug)]
pub enum Step {
    Send(String),
    Pause(Duration),
    /// Repeats the text until the peer closes the connection.
    SendWithoutEnd(String, Duration),
    Close,
    Reset,
}

type Script = dyn Fn(&str) -> Vec<Step> + Send + Sync;

/// Raw upstream; clones share its records.
#[derive(Clone)]
pub struct Upstream {
    pub address: SocketAddr,
    /// Head of each request, in lower case.
    pub heads: Arc<Mutex<Vec<String>>>,
    /// Bytes sent to peers, as far as their connections took them.
    pub bytes_sent: Arc<Mutex<usize>>,
    script: Arc<Script>,
}

impl Upstream {
    /// Starts an upstream that answers each request with the steps that `script` gives for its head.
    pub async fn start(script: impl Fn(&str) -> Vec<Step> + Send + Sync + 'static) -> Upstream {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let upstream = Upstream {
            address: listener.local_addr().unwrap(),
            heads: Arc::default(),
            bytes_sent: Arc::default(),
            script: Arc::new(script),
        };
        let acceptor = upstream.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(acceptor.clone().serve(stream));
            }
        });
        upstream
    }

    pub fn request_count(&self) -> usize {
        self.heads.lock().unwrap().len()
    }

    /// Answers requests on a connection until either side closes it.
    async fn serve(self, mut stream: TcpStream) {
        while let Some(head) = read_request(&mut stream).await {
            self.heads.lock().unwrap().push(head.clone());
            for step in (self.script)(&head) {
                if self.perform(&mut stream, step).await.is_none() {
                    return;
                }
            }
        }
    }

    /// Performs one step; returns none when the connection ends with it.
    async fn perform(&self, stream: &mut TcpStream, step: Step) -> Option<()> {
        match step {
            Step::Send(text) => self.send(stream, &text).await?,
            Step::Pause(time) => tokio::time::sleep(time).await,
            Step::SendWithoutEnd(text, pause) => loop {
                self.send(stream, &text).await?;
                if !pause.is_zero() {
                    tokio::time::sleep(pause).await;
                }
            },
            Step::Close => return None,
            Step::Reset => {
                let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                return None;
            }
        }
        Some(())
    }

    async fn send(&self, stream: &mut TcpStream, text: &str) -> Option<()> {
        stream.write_all(text.as_bytes()).await.ok()?;
        *self.bytes_sent.lock().unwrap() += text.len();
        Some(())
    }
}

/// Reads one request with its body; returns its head in lower case.
pub async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).to_lowercase();
    let length = header(&head, "content-length").and_then(|v| v.parse().ok());
    while bytes.len() < head_end + length.unwrap_or(0) {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

/// Value of a header in a head in lower case.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines();
    lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

/// Configuration with routes of each kind to the plain service.
pub fn document_with_plain_routes() -> String {
    let mut document: Value = serde_json::from_str(&document(3)).unwrap();
    let routes = document["routes"].as_array_mut().unwrap();
    let route = |name: &str, kind: &str| {
        json!({"name": name, "host": "a.example", "path-prefix": format!("/{name}/"), "type": kind,
               "timeout-ms": 4000, "target-latency-ms": 500, "target-gap-ms": 300, "max-attempts": 2,
               "service": "desk"})
    };
    let mut resumable = route("resumable", "streaming");
    resumable["stream-resume"] = json!(true);
    routes.extend([
        resumable,
        route("stream", "streaming"),
        route("lookup", "idempotent"),
        route("once", "non_idempotent"),
    ]);
    document.to_string()
}

/// Site with two raw upstreams of the plain service that both follow `script`.
pub async fn site_with_raw_upstreams(
    number: u8,
    script: impl Fn(&str) -> Vec<Step> + Clone + Send + Sync + 'static,
) -> (Site, Vec<Upstream>) {
    let site = Site::start(number);
    let mut upstreams = Vec::new();
    for i in 0..2 {
        let script = script.clone();
        let with_probe = move |head: &str| match head.contains(" /orders/") {
            true => vec![Step::Send(format!(
                "{}content-length: 0\r\n\r\n",
                answer_head(head)
            ))],
            false => script(head),
        };
        let upstream = Upstream::start(with_probe).await;
        let (id, address) = (format!("desk{i}"), upstream.address);
        Vm::announce(&id, "desk", address, Default::default(), site.controllers.clone());
        upstreams.push(upstream);
    }
    site.call_controllers("PUT", "/configuration", &document_with_plain_routes())
        .await
        .unwrap();
    let started = Instant::now();
    while upstreams.iter().any(|u| u.request_count() == 0) {
        assert!(
            started.elapsed() < STATE_TIMEOUT,
            "an upstream got no request in time"
        );
        let bearer = format!("Bearer {ACCOUNT_KEY}");
        // Two at a time, so that they go to different upstreams.
        let headers = [("authorization", bearer.as_str())];
        tokio::join!(
            site.send_request("/orders/0", &headers),
            site.send_request("/orders/1", &headers)
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    upstreams.iter().for_each(|u| u.heads.lock().unwrap().clear());
    (site, upstreams)
}

pub async fn send(site: &Site, path: &str) -> Option<(u16, Bytes)> {
    let bearer = format!("Bearer {ACCOUNT_KEY}");
    site.send_request(path, &[("authorization", &bearer)]).await
}

/// Head of a signed answer to the request with this head, without framing and without its last line.
pub fn answer_head(request: &str) -> String {
    let id = header(request, "x-attempt-id").unwrap_or_default();
    format!("HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-replica-signature: s\r\n")
}

/// Longer than the 900 ms after which a stream with a gap of 300 ms counts as silent.
pub const SILENCE: Duration = Duration::from_millis(1_300);

/// Stream of ten events that pauses after the fourth one.
pub fn stream_with_silence(head: &str) -> Vec<Step> {
    vec![
        Step::Send(format!("{}\r\n{}", answer_head(head), event_text(1, 4))),
        Step::Pause(SILENCE),
        Step::Send(event_text(5, 10)),
        Step::Close,
    ]
}

/// Events `first` to `last` of a stream.
pub fn event_text(first: u64, last: u64) -> String {
    (first..=last)
        .map(|i| format!("id: {i}\ndata: piece {i}\n\n"))
        .collect()
}

pub fn resumed_after(upstreams: &[Upstream]) -> Vec<String> {
    let heads = upstreams.iter().flat_map(|u| u.heads.lock().unwrap().clone());
    heads
        .filter_map(|h| header(&h, "last-event-id").map(str::to_owned))
        .collect()
}
