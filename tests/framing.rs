//! Answers of upstreams that are framed by their connection, or are broken off.

mod site;

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use site::ACCOUNT_KEY;
use site::Site;
use site::events;
use site::raw::Step;
use site::raw::Upstream;
use site::raw::answer_head;
use site::raw::event_text;
use site::raw::header;
use site::raw::resumed_after;
use site::raw::send;
use site::raw::site_with_raw_upstreams;

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
