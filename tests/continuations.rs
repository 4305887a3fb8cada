//! Streams that break off after some events, and what further upstreams answer to the request to go on.
//!
//! Whatever these answer: the caller has the events in order, and its answer looks complete only if it is.

mod site;

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use site::ACCOUNT_KEY;
use site::Site;
use site::raw::Step;
use site::raw::answer_head;
use site::raw::event_text;
use site::raw::header;
use site::raw::resumed_after;
use site::raw::site_with_raw_upstreams;

const LAST_CHUNK: &str = "\r\n0\r\n\r\n";

/// Answers a request with four events and a part of the fifth, and a request to go on with `continuation`,
/// which gets the head of a signed answer with the content type of the stream.
fn broken_stream(head: &str, continuation: impl Fn(&str) -> String) -> Vec<Step> {
    let stream_head = format!("{}content-type: text/event-stream\r\n", answer_head(head));
    let text = match header(head, "last-event-id") {
        None => format!("{stream_head}\r\n{}id: 5\nda", event_text(1, 4)),
        Some(_) => continuation(&stream_head),
    };
    vec![Step::Send(text), Step::Close]
}

/// Sends a request and reads all that comes on its connection.
async fn read_raw(site: &Site, path: &str) -> String {
    let mut stream = TcpStream::connect(site.gateway).await.unwrap();
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nauthorization: Bearer {ACCOUNT_KEY}\r\nx-attempt-id: a1\r\n\
         x-model: model\r\nx-deadline-ms: 4000\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    // A reset is an end, too.
    let _ = timeout(Duration::from_secs(6), stream.read_to_end(&mut answer)).await;
    String::from_utf8(answer).unwrap()
}

/// Asserts that the caller of a broken stream has its first four events, and an answer that is not complete.
async fn assert_broken_off(
    number: u8,
    continuation: impl Fn(&str) -> String + Clone + Send + Sync + 'static,
) {
    let script = move |head: &str| broken_stream(head, continuation.clone());
    let (site, upstreams) = site_with_raw_upstreams(number, script).await;
    let answer = read_raw(&site, "/resumable/1").await;
    assert_eq!(resumed_after(&upstreams), ["4"], "{answer}");
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert!(!answer.contains(LAST_CHUNK), "looks complete: {answer}");
    let (_, body) = answer.split_once("\r\n\r\n").expect("a head");
    let is_of_stream = |line: &&str| {
        let is_chunk_size = line.len() <= 4 && u32::from_str_radix(line, 16).is_ok();
        line.is_empty() || is_chunk_size || line.starts_with("id: ") || line.starts_with("data: piece ")
    };
    let foreign: Vec<&str> = body.lines().filter(|l| !is_of_stream(l)).collect();
    assert!(
        foreign.is_empty(),
        "bytes that are not of the stream: {foreign:?}"
    );
    assert_eq!(body.matches("id: ").count(), 4, "{answer}");
}

/// Guards against a broken stream that ends as complete when the run that goes on with it ends with its connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_continuation_without_framing_and_without_events_does_not_complete_a_stream() {
    assert_broken_off(211, |head| format!("{head}\r\n")).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_continuation_without_framing_that_repeats_events_does_not_complete_a_stream() {
    assert_broken_off(212, |head| format!("{head}\r\n{}", event_text(2, 4))).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_empty_continuation_does_not_complete_a_stream() {
    assert_broken_off(213, |head| format!("{head}content-length: 0\r\n\r\n")).await;
    assert_broken_off(214, |head| {
        format!("{head}transfer-encoding: chunked\r\n\r\n0\r\n\r\n")
    })
    .await;
}

/// What an upstream that fails may answer instead of the rest of the stream.
const ERROR_TEXT: &str = "{\"error\":\"out of memory\"}\n\n";

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_error_in_place_of_a_continuation_does_not_reach_the_caller() {
    for (number, status) in [
        (215, "500 Internal Server Error"),
        (216, "503 Service Unavailable"),
        (217, "404 Not Found"),
    ] {
        let error = move |head: &str| {
            let head = head.replace("200 OK", status);
            format!("{head}content-length: {}\r\n\r\n{ERROR_TEXT}", ERROR_TEXT.len())
        };
        assert_broken_off(number, error).await;
    }
}

/// Guards against an answer of another kind that becomes part of the stream because it has status 200.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_continuation_of_another_kind_does_not_reach_the_caller() {
    for (number, from, to) in [
        (218, "text/event-stream", "application/json"),
        (219, "content-type: text/event-stream\r\n", ""),
        (220, "200 OK", "203 Non-Authoritative Information"),
        (228, "content-type", "content-encoding: gzip\r\ncontent-type"),
    ] {
        let answer = move |head: &str| format!("{}\r\n{ERROR_TEXT}", head.replace(from, to));
        assert_broken_off(number, answer).await;
    }
}

/// The events of a stream have identifiers, so what has none is not a part of it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_event_without_identifier_in_a_continuation_does_not_reach_the_caller() {
    assert_broken_off(229, |head| format!("{head}\r\n{ERROR_TEXT}")).await;
}

/// A length that is larger than the body.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_continuation_that_is_shorter_than_its_length_does_not_complete_a_stream() {
    assert_broken_off(230, |head| format!("{head}content-length: 500\r\n\r\nid: 5\nda")).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_continuation_with_the_remaining_events_completes_a_stream() {
    let rest = |head: &str| format!("{head}\r\n:\n\n{}", event_text(5, 10));
    let script = move |head: &str| broken_stream(head, rest);
    let (site, _upstreams) = site_with_raw_upstreams(231, script).await;
    let answer = read_raw(&site, "/resumable/1").await;
    assert!(answer.ends_with(LAST_CHUNK), "{answer}");
    assert_eq!(answer.matches("data: piece ").count(), 10, "{answer}");
}
