//! Answers of upstreams that are framed by their connection, or are broken off.

mod site;

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use heatherramp::cli;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use site::ACCOUNT_KEY;
use site::STATE_TIMEOUT;
use site::Site;
use site::Vm;
use site::document;
use site::events;
use site::raw::Step;
use site::raw::Upstream;
use site::raw::header;

/// Configuration with routes of each kind to the plain service.
fn document_with_plain_routes() -> String {
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
    ]);
    document.to_string()
}

/// Site with two raw upstreams of the plain service that both follow `script`.
async fn site_with_raw_upstreams(
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

async fn send(site: &Site, path: &str) -> Option<(u16, Bytes)> {
    let bearer = format!("Bearer {ACCOUNT_KEY}");
    site.send_request(path, &[("authorization", &bearer)]).await
}

/// Head of a signed answer to the request with this head, without framing and without its last line.
fn answer_head(request: &str) -> String {
    let id = header(request, "x-attempt-id").unwrap_or_default();
    format!("HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-replica-signature: s\r\n")
}

/// Events `first` to `last` of a stream.
fn event_text(first: u64, last: u64) -> String {
    (first..=last)
        .map(|i| format!("id: {i}\ndata: piece {i}\n\n"))
        .collect()
}

/// Ends its first run without framing inside event 5, and completes a resumed run.
fn cut_inside_event(head: &str) -> Vec<Step> {
    let text = match header(head, "last-event-id") {
        None => format!("{}id: 5\nda", event_text(1, 4)),
        Some(last) => event_text(last.parse::<u64>().unwrap() + 1, 10),
    };
    vec![
        Step::Send(format!("{}\r\n", answer_head(head))),
        Step::Send(text),
        Step::Close,
    ]
}

fn resumed_after(upstreams: &[Upstream]) -> Vec<String> {
    let heads = upstreams.iter().flat_map(|u| u.heads.lock().unwrap().clone());
    heads
        .filter_map(|h| header(&h, "last-event-id").map(str::to_owned))
        .collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unframed_stream_cut_inside_an_event_is_resumed() {
    let (site, upstreams) = site_with_raw_upstreams(81, cut_inside_event).await;
    let (status, body) = send(&site, "/resumable/1").await.expect("a complete answer");
    assert_eq!((status, events(&body)), (200, (1..=10).collect::<Vec<u64>>()));
    assert_eq!(resumed_after(&upstreams), ["4"]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unframed_stream_cut_inside_an_event_does_not_look_complete() {
    let (site, upstreams) = site_with_raw_upstreams(82, cut_inside_event).await;
    let answer = send(&site, "/stream/1").await;
    assert!(answer.is_none(), "the answer looks complete: {answer:?}");
    assert_eq!(
        resumed_after(&upstreams),
        [""; 0],
        "this route does not allow a resume"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unframed_stream_that_ends_after_an_event_is_complete() {
    let whole = |head: &str| {
        vec![
            Step::Send(format!("{}\r\n{}", answer_head(head), event_text(1, 10))),
            Step::Close,
        ]
    };
    let (site, upstreams) = site_with_raw_upstreams(83, whole).await;
    let (status, body) = send(&site, "/resumable/1").await.expect("a complete answer");
    assert_eq!((status, events(&body)), (200, (1..=10).collect::<Vec<u64>>()));
    assert_eq!(
        resumed_after(&upstreams),
        [""; 0],
        "a complete stream was resumed"
    );
}

/// An upstream that crashes may send the head of an answer without framing and nothing after it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unframed_stream_without_any_event_is_sent_again() {
    let script = |head: &str| {
        // The second attempt arrives later, so that the first one has ended.
        static REQUESTS: AtomicUsize = AtomicUsize::new(0);
        let text = match REQUESTS.fetch_add(1, Ordering::Relaxed) {
            0 => String::new(),
            _ => event_text(1, 10),
        };
        vec![
            Step::Send(format!("{}\r\n{text}", answer_head(head))),
            Step::Close,
        ]
    };
    let (site, _upstreams) = site_with_raw_upstreams(84, script).await;
    let (status, body) = send(&site, "/resumable/1").await.expect("a complete answer");
    assert_eq!((status, events(&body)), (200, (1..=10).collect::<Vec<u64>>()));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_framed_stream_that_ends_inside_an_event_does_not_look_complete() {
    let script = |head: &str| {
        let text = format!("{}id: 5\nda", event_text(1, 4));
        let length = text.len();
        let head = answer_head(head);
        vec![Step::Send(format!(
            "{head}content-length: {length}\r\n\r\n{text}"
        ))]
    };
    let (site, _upstreams) = site_with_raw_upstreams(85, script).await;
    let answer = send(&site, "/stream/1").await;
    assert!(answer.is_none(), "the answer looks complete: {answer:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unframed_answer_is_complete_at_its_end_and_broken_off_by_a_reset() {
    let script = |head: &str| {
        let start = Step::Send(format!("{}\r\npart of the answer", answer_head(head)));
        let pause = Step::Pause(Duration::from_millis(50));
        match head.contains(" /lookup/whole") {
            true => vec![start, pause, Step::Send(", and its end".to_owned()), Step::Close],
            false => vec![start, pause, Step::Reset],
        }
    };
    let (site, _upstreams) = site_with_raw_upstreams(86, script).await;
    let (status, body) = send(&site, "/lookup/whole").await.expect("an answer");
    assert_eq!(
        (status, body.as_ref()),
        (200, &b"part of the answer, and its end"[..])
    );
    let (status, _) = send(&site, "/lookup/reset").await.expect("an answer");
    assert_eq!(status, 502);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_cut_by_an_upstream_of_http_1_0_does_not_look_complete() {
    let script = |head: &str| {
        let head = answer_head(head).replace("HTTP/1.1", "HTTP/1.0");
        vec![
            Step::Send(format!("{head}\r\n{}id: 5\nda", event_text(1, 4))),
            Step::Close,
        ]
    };
    let (site, _upstreams) = site_with_raw_upstreams(87, script).await;
    let answer = send(&site, "/stream/1").await;
    assert!(answer.is_none(), "the answer looks complete: {answer:?}");
}

/// An answer to a caller of HTTP/1.0 ends with its connection, so only a reset shows that it was cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cut_stream_does_not_look_complete_to_a_caller_of_http_1_0() {
    let script = |head: &str| {
        let end = match head.contains(" /stream/whole") {
            true => String::new(),
            false => "id: 11\nda".to_owned(),
        };
        vec![
            Step::Send(format!("{}\r\n{}", answer_head(head), event_text(1, 10))),
            Step::Pause(Duration::from_millis(50)),
            Step::Send(end),
            Step::Close,
        ]
    };
    let (site, _upstreams) = site_with_raw_upstreams(88, script).await;
    let whole = send_http_1_0(&site, "/stream/whole")
        .await
        .expect("a complete answer");
    assert_eq!(events(&Bytes::from(whole)).len(), 10);
    let cut = send_http_1_0(&site, "/stream/cut").await;
    assert_eq!(
        cut.map_err(|e| e.kind()),
        Err(std::io::ErrorKind::ConnectionReset)
    );
}

/// Sends a request of HTTP/1.0 and reads until its connection ends; returns the body.
async fn send_http_1_0(site: &Site, path: &str) -> std::io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(site.gateway).await?;
    let request = format!(
        "POST {path} HTTP/1.0\r\nhost: a.example\r\nauthorization: Bearer {ACCOUNT_KEY}\r\n\
         x-attempt-id: a1\r\nx-deadline-ms: 4000\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    let body = answer.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
    Ok(answer.split_off(body))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_body_without_end_is_given_up() {
    assert_bounded(
        89,
        "/lookup/1",
        without_end("{signed}\r\n", &TEXT_WITHOUT_EVENT.repeat(64)),
    )
    .await;
}

/// Script that sends bytes until the gateway closes the connection.
fn without_end(start: &'static str, text: &str) -> impl Fn(&str) -> Vec<Step> + Clone + use<> {
    let text = text.to_owned();
    move |head| {
        let start = start.replace("{signed}", &answer_head(head));
        vec![
            Step::Send(start),
            Step::SendWithoutEnd(text.clone(), Duration::ZERO),
        ]
    }
}

/// Sends one request to upstreams that send without end; it must fail before its deadline, with a
/// bounded number of bytes read.
async fn assert_bounded(
    number: u8,
    path: &str,
    script: impl Fn(&str) -> Vec<Step> + Clone + Send + Sync + 'static,
) {
    let (site, upstreams) = site_with_raw_upstreams(number, script).await;
    let started = Instant::now();
    let answer = timeout(Duration::from_secs(6), send(&site, path)).await;
    let answer = answer.expect("an end of the answer");
    let took = started.elapsed();
    assert!(
        answer.as_ref().is_none_or(|(status, _)| *status == 502),
        "status {:?}",
        answer.map(|a| a.0)
    );
    assert!(
        took < Duration::from_millis(3_500),
        "given up only after {took:?}"
    );
    for upstream in &upstreams {
        let sent = *upstream.bytes_sent.lock().unwrap();
        assert!(sent < MAX_BYTES_READ, "{sent} bytes were read");
    }
}

const TEXT_WITHOUT_EVENT: &str = "data: a line of an event that never ends, 64 bytes in all ......\n";

/// Bytes that count as read: those of the largest answer, and what sockets and buffers hold.
const MAX_BYTES_READ: usize = 32 << 20;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_event_without_end_is_given_up() {
    assert_bounded(
        90,
        "/stream/1",
        without_end("{signed}\r\n", &TEXT_WITHOUT_EVENT.repeat(64)),
    )
    .await;
}

/// Such a stream keeps its connection busy, so the time since the last byte does not show that it stalls.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_sends_bytes_but_no_events_is_resumed() {
    let script = |head: &str| match header(head, "last-event-id") {
        None => vec![
            Step::Send(format!("{}\r\n{}", answer_head(head), event_text(1, 4))),
            Step::SendWithoutEnd("d".to_owned(), Duration::from_millis(100)),
        ],
        Some(last) => {
            let rest = event_text(last.parse::<u64>().unwrap() + 1, 10);
            vec![
                Step::Send(format!("{}\r\n{rest}", answer_head(head))),
                Step::Close,
            ]
        }
    };
    let (site, upstreams) = site_with_raw_upstreams(93, script).await;
    let started = Instant::now();
    let (status, body) = send(&site, "/resumable/1").await.expect("a complete answer");
    assert_eq!((status, events(&body)), (200, (1..=10).collect::<Vec<u64>>()));
    assert_eq!(resumed_after(&upstreams), ["4"]);
    assert!(
        started.elapsed() < Duration::from_secs(2),
        "a caller leaves after 2 s without an event"
    );
}

/// Events without end, faster than the caller reads them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_without_end_ends_at_its_deadline() {
    let text = "data: the same event again and again\n\n";
    let (site, _upstreams) = site_with_raw_upstreams(94, without_end("{signed}\r\n", &text.repeat(64))).await;
    let started = Instant::now();
    let answer = timeout(Duration::from_secs(6), send(&site, "/stream/1")).await;
    assert_eq!(answer, Ok(None), "a stream that was cut looks complete");
    // The deadline is 4 s, and the last events may wait in buffers.
    assert!(
        started.elapsed() < Duration::from_secs(5),
        "{:?}",
        started.elapsed()
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_head_without_end_is_given_up() {
    assert_bounded(
        91,
        "/lookup/1",
        without_end("HTTP/1.1 200 OK\r\nx-field: ", TEXT_OF_A_FIELD),
    )
    .await;
    assert_bounded(
        92,
        "/lookup/1",
        without_end("HTTP/1.1 200 OK\r\n", "x-field: value\r\n"),
    )
    .await;
}

const TEXT_OF_A_FIELD: &str = "a field value that never ends, with no line end in it, 64 bytes.";

/// The operator command calls control processes by the same means.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_operator_command_gives_up_an_answer_without_end() {
    for pause in [Duration::ZERO, Duration::from_millis(100)] {
        let script = move |_: &str| {
            let text = "x".repeat(4_096);
            let head = "HTTP/1.1 200 OK\r\n\r\n".to_owned();
            vec![Step::Send(head), Step::SendWithoutEnd(text, pause)]
        };
        let control = Upstream::start(script).await;
        let address = control.address.to_string();
        let matches = cli::command().get_matches_from(["heatherramp", "--control", &address, "status"]);
        let status = timeout(Duration::from_secs(9), cli::run(&matches)).await;
        assert!(status.expect("an end").is_err());
        assert!(*control.bytes_sent.lock().unwrap() < MAX_BYTES_READ);
    }
}

/// Without identifiers a further run cannot be asked for the rest only.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cut_stream_of_events_without_identifiers_is_not_run_again_into_the_same_answer() {
    let script = |head: &str| {
        let text = "data: piece\n\ndata: pie";
        vec![
            Step::Send(format!("{}\r\n{text}", answer_head(head))),
            Step::Close,
        ]
    };
    let (site, upstreams) = site_with_raw_upstreams(95, script).await;
    let answer = send(&site, "/resumable/1").await;
    assert!(answer.is_none(), "the answer looks complete: {answer:?}");
    let requests: usize = upstreams.iter().map(Upstream::request_count).sum();
    assert_eq!(requests, 1, "two runs were joined in one answer");
}
