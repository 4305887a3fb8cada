//! What holds for requests that reach their upstream through another gateway.

mod partition;
mod site;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use heatherramp::adapters::http1;
use http::Request;
use http_body_util::Full;

use partition::Cut;
use partition::Links;
use site::ACCOUNT_KEY;
use site::STATE_TIMEOUT;
use site::Site;
use site::Vm;
use site::call;
use site::events;
use site::metric;
use site::site_with_two_groups;

/// Attempts at a gateway of a site whose links are cut.
struct Caller {
    gateway: SocketAddr,
    bearer: String,
}

impl Caller {
    fn new(gateway: SocketAddr) -> Caller {
        Caller {
            gateway,
            bearer: format!("Bearer {ACCOUNT_KEY}"),
        }
    }

    async fn call(&self, path: &str, id: &str) -> Option<(u16, Bytes)> {
        let headers = [
            ("x-attempt-id", id),
            ("x-model", "model"),
            ("x-deadline-ms", "4000"),
            ("authorization", self.bearer.as_str()),
        ];
        call(self.gateway, "POST", path, "body bytes", &headers).await
    }

    fn request(&self, path: &str, id: &str) -> Request<Full<Bytes>> {
        Request::post(path)
            .header("host", "a.example")
            .header("x-attempt-id", id)
            .header("x-model", "model")
            .header("x-deadline-ms", "4000")
            .header("authorization", &self.bearer)
            .body(Full::new(Bytes::from_static(b"body bytes")))
            .unwrap()
    }

    /// Calls until the gateway has found its links at fault and serves streams.
    async fn settle(&self) {
        let started = Instant::now();
        let mut served = 0;
        while served < 4 {
            assert!(started.elapsed() < STATE_TIMEOUT, "no stream is served");
            let answer = self.call("/notes/settle", "settle").await;
            served += usize::from(answer.is_some_and(|(status, _)| status == 200));
        }
    }
}

async fn partitioned_site(number: u8, links: Links) -> (Site, Vec<Vm>, Cut, Caller) {
    let (site, vms) = site_with_two_groups(number).await;
    let cut = Cut::start(&site, "g2").await;
    let caller = Caller::new(cut.address);
    caller.settle().await;
    cut.set(links);
    caller.settle().await;
    (site, vms, cut, caller)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_a_cut_silences_goes_on_through_another_gateway() {
    let (site, vms) = site_with_two_groups(191).await;
    let cut = Cut::start(&site, "g2").await;
    let caller = Caller::new(cut.address);
    caller.settle().await;
    for vm in &vms {
        vm.state.lock().unwrap().pause_ms = Some(150);
    }
    let stream = caller.call("/notes/1", "a1");
    let break_links = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        cut.set(Links::Silent);
    };
    let (answer, ()) = tokio::join!(stream, break_links);
    let (status, body) = answer.unwrap();
    assert_eq!(status, 200);
    assert_eq!(events(&body), (1..=10).collect::<Vec<u64>>());
    let requests: Vec<_> = vms
        .iter()
        .flat_map(|vm| vm.state.lock().unwrap().requests.clone())
        .filter(|(path, _)| path == "/notes/1")
        .collect();
    // The route allows two sends.
    assert_eq!(requests.len(), 2, "sends of the stream");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_may_run_once_run_once_while_links_fail() {
    let (site, _vms) = site_with_two_groups(192).await;
    let desk = Vm::start("desk0", "desk", site.controllers.clone()).await;
    let cut = Cut::start(&site, "g2").await;
    let caller = Caller::new(cut.address);
    let started = Instant::now();
    while caller.call("/orders/0", "a0").await.is_none_or(|(s, _)| s != 200) {
        assert!(started.elapsed() < STATE_TIMEOUT, "no order is served");
    }
    let mut outcomes = Vec::new();
    for round in 0..12 {
        let links = [
            Links::Silent,
            Links::Open,
            Links::Reset,
            Links::Open,
            Links::Refuse,
            Links::Open,
        ];
        cut.set(links[round % links.len()]);
        let calls = (0..8).map(|n| {
            let id = format!("once-{round}-{n}");
            let caller = &caller;
            async move {
                tokio::time::sleep(Duration::from_millis(n * 15)).await;
                let answer = caller.call(&format!("/orders/{id}"), &id).await;
                (id, answer.map(|(status, _)| status))
            }
        });
        outcomes.extend(futures_util::future::join_all(calls).await);
    }
    let requests = desk.state.lock().unwrap().requests.clone();
    let mut served = 0;
    for (id, status) in &outcomes {
        let path = format!("/orders/{id}");
        let runs = requests.iter().filter(|(p, _)| *p == path).count();
        assert!(runs <= 1, "{id} ran {runs} times");
        if *status == Some(503) {
            assert_eq!(runs, 0, "{id} was refused and has run");
        }
        served += usize::from(*status == Some(200));
    }
    // Only what is on its way when links break may be lost.
    assert!(
        served * 10 >= outcomes.len() * 9,
        "{served} of {} served",
        outcomes.len()
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstream_stops_when_the_caller_of_a_partitioned_gateway_leaves() {
    let (site, vms, _cut, caller) = partitioned_site(193, Links::Reset).await;
    for vm in &vms {
        vm.state.lock().unwrap().pause_ms = Some(100);
    }
    let client = http1::Client::default();
    let sent = client
        .send(caller.gateway, caller.request("/notes/left", "left"), true)
        .await;
    let (response, connection) = sent.unwrap();
    assert_eq!(response.status(), 200);
    assert!(metric(site.status, "heatherramp_gateway_tunnels ").await >= 1.0);
    drop((response, connection));
    let started = Instant::now();
    while metric(site.status, "heatherramp_gateway_tunnels ").await > 0.0 {
        assert!(
            started.elapsed() < Duration::from_millis(500),
            "the tunnel is open half a second after the caller has left"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_partitioned_gateway_reports_no_stalled_upstreams_and_is_no_helper() {
    let (site, _vms, cut, caller) = partitioned_site(194, Links::Silent).await;
    for _ in 0..20 {
        caller.call("/notes/1", "a1").await;
        assert_eq!(
            metric(cut.status, "heatherramp_gateway_stalled_targets ").await,
            0.0
        );
    }
    assert_eq!(metric(cut.status, "heatherramp_gateway_partitioned ").await, 1.0);
    assert_eq!(metric(cut.status, "heatherramp_gateway_tunnels ").await, 0.0);
    cut.set(Links::Open);
    let started = Instant::now();
    while metric(cut.status, "heatherramp_gateway_partitioned ").await > 0.0 {
        assert!(
            started.elapsed() < Duration::from_secs(6),
            "the gateway does not return"
        );
        let answer = caller.call("/notes/1", "a1").await;
        assert_eq!(answer.map(|(status, _)| status), Some(200), "on the way back");
    }
    let before = metric(cut.status, "heatherramp_gateway_detours_total ").await;
    caller.settle().await;
    let after = metric(cut.status, "heatherramp_gateway_detours_total ").await;
    assert_eq!(before, after, "a detour after the return");
    drop(site);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_connections_of_a_partitioned_gateway_are_no_evidence_of_crashes() {
    let (site, vms) = site_with_two_groups(195).await;
    let cut = Cut::start(&site, "g2").await;
    let caller = Caller::new(cut.address);
    caller.settle().await;
    for vm in &vms {
        vm.state.lock().unwrap().pause_ms = Some(150);
    }
    // Each round breaks runs with the same part at both groups, and new connections are refused.
    for round in 0..4 {
        cut.set(Links::Open);
        tokio::time::sleep(Duration::from_millis(100)).await;
        let calls = (0..4).map(|n| {
            let id = format!("part-{round}-{n}");
            let headers = [
                ("x-attempt-id", id),
                ("x-prefix-hash", "5c1e07a2:800,91bd3f06:410".to_owned()),
            ];
            let mut request = caller.request("/notes/part", "part");
            for (name, value) in headers {
                request.headers_mut().insert(name, value.parse().unwrap());
            }
            let client = http1::Client::default();
            async move { client.send(caller.gateway, request, true).await }
        });
        let break_links = async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            cut.set(Links::Reset);
            tokio::time::sleep(Duration::from_millis(800)).await;
        };
        let (answers, ()) = tokio::join!(futures_util::future::join_all(calls), break_links);
        drop(answers);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    for status in [site.status, cut.status] {
        let evidence = metric(status, "heatherramp_gateway_crash_evidence_total ").await;
        assert_eq!(evidence, 0.0, "crashes of upstreams that run");
        let marks = metric(status, "heatherramp_gateway_quarantined").await;
        assert_eq!(marks, 0.0, "marks in quarantine");
    }
    caller.settle().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_go_on_when_the_helping_gateway_is_killed() {
    let (mut site, vms, cut, caller) = partitioned_site(196, Links::Silent).await;
    let second = site.add_gateway("g3");
    let started = Instant::now();
    while call(second, "GET", "/", "", &[])
        .await
        .is_none_or(|(s, _)| s == 503)
    {
        assert!(
            started.elapsed() < STATE_TIMEOUT,
            "the third gateway has no configuration"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // The helpers of a gateway come with an answer to its reports.
    tokio::time::sleep(Duration::from_secs(1)).await;
    for vm in &vms {
        vm.state.lock().unwrap().pause_ms = Some(200);
    }
    let streams = (0..6).map(|n| {
        let caller = &caller;
        async move { caller.call("/notes/helped", &format!("helped-{n}")).await }
    });
    let kill = async {
        tokio::time::sleep(Duration::from_millis(600)).await;
        site.kill("gateway-g1");
    };
    let (answers, ()) = tokio::join!(futures_util::future::join_all(streams), kill);
    let whole = (1..=10).collect::<Vec<u64>>();
    let complete = answers
        .iter()
        .flatten()
        .filter(|(status, body)| *status == 200 && events(body) == whole)
        .count();
    for (status, body) in answers.iter().flatten() {
        assert!(
            *status != 200 || events(body) == whole,
            "an answer looks complete"
        );
    }
    assert_eq!(complete, 6, "complete streams of 6");
    drop(cut);
}
