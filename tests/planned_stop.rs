//! Planned stop of a gateway: what it accepts is answered, and what it refuses has not run.

mod site;

use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use heatherramp::domain::stop::Stop;
use site::ACCOUNT_KEY;
use site::Site;
use site::raw::Step;
use site::raw::Upstream;
use site::raw::answer_head;
use site::raw::header;
use site::raw::site_with_raw_upstreams;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Grace period of the gateways of a site.
const GRACE_PERIOD: Duration = Duration::from_secs(4);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Site whose upstreams answer after `pause`, and a gateway that has just been told to stop.
async fn stopping_site(number: u8, pause: Duration) -> (Site, Vec<Upstream>) {
    let script = move |head: &str| {
        let answer = format!("{}content-length: 2\r\n\r\nok", answer_head(head));
        vec![Step::Pause(pause), Step::Send(answer)]
    };
    site_with_raw_upstreams(number, script).await
}

fn stop(site: &Site) -> Instant {
    let pid = site.processes.last().unwrap().1.id();
    let sent = Command::new("kill").args(["-TERM", &pid.to_string()]).status();
    assert!(sent.unwrap().success());
    Instant::now()
}

/// Head of a request with a body of four bytes.
fn request_head(path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nauthorization: Bearer {ACCOUNT_KEY}\r\n\
         x-attempt-id: {id}\r\nx-deadline-ms: 4000\r\ncontent-length: 4\r\n\r\n"
    )
}

/// Sends the parts of a request with a pause between them; returns the head of the answer in lower case, empty if
/// the connection ended without one.
async fn exchange(stream: &mut TcpStream, head: &str, pause: Duration) -> String {
    let mut answer = Vec::new();
    let sending = async {
        stream.write_all(head.as_bytes()).await?;
        sleep(pause).await;
        stream.write_all(b"body").await?;
        while !answer.windows(4).any(|w| w == b"\r\n\r\n") {
            if stream.read_buf(&mut answer).await? == 0 {
                break;
            }
        }
        std::io::Result::Ok(())
    };
    // An error ends the answer.
    let _ = sending.await;
    String::from_utf8_lossy(&answer).to_lowercase()
}

fn status(answer: &str) -> Option<u16> {
    answer.split(' ').nth(1)?.parse().ok()
}

/// Whether an upstream has got the request `id`.
fn has_run(upstreams: &[Upstream], id: &str) -> bool {
    let has = |u: &Upstream| {
        let heads = u.heads.lock().unwrap();
        heads.iter().any(|h| header(h, "x-attempt-id") == Some(id))
    };
    upstreams.iter().any(has)
}

fn assert_refused(answer: &str, upstreams: &[Upstream], id: &str) {
    assert_eq!(status(answer), Some(503), "{id}: {answer:?}");
    assert!(answer.contains("retry-after: "), "{id}: {answer}");
    assert!(!has_run(upstreams, id), "{id} was refused and has run");
}

#[test]
fn what_cannot_be_sent_again_is_begun_only_if_it_ends_before_the_exit() {
    let (now, grace_period) = (ms(500), ms(8_000));
    let stop = Stop::new(now, ms(2_880), grace_period);
    assert!(stop.answers_end < stop.exit && stop.exit < now + grace_period);
    // At the start, and just before and after the end of the intake.
    for (arrival, is_open) in [(now, true), (ms(3_379), true), (ms(3_381), false)] {
        for deadline in [arrival, stop.answers_end, stop.answers_end + ms(1), ms(60_000)] {
            let can_end = deadline <= stop.answers_end;
            assert_eq!(stop.accepts(arrival, deadline, true), is_open);
            assert_eq!(stop.accepts(arrival, deadline, false), is_open && can_end);
            assert_eq!(stop.may_begin(deadline, false), can_end);
        }
    }
}

/// Guards against requests that are taken late in the grace period and cut at its end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_may_outlast_the_grace_period_is_refused_as_not_run() {
    let (site, upstreams) = stopping_site(155, ms(2_600)).await;
    let mut kept = TcpStream::connect(site.gateway).await.unwrap();
    let early = exchange(&mut kept, &request_head("/once/1", "early"), Duration::ZERO).await;
    assert_eq!(status(&early), Some(200), "{early}");
    stop(&site);
    sleep(ms(1_200)).await;
    let mut new = TcpStream::connect(site.gateway).await.unwrap();
    let [kept_head, new_head] = ["kept", "new"].map(|id| request_head("/once/1", id));
    let (kept_answer, new_answer) = tokio::join!(
        exchange(&mut kept, &kept_head, Duration::ZERO),
        exchange(&mut new, &new_head, Duration::ZERO)
    );
    assert_refused(&kept_answer, &upstreams, "kept");
    assert_refused(&new_answer, &upstreams, "new");
}

/// Guards against a body that arrives after the intake has ended, and is passed on all the same.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_whose_body_arrives_too_late_is_refused_as_not_run() {
    let (site, upstreams) = stopping_site(156, ms(10)).await;
    stop(&site);
    sleep(ms(1_000)).await;
    let mut stream = TcpStream::connect(site.gateway).await.unwrap();
    let answer = exchange(&mut stream, &request_head("/lookup/1", "slow"), ms(1_000)).await;
    assert_refused(&answer, &upstreams, "slow");
}

/// Guards against connections that are closed without an answer at the end of the grace period.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_does_outlast_the_grace_period_is_answered() {
    let (site, upstreams) = stopping_site(157, ms(6_000)).await;
    let requests = ["/once/1", "/lookup/1"].map(|path| {
        let (gateway, head) = (site.gateway, request_head(path, path));
        tokio::spawn(async move {
            let mut stream = TcpStream::connect(gateway).await.unwrap();
            exchange(&mut stream, &head, Duration::ZERO).await
        })
    });
    sleep(ms(100)).await;
    assert!(has_run(&upstreams, "/once/1"));
    let stopped_at = stop(&site);
    for request in requests {
        let answer = request.await.unwrap();
        assert_eq!(status(&answer), Some(504), "{answer:?}");
        assert!(stopped_at.elapsed() < GRACE_PERIOD);
    }
}
