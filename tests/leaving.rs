//! Sends in progress when their caller leaves while one of them is silent.

mod site;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use site::raw::Step;
use site::raw::answer_head;
use site::raw::event_text;
use site::raw::header;
use site::raw::send;
use site::raw::site_with_raw_upstreams;

/// Time within which the work for a caller that has left must stop.
const STOP_LIMIT: Duration = Duration::from_millis(500);

/// Both runs of a stream are read when the caller leaves: one is silent, of the other only the head has come.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn both_runs_of_a_stream_stop_when_the_caller_leaves() {
    let resumed = Arc::new(AtomicUsize::new(0));
    let counter = resumed.clone();
    let script = move |head: &str| {
        let mut steps = vec![Step::Send(format!("{}\r\n", answer_head(head)))];
        match header(head, "last-event-id") {
            None => steps.push(Step::Send(event_text(1, 4))),
            Some(_) => {
                counter.fetch_add(1, Ordering::Relaxed);
            }
        }
        // Comments are bytes without an event.
        steps.push(Step::SendWithoutEnd(":\n".to_owned(), Duration::from_millis(20)));
        steps
    };
    let (site, upstreams) = site_with_raw_upstreams(202, script).await;
    let leaving = tokio::time::timeout(Duration::from_millis(1_500), send(&site, "/resumable/1"));
    assert!(leaving.await.is_err());
    assert_eq!(resumed.load(Ordering::Relaxed), 1);
    tokio::time::sleep(STOP_LIMIT).await;
    let sent = |i: usize| *upstreams[i].bytes_sent.lock().unwrap();
    let before = [sent(0), sent(1)];
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!([sent(0), sent(1)], before);
}

/// Two sends wait for a head when the caller leaves.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn both_sends_of_a_late_answer_stop_when_the_caller_leaves() {
    let script = |head: &str| {
        // A head without end.
        let start = Step::Send(answer_head(head));
        vec![
            start,
            Step::SendWithoutEnd("x".to_owned(), Duration::from_millis(20)),
        ]
    };
    let (site, upstreams) = site_with_raw_upstreams(203, script).await;
    let leaving = tokio::time::timeout(Duration::from_millis(2_500), send(&site, "/lookup/1"));
    assert!(leaving.await.is_err());
    assert_eq!(upstreams.iter().map(|u| u.request_count()).sum::<usize>(), 2);
    tokio::time::sleep(STOP_LIMIT).await;
    let sent = |i: usize| *upstreams[i].bytes_sent.lock().unwrap();
    let before = [sent(0), sent(1)];
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!([sent(0), sent(1)], before);
}
