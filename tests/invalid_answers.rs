//! Upstreams in trouble whose answers are none in the protocol, or never come to an end.

mod partition;
mod site;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use partition::Cut;
use partition::Links;
use site::ACCOUNT_KEY;
use site::STATE_TIMEOUT;
use site::Site;
use site::call;
use site::raw::Step;
use site::raw::answer_head;
use site::raw::send;
use site::raw::site_with_raw_upstreams;

/// Bytes that count as read: those of the largest answer, and what sockets and buffers hold.
const MAX_BYTES_READ: usize = 32 << 20;

/// Script that answers only the requests of every second send with `steps`, so that another send can help.
fn alternating(
    steps: impl Fn(&str) -> Vec<Step> + Clone + Send + Sync + 'static,
) -> impl Fn(&str) -> Vec<Step> + Clone + Send + Sync + 'static {
    let sends = Arc::new(AtomicUsize::new(0));
    move |head| {
        let is_faulty = !head.contains("/lookup/") || sends.fetch_add(1, Ordering::Relaxed).is_multiple_of(2);
        match is_faulty {
            true => steps(head),
            false => vec![Step::Send(format!(
                "{}content-length: 2\r\n\r\nok",
                answer_head(head)
            ))],
        }
    }
}

/// Part of a path that selects the case of a script.
fn case_number(head: &str) -> usize {
    let path = head.split(' ').nth(1).unwrap();
    path.rsplit('/').next().unwrap().parse().unwrap()
}

/// Sends the requests of all cases. What may be repeated must be answered by another target, as far as the retry
/// budget goes, and all else by an error.
async fn assert_errors(site: &Site, cases: usize) {
    let repeated = cases.div_ceil(16);
    for case in 0..cases {
        for route in ["lookup", "once", "stream"] {
            if route == "lookup" && case % repeated != 0 {
                continue;
            }
            let answer = send(site, &format!("/{route}/{case}")).await;
            let status = answer.as_ref().map(|(status, _)| *status);
            match route {
                "lookup" => assert_eq!(status, Some(200), "case {case}"),
                _ => assert!(
                    matches!(status, Some(502 | 504)),
                    "case {case} of {route}: {answer:?}"
                ),
            }
        }
    }
}

/// Guards against statuses that are passed on although no answer can have them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_status_that_no_answer_can_have_is_an_error() {
    const STATUSES: [&str; 13] = [
        "000", "007", "099", "600", "700", "999", "20", "2", "2000", "abc", "-20", "101", "",
    ];
    let script = |head: &str| {
        let status = STATUSES[case_number(head)];
        let head = answer_head(head).replace("HTTP/1.1 200 OK", &format!("HTTP/1.1 {status} Text"));
        vec![Step::Send(format!("{head}content-length: 4\r\n\r\nbody"))]
    };
    let (site, _upstreams) = site_with_raw_upstreams(151, alternating(script)).await;
    assert_errors(&site, STATUSES.len()).await;
}

/// Guards against an answer that is made up from a head that was broken off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_that_is_broken_off_is_an_error() {
    let head_of = |head: &str, is_framed: bool| match is_framed {
        true => format!("{}content-length: 4\r\n", answer_head(head)),
        false => answer_head(head),
    };
    let cases = 2 * head_of("x-attempt-id: a1", true).len();
    let script = move |head: &str| {
        let case = case_number(head);
        let (cut, is_reset) = (case / 2, case % 2 == 1);
        let answer = head_of(head, cut % 2 == 0);
        let end = if is_reset { Step::Reset } else { Step::Close };
        let cut = cut.min(answer.len() + 1);
        let answer = format!("{answer}\r\n")[..cut].to_owned();
        vec![Step::Send(answer), Step::Pause(Duration::from_millis(1)), end]
    };
    let (site, _upstreams) = site_with_raw_upstreams(152, alternating(script)).await;
    assert_errors(&site, cases).await;
}

/// Guards against parts of an answer that have no end and grow in memory, or hold a request beyond its time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_without_end_costs_one_attempt() {
    // Start of the answer, "{head}" for the head of a signed one, and what follows again and again.
    const CASES: [(&str, &str); 11] = [
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("", "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"),
        ("", "\r\n"),
        ("", "no answer "),
        ("HTTP/1.1 200 ", "text "),
        ("HTTP/1.1 200 OK\r\n", "x-field: value\r\n"),
        ("HTTP/1.1 200 OK\r\nx-field: ", "value "),
        ("{head}transfer-encoding: chunked\r\n\r\n", "0"),
        ("{head}transfer-encoding: chunked\r\n\r\n1;", "extension "),
        (
            "{head}transfer-encoding: chunked\r\n\r\n0\r\n",
            "x-trailer: value\r\n",
        ),
        ("{head}transfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
    ];
    let script = |head: &str| {
        let (start, text) = CASES[case_number(head)];
        let start = start.replace("{head}", &answer_head(head));
        let repeats = 8_192 / text.len();
        vec![
            Step::Send(start),
            Step::SendWithoutEnd(text.repeat(repeats), Duration::ZERO),
        ]
    };
    let (site, upstreams) = site_with_raw_upstreams(153, alternating(script)).await;
    for (case, (start, text)) in CASES.iter().enumerate() {
        for route in ["lookup", "once"] {
            let context = format!("{route} {start:?} {text:?}");
            upstreams.iter().for_each(|u| *u.bytes_sent.lock().unwrap() = 0);
            let started = Instant::now();
            let path = format!("/{route}/{case}");
            let bystander = async {
                tokio::time::sleep(Duration::from_millis(5)).await;
                let answer = send(&site, "/orders/1").await;
                (answer.map(|(status, _)| status), started.elapsed())
            };
            let (answer, (other_status, other_took)) = tokio::join!(send(&site, &path), bystander);
            let sent: usize = upstreams.iter().map(|u| *u.bytes_sent.lock().unwrap()).sum();
            let status = answer.map(|(status, _)| status);
            let is_expected = match route {
                "lookup" => matches!(status, Some(200 | 502 | 504)),
                _ => matches!(status, Some(502 | 504)),
            };
            assert!(is_expected, "{context}: {status:?}");
            // The deadline is 4 s.
            assert!(started.elapsed() < Duration::from_secs(5), "{context}");
            assert!(sent < MAX_BYTES_READ, "{context}: {sent} bytes were read");
            assert_eq!(other_status, Some(200), "{context}: another request");
            assert!(other_took < Duration::from_secs(2), "{context}: {other_took:?}");
        }
    }
}

/// Some answers that are none: a status, a head that is broken off, interim answers without end.
fn invalid_answer(head: &str, case: usize) -> Vec<Step> {
    let whole = answer_head(head);
    match case {
        0 => vec![Step::Send(format!(
            "{}content-length: 0\r\n\r\n",
            whole.replace("200 OK", "999 Text")
        ))],
        1 => vec![Step::Send(whole), Step::Close],
        _ => vec![Step::SendWithoutEnd(
            "HTTP/1.1 100 Continue\r\n\r\n".repeat(300),
            Duration::ZERO,
        )],
    }
}

/// Guards against a second answer that is none and ends the wait for a first, late one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_answer_is_not_given_up_for_a_second_one_that_is_invalid() {
    const SLOW_HEAD: Duration = Duration::from_millis(2_600);
    let sends: Arc<[AtomicUsize; 3]> = Arc::default();
    let script = move |head: &str| {
        let case = case_number(head);
        if sends[case].fetch_add(1, Ordering::Relaxed) > 0 {
            return invalid_answer(head, case);
        }
        let answer = format!("{}content-length: 5\r\n\r\nwhole", answer_head(head));
        vec![Step::Pause(SLOW_HEAD), Step::Send(answer)]
    };
    let (site, upstreams) = site_with_raw_upstreams(158, script).await;
    for case in 0..3 {
        let (status, body) = send(&site, &format!("/lookup/{case}")).await.expect("an answer");
        assert_eq!((status, body.as_ref()), (200, &b"whole"[..]), "case {case}");
    }
    let requests: usize = upstreams.iter().map(|u| u.request_count()).sum();
    assert!(requests > 3, "no second send");
}

/// The same over another gateway's connection, for one that can't reach the upstreams itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_invalid_answer_over_a_helper_is_an_error() {
    let script = |head: &str| invalid_answer(head, case_number(head));
    let (site, _upstreams) = site_with_raw_upstreams(159, script).await;
    let cut = Cut::start(&site, "cut").await;
    cut.set(Links::Refuse);
    let bearer = format!("Bearer {ACCOUNT_KEY}");
    let headers = [
        ("x-attempt-id", "a1"),
        ("x-deadline-ms", "4000"),
        ("authorization", bearer.as_str()),
    ];
    let started = Instant::now();
    while call(cut.address, "POST", "/orders/1", "", &headers)
        .await
        .is_none_or(|(status, _)| status != 200)
    {
        assert!(started.elapsed() < STATE_TIMEOUT, "no detour");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for case in 0..3 {
        let started = Instant::now();
        let answer = call(cut.address, "POST", &format!("/once/{case}"), "", &headers).await;
        let status = answer.map(|(status, _)| status);
        assert!(matches!(status, Some(502 | 504)), "case {case}: {status:?}");
        assert!(started.elapsed() < Duration::from_secs(5), "case {case}");
        let sound = call(cut.address, "POST", "/orders/1", "", &headers).await;
        assert_eq!(sound.map(|(status, _)| status), Some(200), "after case {case}");
    }
}
