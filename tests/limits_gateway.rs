//! Rate limits that upstreams name in their answers, at gateways and controllers as processes.

mod site;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinSet;

use site::ACCOUNT_KEY;
use site::STATE_TIMEOUT;
use site::Site;
use site::call;
use site::raw::Step;
use site::raw::answer_head;
use site::raw::event_text;
use site::raw::site_with_raw_upstreams;

/// Requests per second that each upstream takes while it names a limit.
const LIMIT_PER_S: f64 = 4.0;
/// Time from the first answer with a limit until gateways must keep to it.
const LEARNING_TIME: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
/// Requests in a window that are allowed: 1.5 times the limit, and 5.
const MAX_IN_WINDOW: usize = (1.5 * LIMIT_PER_S * 4.0) as usize + 5;
const GATEWAYS: usize = 6;
/// Pause between two requests at one gateway.
const PAUSE: Duration = Duration::from_millis(100);
/// Time for which all gateways send requests while the limit is named.
const LIMITED_TIME: Duration = Duration::from_secs(14);
/// Paths of a whole answer and a resumable stream.
const PATHS: [&str; 2] = ["lookup", "resumable"];

/// Times at which requests reached one upstream.
type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// Site with gateways and two upstreams that name a limit while the flag is set.
async fn site_with_limiting_upstreams(number: u8) -> (Site, Vec<SocketAddr>, Arc<AtomicBool>, Vec<Arrivals>) {
    let is_limiting = Arc::new(AtomicBool::new(false));
    let flag = is_limiting.clone();
    let (mut site, upstreams) = site_with_raw_upstreams(number, move |head: &str| {
        let limit = match flag.load(Ordering::Relaxed) {
            true => format!("server-limit: {LIMIT_PER_S}\r\n"),
            false => String::new(),
        };
        let text = event_text(1, 10);
        let length = text.len();
        let head = answer_head(head);
        vec![Step::Send(format!(
            "{head}{limit}content-length: {length}\r\n\r\n{text}"
        ))]
    })
    .await;
    let mut gateways = vec![site.gateway];
    gateways.extend((1..GATEWAYS).map(|i| site.add_gateway(&format!("g{}", i + 1))));
    for gateway in &gateways {
        let started = Instant::now();
        while send(*gateway).await != Some(200) {
            assert!(started.elapsed() < STATE_TIMEOUT, "a gateway serves nothing");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    let arrivals = upstreams.iter().map(watch).collect();
    (site, gateways, is_limiting, arrivals)
}

/// Records when requests reach an upstream from now on.
fn watch(upstream: &site::raw::Upstream) -> Arrivals {
    let arrivals = Arrivals::default();
    let (times, heads) = (arrivals.clone(), upstream.heads.clone());
    let mut known = heads.lock().unwrap().len();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(10)).await;
            let count = heads.lock().unwrap().len();
            times
                .lock()
                .unwrap()
                .extend((known..count).map(|_| Instant::now()));
            known = count;
        }
    });
    arrivals
}

async fn send(gateway: SocketAddr) -> Option<u16> {
    static REQUESTS: AtomicU64 = AtomicU64::new(0);
    let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
    let (id, key) = (format!("a{number}"), format!("Bearer {ACCOUNT_KEY}"));
    let headers = [
        ("authorization", key.as_str()),
        ("x-attempt-id", id.as_str()),
        ("x-deadline-ms", "3000"),
    ];
    let path = format!("/{}/{number}", PATHS[number as usize % PATHS.len()]);
    let (status, _) = call(gateway, "POST", &path, "body", &headers).await?;
    Some(status)
}

/// Sends requests at one gateway for some time; returns the status of each answer and when it came.
async fn press(gateway: SocketAddr, time: Duration) -> Vec<(Instant, Duration, Option<u16>)> {
    let started = Instant::now();
    let mut calls = JoinSet::new();
    while started.elapsed() < time {
        calls.spawn(async move {
            let sent_at = Instant::now();
            let status = send(gateway).await;
            (sent_at, sent_at.elapsed(), status)
        });
        tokio::time::sleep(PAUSE).await;
    }
    calls.join_all().await
}

/// Most arrivals in a window that begins at `start` or later.
fn busiest_window(arrivals: &[Instant], start: Instant) -> usize {
    let late: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= start).collect();
    let in_window = |first: &Instant| {
        late.iter()
            .filter(|at| (*first..*first + WINDOW).contains(*at))
            .count()
    };
    late.iter().map(in_window).max().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstream_gets_no_more_than_the_limit_that_it_names_from_all_gateways_together() {
    let (_site, gateways, is_limiting, arrivals) = site_with_limiting_upstreams(191).await;
    is_limiting.store(true, Ordering::Relaxed);
    let started = Instant::now();
    let mut pressing = JoinSet::new();
    for gateway in gateways.clone() {
        pressing.spawn(press(gateway, LIMITED_TIME));
    }
    let answers = pressing.join_all().await.concat();
    let bound_start = started + LEARNING_TIME;
    for times in &arrivals {
        let times = times.lock().unwrap().clone();
        let busiest = busiest_window(&times, bound_start);
        let late = times.iter().filter(|at| **at >= bound_start).count();
        println!("{busiest} requests in the busiest window, {late} after the learning time");
        assert!(
            busiest <= MAX_IN_WINDOW,
            "{busiest} requests in a window, {MAX_IN_WINDOW} allowed"
        );
        let expected = (LIMITED_TIME - LEARNING_TIME).as_secs_f64() * LIMIT_PER_S;
        assert!(
            late as f64 >= expected * 0.8,
            "{late} requests of {expected} that the limit allows, while callers were refused"
        );
    }
    let refused: Vec<Duration> = answers
        .iter()
        .filter(|(at, _, status)| *at >= bound_start && *status == Some(503))
        .map(|(_, elapsed, _)| *elapsed)
        .collect();
    assert!(!refused.is_empty(), "callers press for more than the limits");
    let late_refusals = refused
        .iter()
        .filter(|t| **t > Duration::from_millis(500))
        .count();
    assert!(
        late_refusals * 20 <= refused.len(),
        "{late_refusals} of {} refusals came late",
        refused.len()
    );

    // Without the limit all requests are served again.
    is_limiting.store(false, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut pressing = JoinSet::new();
    for gateway in gateways {
        pressing.spawn(press(gateway, Duration::from_secs(4)));
    }
    let answers = pressing.join_all().await.concat();
    let started = answers.iter().map(|(at, ..)| *at).min().unwrap();
    let late = answers
        .iter()
        .filter(|(at, ..)| *at >= started + Duration::from_secs(2));
    let refused = late.filter(|(_, _, status)| *status != Some(200)).count();
    assert_eq!(refused, 0, "requests refused after the end of the limit");
}
