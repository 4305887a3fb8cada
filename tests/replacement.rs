//! Sends beside one that is silent: what is given up for them, and how many there are.

mod site;

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use site::events;
use site::raw::Step;
use site::raw::answer_head;
use site::raw::event_text;
use site::raw::header;
use site::raw::resumed_after;
use site::raw::send;
use site::raw::site_with_raw_upstreams;
use site::raw::stream_with_silence;

/// Sends of one request that no upstream has executed, as in `gateway::dispatch`.
const MAX_UNEXECUTED_SENDS: usize = 3;

fn whole_stream() -> Vec<u64> {
    (1..=10).collect()
}

/// The head of an answer brings the caller nothing, so it does not replace a run that may go on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_stream_is_not_given_up_for_a_head_without_events() {
    let script = |head: &str| match header(head, "last-event-id") {
        None => stream_with_silence(head),
        Some(_) => vec![
            Step::Send(format!("{}\r\n", answer_head(head))),
            Step::Pause(Duration::from_secs(8)),
        ],
    };
    let (site, upstreams) = site_with_raw_upstreams(201, script).await;
    let (status, body) = send(&site, "/resumable/1").await.expect("a complete answer");
    assert_eq!((status, events(&body)), (200, whole_stream()));
    assert_eq!(resumed_after(&upstreams), ["4"]);
}

/// The send to the other upstream is the last that the route allows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_send_in_progress_is_not_given_up_when_the_silent_run_breaks() {
    let script = |head: &str| match header(head, "last-event-id") {
        None => vec![
            Step::Send(format!("{}\r\n{}", answer_head(head), event_text(1, 4))),
            Step::Pause(Duration::from_millis(1_000)),
            Step::Reset,
        ],
        Some(_) => vec![
            Step::Pause(Duration::from_millis(1_000)),
            Step::Send(format!("{}\r\n{}", answer_head(head), event_text(5, 10))),
            Step::Close,
        ],
    };
    let (site, upstreams) = site_with_raw_upstreams(202, script).await;
    let (status, body) = send(&site, "/resumable/1").await.expect("a complete answer");
    assert_eq!((status, events(&body)), (200, whole_stream()));
    assert_eq!(resumed_after(&upstreams), ["4"]);
}

/// Each refused send takes a retry that other requests of the service then lack.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_stream_is_sent_a_few_times_to_upstreams_that_refuse_it() {
    let script = |head: &str| match header(head, "last-event-id") {
        None => stream_with_silence(head),
        Some(_) => vec![Step::Send(
            "HTTP/1.1 503 Service Unavailable\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n".to_owned(),
        )],
    };
    let (site, upstreams) = site_with_raw_upstreams(203, script).await;
    let (status, body) = send(&site, "/resumable/1").await.expect("a complete answer");
    assert_eq!((status, events(&body)), (200, whole_stream()));
    let sends = resumed_after(&upstreams).len();
    assert!(sends <= MAX_UNEXECUTED_SENDS, "{sends} sends were refused");
}

/// The second upstream may have executed the request, which a 503 would deny.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_503_is_not_passed_on_after_a_later_send_of_unknown_outcome() {
    let script = |_: &str| {
        static REQUESTS: AtomicUsize = AtomicUsize::new(0);
        if REQUESTS.fetch_add(1, Ordering::Relaxed) > 0 {
            return vec![Step::Reset];
        }
        let text = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
        vec![Step::Send(text.to_owned())]
    };
    let (site, upstreams) = site_with_raw_upstreams(204, script).await;
    let (status, _) = send(&site, "/lookup/1").await.expect("an answer");
    assert_eq!(upstreams.iter().map(|u| u.request_count()).sum::<usize>(), 2);
    assert_eq!(status, 502);
}
