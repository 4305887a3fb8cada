//! Refusals that upstreams write again, or without showing that they have not run the request.

mod site;

use bytes::Bytes;

use site::Site;
use site::raw::Step;
use site::raw::Upstream;
use site::raw::answer_head;
use site::raw::header;
use site::raw::send;
use site::raw::site_with_raw_upstreams;

const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nx-not-executed: 1\r\ncontent-length: 0\r\n";

fn request_count(upstreams: &[Upstream]) -> usize {
    upstreams.iter().map(Upstream::request_count).sum()
}

async fn site_with_answer(
    number: u8,
    answer: impl Fn(&str) -> String + Clone + Send + Sync + 'static,
) -> (Site, Vec<Upstream>) {
    let script = move |head: &str| match head.contains(" /lookup/warm") {
        true => vec![Step::Send(format!(
            "{}content-length: 0\r\n\r\n",
            answer_head(head)
        ))],
        false => vec![Step::Send(answer(head))],
    };
    site_with_raw_upstreams(number, script).await
}

/// Guards against a second run of a request whose upstream has written the refusal of an earlier one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_of_another_request_is_not_believed() {
    for (number, mark) in [(221, "503 Service Unavailable"), (222, "421 Misdirected Request")] {
        let answer = move |_: &str| {
            format!(
                "HTTP/1.1 {mark}\r\nx-not-executed: 1\r\ncontent-length: 0\r\nx-attempt-id: earlier\r\n\r\n"
            )
        };
        let (site, upstreams) = site_with_answer(number, answer).await;
        let status = send(&site, "/once/1").await.map(|(status, _)| status);
        assert_eq!((status, request_count(&upstreams)), (Some(502), 1), "{mark}");
    }
}

/// An upstream repeats its refusal without the identifier that would show to which request it belongs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_without_identifier_is_not_believed_on_a_connection_that_was_used_before() {
    let (site, upstreams) = site_with_answer(223, |_| format!("{REFUSAL}\r\n")).await;
    for _ in 0..3 {
        let warm = tokio::join!(send(&site, "/lookup/warm"), send(&site, "/lookup/warm"));
        assert!(warm.0.is_some() && warm.1.is_some());
    }
    let before = request_count(&upstreams);
    let (status, _): (u16, Bytes) = send(&site, "/lookup/1").await.expect("an answer");
    assert_eq!(status, 502, "{} sends", request_count(&upstreams) - before);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_of_the_request_itself_is_believed() {
    let own = |head: &str| {
        let id = header(head, "x-attempt-id").unwrap_or_default();
        format!("{REFUSAL}x-attempt-id: {id}\r\n\r\n")
    };
    let (site, upstreams) = site_with_answer(224, own).await;
    let status = send(&site, "/once/1").await.map(|(status, _)| status);
    assert_eq!(status, Some(503));
    assert!(request_count(&upstreams) > 1, "not sent to the other upstream");
}

/// These statuses tell callers that the request has not run, which the upstream did not say.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_that_does_not_say_that_the_request_was_not_run_is_not_passed_on() {
    for (number, line) in [
        (225, "503 Service Unavailable"),
        (226, "429 Too Many Requests"),
        (227, "408 Request Timeout"),
    ] {
        let answer = move |head: &str| {
            let id = header(head, "x-attempt-id").unwrap_or_default();
            format!("HTTP/1.1 {line}\r\ncontent-length: 0\r\nx-attempt-id: {id}\r\n\r\n")
        };
        let (site, upstreams) = site_with_answer(number, answer).await;
        let status = send(&site, "/once/1").await.map(|(status, _)| status);
        assert_eq!((status, request_count(&upstreams)), (Some(502), 1), "{line}");
    }
}
