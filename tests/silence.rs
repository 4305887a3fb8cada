//! Sound upstreams that fall silent for a second or so and then go on.

mod site;

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use site::events;
use site::raw::Step;
use site::raw::answer_head;
use site::raw::event_text;
use site::raw::header;
use site::raw::resumed_after;
use site::raw::send;
use site::raw::site_with_raw_upstreams;
use site::raw::stream_with_silence;

/// Longer than the 2 s after which an answer to a request with a latency objective of 500 ms counts as late.
const SLOW_HEAD: Duration = Duration::from_millis(2_600);

/// Refusal of a request that was not executed.
fn not_executed() -> Vec<Step> {
    vec![Step::Send(
        "HTTP/1.1 503 Service Unavailable\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n".to_owned(),
    )]
}

async fn assert_whole_stream(number: u8, path: &str, script: fn(&str) -> Vec<Step>) -> Vec<String> {
    let (site, upstreams) = site_with_raw_upstreams(number, script).await;
    let answer = send(&site, path).await;
    let (status, body) = answer.expect("the answer was cut while its upstream paused");
    assert_eq!((status, events(&body)), (200, (1..=10).collect::<Vec<u64>>()));
    resumed_after(&upstreams)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_stream_that_may_not_be_resumed_is_not_cut() {
    assert_whole_stream(171, "/stream/1", stream_with_silence).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_stream_is_not_cut_when_no_upstream_takes_it_over() {
    let script = |head: &str| match header(head, "last-event-id") {
        None => stream_with_silence(head),
        Some(_) => not_executed(),
    };
    assert_whole_stream(172, "/resumable/1", script).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_stream_is_not_cut_when_the_resumed_run_is_silent_too() {
    let script = |head: &str| match header(head, "last-event-id") {
        None => stream_with_silence(head),
        Some(_) => vec![Step::Pause(Duration::from_secs(8))],
    };
    let resumed = assert_whole_stream(173, "/resumable/1", script).await;
    assert_eq!(resumed, ["4"]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_stream_is_not_cut_when_the_resumed_run_breaks() {
    let script = |head: &str| match header(head, "last-event-id") {
        None => stream_with_silence(head),
        Some(_) => vec![Step::Pause(Duration::from_millis(100)), Step::Reset],
    };
    let resumed = assert_whole_stream(174, "/resumable/1", script).await;
    assert_eq!(resumed, ["4"]);
}

/// An upstream that never goes on must still be left in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_stays_silent_is_resumed_before_its_caller_leaves() {
    let script = |head: &str| match header(head, "last-event-id") {
        None => vec![
            Step::Send(format!("{}\r\n{}", answer_head(head), event_text(1, 4))),
            Step::Pause(Duration::from_secs(8)),
        ],
        Some(last) => {
            let rest = event_text(last.parse::<u64>().unwrap() + 1, 10);
            vec![
                Step::Send(format!("{}\r\n{rest}", answer_head(head))),
                Step::Close,
            ]
        }
    };
    let started = Instant::now();
    let (site, upstreams) = site_with_raw_upstreams(175, script).await;
    let site_ready = started.elapsed();
    let (status, body) = send(&site, "/resumable/1").await.expect("a complete answer");
    assert_eq!((status, events(&body)), (200, (1..=10).collect::<Vec<u64>>()));
    assert_eq!(resumed_after(&upstreams), ["4"]);
    // Callers leave after two seconds without an event.
    assert!(started.elapsed() < site_ready + Duration::from_secs(2));
}

/// Answers the first request after `SLOW_HEAD`, and refuses all others.
fn slow_then_refused(requests: &AtomicUsize, head: &str, answer: String) -> Vec<Step> {
    if requests.fetch_add(1, Ordering::Relaxed) > 0 {
        return not_executed();
    }
    vec![
        Step::Pause(SLOW_HEAD),
        Step::Send(format!("{}{answer}", answer_head(head))),
        Step::Close,
    ]
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_answer_is_not_given_up_when_no_upstream_takes_the_request_over() {
    let script = |head: &str| {
        static REQUESTS: AtomicUsize = AtomicUsize::new(0);
        slow_then_refused(&REQUESTS, head, "content-length: 5\r\n\r\nwhole".to_owned())
    };
    let (site, _upstreams) = site_with_raw_upstreams(176, script).await;
    let (status, body) = send(&site, "/lookup/1").await.expect("an answer");
    assert_eq!((status, body.as_ref()), (200, &b"whole"[..]));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_stream_is_not_given_up_when_no_upstream_takes_the_request_over() {
    let script = |head: &str| {
        static REQUESTS: AtomicUsize = AtomicUsize::new(0);
        slow_then_refused(&REQUESTS, head, format!("\r\n{}", event_text(1, 10)))
    };
    let (site, _upstreams) = site_with_raw_upstreams(177, script).await;
    let (status, body) = send(&site, "/resumable/1").await.expect("an answer");
    assert_eq!((status, events(&body)), (200, (1..=10).collect::<Vec<u64>>()));
}

/// An upstream that never answers must still be left in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_whose_upstream_stays_silent_is_sent_to_another_one() {
    let script = |head: &str| {
        static REQUESTS: AtomicUsize = AtomicUsize::new(0);
        if REQUESTS.fetch_add(1, Ordering::Relaxed) == 0 {
            return vec![Step::Pause(Duration::from_secs(8))];
        }
        let text = format!("{}content-length: 5\r\n\r\nwhole", answer_head(head));
        vec![Step::Send(text)]
    };
    let (site, _upstreams) = site_with_raw_upstreams(178, script).await;
    let (status, body) = send(&site, "/lookup/1").await.expect("an answer");
    assert_eq!((status, body.as_ref()), (200, &b"whole"[..]));
}

/// The other upstream has sent the head of its answer, but the first answer is whole earlier.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_answer_is_not_given_up_for_a_head_without_its_body() {
    let script = |head: &str| {
        static REQUESTS: AtomicUsize = AtomicUsize::new(0);
        let text = format!("{}content-length: 5\r\n\r\n", answer_head(head));
        if REQUESTS.fetch_add(1, Ordering::Relaxed) > 0 {
            return vec![Step::Send(text), Step::Pause(Duration::from_secs(8))];
        }
        vec![Step::Pause(SLOW_HEAD), Step::Send(format!("{text}whole"))]
    };
    let (site, _upstreams) = site_with_raw_upstreams(201, script).await;
    let started = Instant::now();
    let (status, body) = send(&site, "/lookup/1").await.expect("an answer");
    assert_eq!((status, body.as_ref()), (200, &b"whole"[..]));
    // The caller leaves at its deadline of 4 s.
    assert!(started.elapsed() < Duration::from_millis(3_800));
}

/// A caller that leaves a silent stream must not make its upstream count as sound.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstream_that_was_silent_until_its_caller_left_gets_no_request_at_once() {
    let script = |head: &str| match header(head, "x-target-replica") {
        Some("desk0") => vec![
            Step::Send(format!("{}\r\n", answer_head(head))),
            Step::Pause(Duration::from_secs(8)),
        ],
        _ => vec![
            Step::Send(format!("{}\r\n{}", answer_head(head), event_text(1, 10))),
            Step::Close,
        ],
    };
    let (site, _upstreams) = site_with_raw_upstreams(202, script).await;
    // Of two idle upstreams, the first one is chosen.
    let leaving = tokio::time::timeout(Duration::from_millis(2_500), send(&site, "/stream/1"));
    assert!(leaving.await.is_err(), "the silent upstream was not chosen");
    // The gateway notices within this time that its caller has left.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let (status, body) = send(&site, "/stream/2").await.expect("a complete answer");
    assert_eq!((status, events(&body)), (200, (1..=10).collect::<Vec<u64>>()));
}
