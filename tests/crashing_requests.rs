//! A request that crashes each upstream which begins to run it, at gateways and controllers as processes.

mod site;

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use tokio::task::JoinSet;

use site::ACCOUNT_KEY;
use site::STATE_TIMEOUT;
use site::Site;
use site::crash::Upstream;
use site::crash::crash_times;
use site::exchange;
use site::raw::document_with_plain_routes;

/// Upstreams, unless a test is about fewer.
const UPSTREAMS: usize = 3;
/// Last segment of the path that crashes upstreams.
const BAD_SEGMENT: &str = "bad-order";
/// Time from the third crash until gateways must send the request no more.
const LEARNING_TIME: Duration = Duration::from_secs(3);
/// Sends that are allowed after that time.
const MAX_LATE_SENDS: usize = 3;
/// Pause between two requests at one gateway.
const PAUSE: Duration = Duration::from_millis(400);
const TIME: Duration = Duration::from_secs(14);

async fn site_with_crashing_upstreams(number: u8, count: usize) -> (Site, Vec<SocketAddr>, Vec<Upstream>) {
    let mut site = Site::start(number);
    let gateways = vec![site.gateway, site.add_gateway("g2"), site.add_gateway("g3")];
    let upstreams: Vec<Upstream> = (0..count)
        .map(|i| {
            let ip = IpAddr::from([127, 0, number, 10 + i as u8]);
            let controllers = site.controllers.clone();
            Upstream::start(&format!("desk{i}"), ip, BAD_SEGMENT, i % 2 == 1, controllers)
        })
        .collect();
    site.call_controllers("PUT", "/configuration", &document_with_plain_routes())
        .await
        .unwrap();
    for gateway in &gateways {
        let started = Instant::now();
        while status(&send(*gateway, "/lookup/first", "body").await) != Some(StatusCode::OK) {
            assert!(started.elapsed() < STATE_TIMEOUT, "a gateway serves nothing");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    (site, gateways, upstreams)
}

async fn send(gateway: SocketAddr, path: &str, body: &str) -> Option<Response<Bytes>> {
    static REQUESTS: AtomicU64 = AtomicU64::new(0);
    let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
    let (id, key) = (format!("a{number}"), format!("Bearer {ACCOUNT_KEY}"));
    let headers = [
        ("authorization", key.as_str()),
        ("x-attempt-id", id.as_str()),
        ("x-deadline-ms", "3000"),
    ];
    exchange(gateway, "POST", path, body, &headers).await
}

fn status(answer: &Option<Response<Bytes>>) -> Option<StatusCode> {
    answer.as_ref().map(Response::status)
}

/// Answer of one request, and when it was sent.
type Call = (Instant, Option<Response<Bytes>>);

/// Sends a request at one gateway again and again for some time.
async fn repeat(gateway: SocketAddr, path: String, body: &'static str, time: Duration) -> Vec<Call> {
    let started = Instant::now();
    let mut calls = JoinSet::new();
    while started.elapsed() < time {
        let path = path.clone();
        calls.spawn(async move {
            let sent_at = Instant::now();
            (sent_at, send(gateway, &path, body).await)
        });
        tokio::time::sleep(PAUSE).await;
    }
    calls.join_all().await
}

fn is_refused(call: &Call) -> bool {
    let answer = call.1.as_ref();
    answer.is_some_and(|a| {
        a.status() == StatusCode::SERVICE_UNAVAILABLE && a.headers().contains_key("retry-after")
    })
}

/// Plays a request that crashes the upstreams which run it, beside sound ones, and judges what is sent after its
/// third crash.
async fn check_that_a_crashing_request_is_refused(number: u8, count: usize) {
    let (_site, gateways, upstreams) = site_with_crashing_upstreams(number, count).await;
    let mut bad = JoinSet::new();
    let mut sound = JoinSet::new();
    for (i, gateway) in gateways.iter().enumerate() {
        bad.spawn(repeat(*gateway, format!("/lookup/{BAD_SEGMENT}"), "bad", TIME));
        sound.spawn(repeat(*gateway, format!("/lookup/sound{i}"), "sound", TIME));
    }
    let bad = bad.join_all().await.concat();
    let sound = sound.join_all().await.concat();

    let crashes = crash_times(&upstreams);
    assert!(crashes.len() >= 3, "{} crashes only", crashes.len());
    let bound_start = crashes[2] + LEARNING_TIME;
    let requests: Vec<_> = upstreams
        .iter()
        .flat_map(|u| u.requests.lock().unwrap().clone())
        .collect();
    let late_sends = requests
        .iter()
        .filter(|(at, mark)| mark.contains(BAD_SEGMENT) && *at > bound_start)
        .count();
    let late_bad: Vec<&Call> = bad.iter().filter(|c| c.0 > bound_start).collect();
    let late_sound: Vec<&Call> = sound.iter().filter(|c| c.0 > bound_start).collect();
    let refused = late_bad.iter().filter(|c| is_refused(c)).count();
    let is_served = |c: &&&Call| status(&c.1) == Some(StatusCode::OK);
    let served = late_sound.iter().filter(is_served).count();
    println!(
        "{} crashes; {late_sends} late sends; {refused} of {} late ones refused; {served} of {} sound ones served",
        crashes.len(),
        late_bad.len(),
        late_sound.len()
    );
    assert!(
        late_sends <= MAX_LATE_SENDS,
        "{late_sends} sends after the third crash"
    );
    assert!(!late_bad.is_empty() && !late_sound.is_empty());
    assert_eq!(
        refused,
        late_bad.len(),
        "the request was not refused with a time to return"
    );
    assert_eq!(served, late_sound.len(), "sound requests were not served");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_crashes_upstreams_is_not_sent_after_its_third_crash() {
    check_that_a_crashing_request_is_refused(201, UPSTREAMS).await;
}

/// Guards against evidence that is dropped where no other upstream can show that the links are sound.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_crashes_the_only_upstream_is_not_sent_after_its_third_crash() {
    check_that_a_crashing_request_is_refused(203, 1).await;
}

/// Guards against evidence that is dropped where the upstream is back before the check of its end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_crashes_two_upstreams_is_not_sent_after_its_third_crash() {
    check_that_a_crashing_request_is_refused(204, 2).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ordinary_crashes_quarantine_no_repeated_request() {
    let (_site, gateways, upstreams) = site_with_crashing_upstreams(202, UPSTREAMS).await;
    let time = Duration::from_secs(9);
    let crash = async {
        let started = Instant::now();
        for upstream in upstreams.iter().cycle() {
            if started.elapsed() > time {
                return;
            }
            upstream.crash();
            tokio::time::sleep(Duration::from_millis(700)).await;
        }
    };
    let mut sound = JoinSet::new();
    for (i, gateway) in gateways.iter().enumerate() {
        sound.spawn(repeat(*gateway, format!("/lookup/sound{i}"), "sound", time));
    }
    crash.await;
    sound.join_all().await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    for (i, gateway) in gateways.iter().enumerate() {
        let answer = send(*gateway, &format!("/lookup/sound{i}"), "sound").await;
        assert_eq!(
            status(&answer),
            Some(StatusCode::OK),
            "a sound request is refused after crashes that it did not cause"
        );
    }
}
