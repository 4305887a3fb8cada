//! Upstreams of the product's own front end whose answers are none in the protocol, or have no end.

mod site;

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use heatherramp::adapters::memory::Memory;
use heatherramp::adapters::upstream;
use heatherramp::domain::memory::Kind;
use http::Method;
use site::raw::Step;
use site::raw::Upstream;
use site::raw::header;
use tokio::time::timeout;

/// Longest pause within an answer.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for an answer of a service.
const TIME_LIMIT: Duration = Duration::from_millis(1_500);
/// Bytes that three calls read: the largest answer of a service, and what the buffers of three connections hold, by
/// the default limits of Linux 4 MiB at the sender and 6 MiB at the receiver.
const MAX_BYTES_READ: usize = (16 + 3 * 10) << 20;

/// Calls a service, an engine, and for a report; returns what is taken for an answer in each case.
async fn call(upstream: &Upstream) -> [Option<String>; 3] {
    let memory = Memory::new(64 << 20, 0);
    let client = upstream::Client::default();
    let address = upstream.address.to_string();
    let request = upstream::Request {
        address: &address,
        id: "id",
        method: Method::POST,
        path: "/service",
        content_type: "text/plain",
        body: Bytes::from_static(b"body"),
        stall_timeout: STALL_TIMEOUT,
        time_limit: TIME_LIMIT,
        hold: memory.open(Kind::Answer, None),
    };
    let prompt = upstream::Prompt {
        address: &address,
        id: "id",
        group: 1,
        fence: 1,
        body: Bytes::from_static(b"{}"),
        resume: 0,
        stall_timeout: STALL_TIMEOUT,
    };
    let generation = async {
        let mut generation = upstream::generate(&client, prompt).await?;
        while generation.next().await?.is_some() {}
        Ok::<(), upstream::Error>(())
    };
    let service = upstream::call_service(&client, request).await;
    let generation = generation.await;
    let report = upstream::fetch_report(&client, &address, STALL_TIMEOUT).await;
    [
        service.ok().map(|answer| format!("{answer:?}")),
        generation.ok().map(|()| "whole generation".to_owned()),
        report.ok().map(|report| format!("{report:?}")),
    ]
}

/// Head of an answer with `status`, without framing and without its last line.
fn head_with(status: &str, request: &str) -> String {
    let id = header(request, "x-request-id").unwrap_or_default();
    format!("HTTP/1.1 {status} Text\r\nx-request-id: {id}\r\n")
}

/// Body that each of the calls takes for a whole one.
fn body_for(request: &str) -> String {
    match request.starts_with("get /report") {
        true => serde_json::to_string(&heatherramp::domain::membership::Report::default()).unwrap(),
        false => "data: [DONE]\n\n".to_owned(),
    }
}

/// Guards against statuses that are passed on, or taken for success, although no answer can have them.
#[tokio::test]
async fn a_status_that_no_answer_can_have_is_an_error() {
    for status in ["000", "099", "600", "999", "20", "2000", "abc", "101", "200"] {
        let script = move |request: &str| {
            let (head, body) = (head_with(status, request), body_for(request));
            vec![
                Step::Send(format!("{head}content-length: {}\r\n\r\n{body}", body.len())),
                Step::Close,
            ]
        };
        let upstream = Upstream::start(script).await;
        let answers = call(&upstream).await;
        let is_expected = |answer: &Option<String>| answer.is_some() == (status == "200");
        assert!(answers.iter().all(is_expected), "{status}: {answers:?}");
    }
}

/// Guards against an answer that is made up from a head that was broken off.
#[tokio::test]
async fn a_head_that_is_broken_off_is_an_error() {
    let whole = |request: &str| format!("{}content-length: 0\r\n", head_with("200", request));
    for cut in 0..=whole("x-request-id: id").len() {
        for end in [Step::Close, Step::Reset] {
            let script = move |request: &str| {
                let head = whole(request);
                let text = head[..cut.min(head.len())].to_owned();
                vec![
                    Step::Send(text),
                    Step::Pause(Duration::from_millis(1)),
                    end.clone(),
                ]
            };
            let upstream = Upstream::start(script).await;
            let answers = call(&upstream).await;
            assert!(answers.iter().all(Option::is_none), "{cut}: {answers:?}");
        }
    }
}

/// Guards against parts of an answer that have no end and hold the processor, memory or a call for long.
#[tokio::test]
async fn an_answer_without_end_is_given_up() {
    // What follows the head of an answer, which is left out if it follows none, again and again.
    let cases = [
        (None, "HTTP/1.1 100 Continue\r\n\r\n"),
        (None, "\r\n"),
        (None, "no answer "),
        (Some(""), "x-field: value\r\n"),
        (Some("transfer-encoding: chunked\r\n\r\n"), "0"),
        (Some("transfer-encoding: chunked\r\n\r\n1;"), "extension "),
        (
            Some("transfer-encoding: chunked\r\n\r\n0\r\n"),
            "x-trailer: value\r\n",
        ),
        (Some("\r\n"), "data: text without an end of its event "),
    ];
    for (start, text) in cases {
        let script = move |request: &str| {
            let head = start.map(|start| format!("{}{start}", head_with("200", request)));
            vec![
                Step::Send(head.unwrap_or_default()),
                Step::SendWithoutEnd(text.repeat(8_192 / text.len()), Duration::ZERO),
            ]
        };
        let upstream = Upstream::start(script).await;
        let started = Instant::now();
        let answers = timeout(Duration::from_secs(10), call(&upstream)).await;
        let sent = *upstream.bytes_sent.lock().unwrap();
        println!("{start:?} {text:?}: {:?}, {sent} bytes", started.elapsed());
        let answers = answers.expect("an end");
        assert!(answers.iter().all(Option::is_none), "{text}: {answers:?}");
        assert!(sent < MAX_BYTES_READ, "{text}: {sent} bytes were read");
    }
}

/// Answers a call of a service with `text` again and again, within a budget of `limit` bytes; returns the time that the
/// call took and the holdings that the budget refused.
async fn call_without_end(text: &str, pause: Duration, limit: usize) -> (Duration, u64) {
    let text = text.to_owned();
    let script = move |request: &str| {
        vec![
            Step::Send(format!("{}\r\n", head_with("200", request))),
            Step::SendWithoutEnd(text.clone(), pause),
        ]
    };
    let upstream = Upstream::start(script).await;
    let memory = Memory::new(limit, 0);
    let request = upstream::Request {
        address: &upstream.address.to_string(),
        id: "id",
        method: Method::GET,
        path: "/",
        content_type: "text/plain",
        body: Bytes::new(),
        stall_timeout: STALL_TIMEOUT,
        time_limit: TIME_LIMIT,
        hold: memory.open(Kind::Answer, None),
    };
    let started = Instant::now();
    let client = upstream::Client::default();
    let answer = timeout(Duration::from_secs(10), upstream::call_service(&client, request)).await;
    assert!(answer.expect("an end").is_err());
    assert_eq!(memory.used_for(Kind::Answer), 0, "released with the call");
    (started.elapsed(), memory.refusals(Kind::Answer))
}

/// Guards against answers that hold a place at a replica for as long as their upstream sends single bytes.
#[tokio::test]
async fn an_answer_that_trickles_without_end_is_given_up() {
    let (took, refusals) = call_without_end("x", Duration::from_millis(50), 1 << 20).await;
    assert!(took >= TIME_LIMIT && took < TIME_LIMIT * 2, "{took:?}");
    assert_eq!(refusals, 0);
}

/// Guards against answers that together take more memory than the process may hold.
#[tokio::test]
async fn an_answer_beyond_the_memory_budget_is_given_up() {
    let (took, refusals) = call_without_end(&"x".repeat(8_192), Duration::ZERO, 2 << 20).await;
    assert!(took < TIME_LIMIT, "{took:?}");
    assert_eq!(refusals, 1);
}
