//! A resumed run without framing that ends before its first event, beside a run that is silent.

mod site;

use std::time::Duration;

use site::events;
use site::raw::Step;
use site::raw::answer_head;
use site::raw::event_text;
use site::raw::header;
use site::raw::send;
use site::raw::site_with_raw_upstreams;

/// The end of a connection does not show that nothing follows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_stream_is_not_ended_by_another_run_that_brings_nothing() {
    let script = |head: &str| match header(head, "last-event-id") {
        None => vec![
            Step::Send(format!("{}\r\n{}", answer_head(head), event_text(1, 4))),
            Step::Pause(Duration::from_millis(1_300)),
            Step::Send(event_text(5, 10)),
            Step::Close,
        ],
        Some(_) => vec![Step::Send(format!("{}\r\n", answer_head(head))), Step::Close],
    };
    let (site, _upstreams) = site_with_raw_upstreams(201, script).await;
    let (status, body) = send(&site, "/resumable/1").await.expect("a complete answer");
    assert_eq!((status, events(&body)), (200, (1..=10).collect::<Vec<u64>>()));
}
