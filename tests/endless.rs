//! Upstreams and control processes in trouble that send bytes without end, or that never end an event.

mod site;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use heatherramp::adapters::http1;
use heatherramp::cli;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use site::events;
use site::raw::Step;
use site::raw::Upstream;
use site::raw::answer_head;
use site::raw::event_text;
use site::raw::header;
use site::raw::resumed_after;
use site::raw::send;
use site::raw::site_with_raw_upstreams;

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

const TEXT_OF_A_FIELD: &str = "a field value that never ends, with no line end in it, 64 bytes.";

/// Bytes that count as read: those of the largest answer, and what sockets and buffers hold.
const MAX_BYTES_READ: usize = 32 << 20;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_body_without_end_is_given_up() {
    assert_bounded(
        89,
        "/lookup/1",
        without_end("{signed}\r\n", &TEXT_WITHOUT_EVENT.repeat(64)),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_event_without_end_is_given_up() {
    assert_bounded(
        90,
        "/stream/1",
        without_end("{signed}\r\n", &TEXT_WITHOUT_EVENT.repeat(64)),
    )
    .await;
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

/// Guards against a chunk whose size has no end: leading zeros of it, or blanks after it, held an attempt until the
/// deadline of its request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_chunk_size_without_end_is_given_up() {
    const FIRST_CHUNK: &str = "{signed}transfer-encoding: chunked\r\n\r\n5\r\nfirst\r\n";
    let text = |byte: &str| byte.repeat(8_192);
    assert_bounded(240, "/lookup/1", without_end(FIRST_CHUNK, &text("0"))).await;
    assert_bounded(
        241,
        "/lookup/1",
        without_end("{signed}transfer-encoding: chunked\r\n\r\n1", &text(" ")),
    )
    .await;
    assert_bounded(242, "/stream/1", without_end(FIRST_CHUNK, &text("0"))).await;
}

/// Server that collects the body of each request, and answers with its length.
async fn collecting_server() -> SocketAddr {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let answer_with_length = |request: http::Request<_>| async {
        let body = http1::collect(request.into_body(), MAX_BYTES_READ).await;
        http::Response::new(http1::Body::whole(format!("{:?}", body.map(|b| b.len()))))
    };
    let server = http1::serve(address, 8 << 10, Duration::from_secs(30), answer_with_length).await;
    server.unwrap().address
}

/// The same from a caller.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_with_a_chunk_size_without_end_is_given_up() {
    let mut stream = TcpStream::connect(collecting_server().await).await.unwrap();
    let head = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let text = "0".repeat(8_192);
    let mut sent = 0;
    while stream.write_all(text.as_bytes()).await.is_ok() {
        sent += text.len();
        assert!(sent < MAX_BYTES_READ, "{sent} bytes were read");
    }
}

/// Guards against a limit on what lies between the parts of a body that counts the parts themselves.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_of_many_small_chunks_is_read_to_its_end() {
    const CHUNKS: usize = 1 << 20;
    let mut stream = TcpStream::connect(collecting_server().await).await.unwrap();
    let head = "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n";
    let request = format!("{head}{}0\r\n\r\n", "1\r\nx\r\n".repeat(CHUNKS));
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.ends_with(&format!("Ok({CHUNKS})")), "{answer}");
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
