//! Prompt parts that crash upstreams, at gateways and controllers as processes.

mod site;

use std::io::Read;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use serde_json::Value;
use tokio::task::JoinSet;

use site::ACCOUNT_KEY;
use site::STATE_TIMEOUT;
use site::Site;
use site::Vm;
use site::crash::Upstream;
use site::crash::crash_times;
use site::exchange;
use site::raw;
use site::raw::Step;
use site::raw::answer_head;
use site::raw::document_with_plain_routes;
use site::raw::event_text;
use site::raw::header;
use site::raw::site_with_raw_upstreams;

const UPSTREAMS: usize = 6;
/// Part that all prompts begin with.
const FIRST_PART: &str = "5c1e07a2";
/// Part that many sound prompts share.
const SECOND_PART: &str = "91bd3f06";
/// Part that crashes each upstream.
const BAD_PART: &str = "e4402b7d";
/// Reason of a refusal for a prompt part.
const REASON: &str = "a prompt part is in quarantine";
/// Paths of a resumable stream, a whole answer and a stream that is not resumed.
const PATHS: [&str; 3] = ["resumable", "lookup", "stream"];
/// Pause between sound requests at one gateway.
const SOUND_PAUSE: Duration = Duration::from_millis(80);
/// Pause between requests with the bad part at one gateway.
const BAD_PAUSE: Duration = Duration::from_millis(600);
/// Times that a caller sends a sound request that is not answered with 200.
const MAX_ATTEMPTS: usize = 4;
/// Pause between two attempts of a caller.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(300);

/// Site with two gateways and upstreams that crash on [`BAD_PART`].
async fn site_with_crashing_upstreams(number: u8) -> (Site, [SocketAddr; 2], Vec<Upstream>) {
    let mut site = Site::start(number);
    let gateways = [site.gateway, site.add_gateway("g2")];
    let upstreams: Vec<Upstream> = (0..UPSTREAMS)
        .map(|i| {
            let ip = IpAddr::from([127, 0, number, 10 + i as u8]);
            let controllers = site.controllers.clone();
            Upstream::start(&format!("desk{i}"), ip, BAD_PART, i % 2 == 1, controllers)
        })
        .collect();
    site.call_controllers("PUT", "/configuration", &document_with_plain_routes())
        .await
        .unwrap();
    let started = Instant::now();
    let is_reached = |u: &Upstream| !u.requests.lock().unwrap().is_empty();
    for gateway in gateways {
        while status(&send(gateway, &[FIRST_PART]).await) != Some(StatusCode::OK) {
            assert!(started.elapsed() < STATE_TIMEOUT, "a gateway serves nothing");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    while !upstreams.iter().all(is_reached) {
        assert!(started.elapsed() < STATE_TIMEOUT, "an upstream gets no request");
        let (parts, count) = ([FIRST_PART], UPSTREAMS * 2);
        let sends = (0..count).map(|i| tokio::spawn(async move { send(gateways[i % 2], &parts).await }));
        for send in sends.collect::<Vec<_>>() {
            send.await.unwrap();
        }
    }
    (site, gateways, upstreams)
}

/// Sends a request with these parts and a last one of its own.
async fn send(gateway: SocketAddr, parts: &[&str]) -> Option<Response<Bytes>> {
    send_turns(gateway, 0, parts).await
}

/// Sends a request of a conversation with these parts after so many that all requests share.
async fn send_turns(gateway: SocketAddr, turns: usize, parts: &[&str]) -> Option<Response<Bytes>> {
    static REQUESTS: AtomicU64 = AtomicU64::new(0);
    let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
    let turns: String = (0..turns).map(|i| format!("c0ffee{i:02x}:40,")).collect();
    let parts: String = parts.iter().map(|p| format!("{p}:400,")).collect();
    let shared = turns + &parts;
    let prompt_parts = format!("{shared}{:08x}:250", 0x1000_0000 + number);
    let (id, key) = (format!("a{number}"), format!("Bearer {ACCOUNT_KEY}"));
    let headers = [
        ("authorization", key.as_str()),
        ("x-attempt-id", id.as_str()),
        ("x-deadline-ms", "3000"),
        ("x-prefix-hash", prompt_parts.as_str()),
    ];
    let path = format!("/{}/{number}", PATHS[number as usize % PATHS.len()]);
    exchange(gateway, "POST", &path, "prompt", &headers).await
}

/// Answers to the attempts of one request, and when the first attempt was sent.
struct Call {
    sent_at: Instant,
    answers: Vec<Option<Response<Bytes>>>,
}

impl Call {
    fn is_answered(&self) -> bool {
        self.answers.last().and_then(status) == Some(StatusCode::OK)
    }
}

fn status(answer: &Option<Response<Bytes>>) -> Option<StatusCode> {
    answer.as_ref().map(Response::status)
}

fn is_refused_for_part(answer: &Option<Response<Bytes>>) -> bool {
    answer.as_ref().is_some_and(|a| {
        a.status() == StatusCode::SERVICE_UNAVAILABLE && a.body().starts_with(REASON.as_bytes())
    })
}

/// Sends a sound request until it is answered.
async fn call_until_answered(gateway: SocketAddr, turns: usize, parts: &[&str]) -> Call {
    let sent_at = Instant::now();
    let mut answers = Vec::new();
    while answers.len() < MAX_ATTEMPTS {
        let answer = send_turns(gateway, turns, parts).await;
        let is_answered = status(&answer) == Some(StatusCode::OK);
        answers.push(answer);
        if is_answered {
            break;
        }
        tokio::time::sleep(ATTEMPT_PAUSE).await;
    }
    Call { sent_at, answers }
}

/// Sends sound requests at one gateway for some time, each second one with the second part.
async fn send_sound(gateway: SocketAddr, turns: usize, time: Duration) -> Vec<Call> {
    let started = Instant::now();
    let mut calls = JoinSet::new();
    while started.elapsed() < time {
        let parts: &[&str] = match calls.len() % 2 {
            0 => &[FIRST_PART, SECOND_PART],
            _ => &[FIRST_PART],
        };
        calls.spawn(call_until_answered(gateway, turns, parts));
        tokio::time::sleep(SOUND_PAUSE).await;
    }
    calls.join_all().await
}

/// Sends requests with the bad part at one gateway for some time, each with one attempt.
async fn send_bad(gateway: SocketAddr, turns: usize, delay: Duration, time: Duration) -> Vec<Call> {
    tokio::time::sleep(delay).await;
    let started = Instant::now();
    let mut calls = JoinSet::new();
    while started.elapsed() < time {
        calls.spawn(async move {
            let sent_at = Instant::now();
            let answers = vec![send_turns(gateway, turns, &[FIRST_PART, BAD_PART]).await];
            Call { sent_at, answers }
        });
        tokio::time::sleep(BAD_PAUSE).await;
    }
    calls.join_all().await
}

/// Plays requests with the bad part beside sound ones, all after so many parts that they share, and judges what
/// reaches upstreams after the fifth crash.
async fn check_that_a_bad_part_is_refused(number: u8, turns: usize) {
    let (_site, gateways, upstreams) = site_with_crashing_upstreams(number).await;
    let time = Duration::from_secs(12);
    let [first, second] = gateways;
    let (mut sound, more_sound, mut bad, more_bad) = tokio::join!(
        send_sound(first, turns, time),
        send_sound(second, turns, time),
        send_bad(first, turns, Duration::ZERO, time),
        send_bad(second, turns, BAD_PAUSE / 2, time),
    );
    sound.extend(more_sound);
    bad.extend(more_bad);

    let crashes = crash_times(&upstreams);
    assert!(crashes.len() >= 3, "{} crashes only", crashes.len());
    // The part may be refused before a fifth crash; the last one is then an earlier start of the times.
    let fifth = crashes.get(4).or(crashes.last()).copied().unwrap();
    let is_late = |at: Instant, ms: u64| at > fifth + Duration::from_millis(ms);
    let requests: Vec<_> = upstreams
        .iter()
        .flat_map(|u| u.requests.lock().unwrap().clone())
        .collect();
    let bad_arrivals = |ms: u64| {
        let is_bad_and_late = |(at, parts): &&(Instant, String)| parts.contains(BAD_PART) && is_late(*at, ms);
        requests.iter().filter(is_bad_and_late).count()
    };
    let late_sound: Vec<&Call> = sound.iter().filter(|c| is_late(c.sent_at, 6_000)).collect();
    let late_bad: Vec<&Call> = bad.iter().filter(|c| is_late(c.sent_at, 6_000)).collect();
    let answered = late_sound.iter().filter(|c| c.is_answered()).count();
    let at_once = late_sound
        .iter()
        .filter(|c| c.is_answered() && c.answers.len() == 1)
        .count();
    let refused = late_bad.iter().filter(|c| is_refused_for_part(&c.answers[0]));
    println!(
        "{} crashes; with the bad part {} requests reached upstreams 3 s after the fifth and {} 6 s after it; \
         {} of {} late ones refused; late sound requests: {answered} of {} answered, {at_once} at once",
        crashes.len(),
        bad_arrivals(3_000),
        bad_arrivals(6_000),
        refused.clone().count(),
        late_bad.len(),
        late_sound.len(),
    );
    assert!(
        !late_sound.is_empty() && !late_bad.is_empty(),
        "the test ended early"
    );
    assert!(
        bad_arrivals(3_000) <= 3,
        "{} requests with the bad part reached upstreams later than 3 s after the fifth crash",
        bad_arrivals(3_000)
    );
    assert_eq!(bad_arrivals(6_000), 0, "the bad part still reaches upstreams");
    assert_eq!(
        refused.count(),
        late_bad.len(),
        "a request with the bad part was not refused for it"
    );
    let has_retry_after = |c: &&&Call| {
        c.answers[0]
            .as_ref()
            .unwrap()
            .headers()
            .contains_key("retry-after")
    };
    assert_eq!(
        late_bad.iter().filter(has_retry_after).count(),
        late_bad.len(),
        "a refusal without retry-after"
    );
    assert_eq!(answered, late_sound.len(), "a sound request was not answered");
    assert!(at_once * 2 >= late_sound.len(), "sound requests needed retries");
    let is_quarantined = |c: &&Call| c.answers.iter().any(is_refused_for_part);
    assert_eq!(
        sound.iter().filter(is_quarantined).count(),
        0,
        "sound requests were refused for their parts"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_prompt_part_that_crashes_upstreams_is_refused_after_a_few_crashes() {
    check_that_a_bad_part_is_refused(181, 0).await;
}

/// Guards against a bad part that no crash is counted for, since it stands behind the first ones of a long prompt.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_bad_part_behind_many_others_is_refused_after_a_few_crashes() {
    check_that_a_bad_part_is_refused(206, 40).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ordinary_crashes_quarantine_no_prompt_part() {
    let (_site, gateways, upstreams) = site_with_crashing_upstreams(182).await;
    let time = Duration::from_secs(9);
    let crash = async {
        let started = Instant::now();
        for upstream in upstreams.iter().cycle() {
            if started.elapsed() > time {
                return;
            }
            upstream.crash();
            tokio::time::sleep(Duration::from_millis(350)).await;
        }
    };
    let [first, second] = gateways;
    let (mut sound, more_sound, ()) =
        tokio::join!(send_sound(first, 0, time), send_sound(second, 0, time), crash);
    sound.extend(more_sound);

    let crashes = crash_times(&upstreams).len();
    let is_quarantined = |c: &&Call| c.answers.iter().any(is_refused_for_part);
    let quarantined = sound.iter().filter(is_quarantined).count();
    let answered = sound.iter().filter(|c| c.is_answered()).count();
    println!(
        "{crashes} crashes; {answered} of {} answered, {quarantined} refused for their parts",
        sound.len()
    );
    assert!(crashes >= 20, "{crashes} crashes only");
    assert!(answered * 2 > sound.len(), "most requests were not answered");
    assert_eq!(quarantined, 0);
}

/// A connection may break for many reasons; only the end of the upstream's process is a crash.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_that_break_at_live_upstreams_quarantine_no_prompt_part() {
    let script = |head: &str| {
        let parts = header(head, "x-prefix-hash").unwrap_or_default();
        let text = event_text(1, 10);
        let sent = match parts.contains(BAD_PART) {
            true => "",
            false => &text,
        };
        let head = answer_head(head);
        let length = text.len();
        vec![
            Step::Send(format!("{head}content-length: {length}\r\n\r\n{sent}")),
            Step::Close,
        ]
    };
    let (mut site, mut upstreams) = site_with_raw_upstreams(183, script).await;
    // Read all the time, since a full pipe makes the gateway drop lines.
    let mut output = site.processes.last_mut().unwrap().1.stdout.take().unwrap();
    let log = std::thread::spawn(move || {
        let mut log = String::new();
        output.read_to_string(&mut log).map(|_| log)
    });
    for number in upstreams.len()..UPSTREAMS {
        let upstream = raw::Upstream::start(script).await;
        let (id, controllers) = (format!("desk{number}"), site.controllers.clone());
        Vm::announce(&id, "desk", upstream.address, Default::default(), controllers);
        upstreams.push(upstream);
    }
    let started = Instant::now();
    while upstreams.iter().any(|u| u.request_count() == 0) {
        assert!(started.elapsed() < STATE_TIMEOUT, "an upstream gets no request");
        send(site.gateway, &[FIRST_PART]).await;
    }
    let calls = send_bad(site.gateway, 0, Duration::ZERO, Duration::from_secs(6)).await;
    let refused = calls
        .iter()
        .filter(|c| is_refused_for_part(&c.answers[0]))
        .count();
    assert_eq!((calls.len(), refused), (10, 0));
    let is_reached = |u: &&raw::Upstream| u.heads.lock().unwrap().iter().any(|h| h.contains(BAD_PART));
    let reached = upstreams.iter().filter(is_reached).count();
    assert!(reached >= 5, "the requests reached {reached} upstreams only");

    let (_, gateway) = site.processes.last_mut().unwrap();
    gateway.kill().unwrap();
    let log = log.join().unwrap().unwrap();
    let parts = format!("{FIRST_PART},{BAD_PART}");
    let lines = log.lines().filter_map(|l| serde_json::from_str::<Value>(l).ok());
    let is_failed_send = |l: &Value| l["event"] == "send_failed" && l["parts"] == parts.as_str();
    let logged = lines.filter(is_failed_send).count();
    assert!(
        logged >= calls.len(),
        "{logged} failed sends are logged with their parts"
    );
}
