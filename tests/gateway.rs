//! Gateways and fleet controllers as processes, with simulated VMs.

mod site;

use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use heatherramp::adapters::http1;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;

use site::ACCOUNT_KEY;
use site::STATE_TIMEOUT;
use site::Site;
use site::Vm;
use site::call;
use site::document;
use site::events;
use site::is_open;
use site::site_with_two_groups;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn valid_requests_reach_their_upstream_and_others_are_refused() {
    let site = Site::start(71);
    let mut vms = Vec::new();
    for i in 0..4 {
        vms.push(Vm::start(&format!("vm{i}"), "engine", site.controllers.clone()).await);
    }
    let desk_vm = Vm::start("desk0", "desk", site.controllers.clone()).await;
    // Without a configuration the gateway cannot tell whether a route exists or a key is valid, so it
    // answers 503.
    site.send_until("/notes/1", &[], 503).await;
    assert_eq!(
        site.call_controllers("PUT", "/configuration", &document(3))
            .await
            .unwrap()
            .0,
        200
    );
    let bearer = format!("Bearer {ACCOUNT_KEY}");
    let authorization = ("authorization", bearer.as_str());
    let body = site
        .send_until("/notes/1?q=%20x", &[authorization, ("x-tenant", "forged")], 200)
        .await;
    assert_eq!(events(&body), (1..=10).collect::<Vec<u64>>());
    let requests: Vec<_> = vms
        .iter()
        .flat_map(|v| v.state.lock().unwrap().requests.clone())
        .collect();
    let (path, headers) = &requests[0];
    assert_eq!(path, "/notes/1?q=%20x");
    assert_eq!(headers["x-tenant"], "account");
    assert!(
        !headers.contains_key("authorization"),
        "the key was passed on to the upstream"
    );
    assert!(headers["x-deadline-ms"].parse::<u64>().unwrap() <= 4_000);
    let body = site.send_until("/orders/1", &[authorization], 200).await;
    assert_eq!(body.as_ref(), b"echo body bytes");
    assert_eq!(desk_vm.state.lock().unwrap().requests.len(), 1);
    assert_eq!(site.send_request("/notes/1", &[]).await.unwrap().0, 401);
    assert_eq!(
        site.send_request("/none/1", &[authorization]).await.unwrap().0,
        404
    );
    let (ready, _) = call(site.status, "GET", "/readyz", "", &[]).await.unwrap();
    assert_eq!(ready, 200);
    let (_, metrics) = call(site.status, "GET", "/metrics", "", &[]).await.unwrap();
    let metrics = String::from_utf8(metrics.to_vec()).unwrap();
    assert!(
        metrics.contains("heatherramp_gateway_requests_total"),
        "{metrics}"
    );
}

/// When the answer to a resume carries the identifier of another request, its events must not be
/// passed on as part of the stream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_is_not_resumed_with_the_answer_of_another_request() {
    let (site, vms) = site_with_two_groups(75).await;
    for vm in &vms {
        let mut state = vm.state.lock().unwrap();
        state.cut_after = Some(4);
        state.answers_as_another = true;
    }
    let bearer = format!("Bearer {ACCOUNT_KEY}");
    let answer = site
        .send_request("/notes/1", &[("authorization", bearer.as_str())])
        .await;
    let resumed = vms.iter().any(|vm| {
        let state = vm.state.lock().unwrap();
        state
            .requests
            .iter()
            .any(|(_, headers)| headers.contains_key("last-event-id"))
    });
    assert!(resumed, "no VM was asked to resume the stream");
    assert!(answer.is_none(), "the answer looks complete: {answer:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_broken_stream_is_resumed_after_its_last_event() {
    let (site, vms) = site_with_two_groups(72).await;
    let bearer = format!("Bearer {ACCOUNT_KEY}");
    let authorization = ("authorization", bearer.as_str());
    for vm in &vms {
        vm.state.lock().unwrap().cut_after = Some(4);
    }
    // One group breaks the stream. The task below then clears the setting at the other VMs, so that
    // the other group sends the rest.
    let answer = {
        let all_vms: Vec<Vm> = vms.clone();
        tokio::spawn(async move {
            let started = Instant::now();
            while started.elapsed() < STATE_TIMEOUT {
                let has_broken = all_vms
                    .iter()
                    .any(|v| is_open(v) && v.state.lock().unwrap().cut_after.is_none());
                if has_broken {
                    all_vms
                        .iter()
                        .for_each(|v| v.state.lock().unwrap().cut_after = None);
                    return;
                }
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        });
        site.send_request("/notes/1", &[authorization]).await.unwrap()
    };
    assert_eq!(answer.0, 200);
    assert_eq!(events(&answer.1), (1..=10).collect::<Vec<u64>>());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_and_configuration_survive_a_killed_controller() {
    let mut site = Site::start(73);
    for i in 0..2 {
        Vm::start(&format!("vm{i}"), "engine", site.controllers.clone()).await;
    }
    let invalid = document(4).replace("\"service\":\"desk\"", "\"service\":\"none\"");
    assert_eq!(
        site.call_controllers("PUT", "/configuration", &invalid)
            .await
            .unwrap()
            .0,
        400
    );
    let text = document(3);
    assert_eq!(
        site.call_controllers("PUT", "/configuration", &text)
            .await
            .unwrap()
            .0,
        200
    );
    // An older version is accepted but does not replace the one in force.
    assert_eq!(
        site.call_controllers("PUT", "/configuration", &document(2))
            .await
            .unwrap()
            .0,
        200
    );
    assert_eq!(
        site.call_controllers("POST", "/evacuations/z9", "")
            .await
            .unwrap()
            .0,
        200
    );
    let bearer = format!("Bearer {ACCOUNT_KEY}");
    let authorization = ("authorization", bearer.as_str());
    site.send_until("/notes/0", &[authorization], 200).await;
    site.processes[0].1.kill().unwrap();
    site.processes[0].1.wait().unwrap();
    let (status, read) = site.call_controllers("GET", "/configuration", "").await.unwrap();
    assert_eq!((status, read.as_ref()), (200, text.as_bytes()));
    site.send_until("/notes/1", &[authorization], 200).await;
    assert_eq!(
        site.call_controllers("DELETE", "/evacuations/z9", "")
            .await
            .unwrap()
            .0,
        200
    );
}

/// A client sends a new request every 100 ms until after the process has exited. Each one must be
/// answered in full, refused with 503, or fail before it was sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopping_gateway_completes_every_accepted_request() {
    let site = Site::start(74);
    for i in 0..2 {
        let vm = Vm::start(&format!("vm{i}"), "engine", site.controllers.clone()).await;
        vm.state.lock().unwrap().pause_ms = Some(100);
    }
    site.call_controllers("PUT", "/configuration", &document(3))
        .await
        .unwrap();
    let bearer = format!("Bearer {ACCOUNT_KEY}");
    site.send_until("/notes/0", &[("authorization", &bearer)], 200)
        .await;
    let pid = site.processes.last().unwrap().1.id();
    let sent_signal = Command::new("kill").args(["-TERM", &pid.to_string()]).status();
    assert!(sent_signal.unwrap().success());
    let started = Instant::now();
    let mut answers = Vec::new();
    while started.elapsed() < Duration::from_millis(4_500) {
        let (gateway, bearer) = (site.gateway, bearer.clone());
        answers.push(tokio::spawn(async move {
            let request = Request::builder()
                .method("POST")
                .uri("/notes/1")
                .header("host", "a.example")
                .header("x-attempt-id", "a1")
                .header("x-model", "model")
                .header("x-deadline-ms", "4000")
                .header("authorization", bearer)
                .body(Full::new(Bytes::from_static(b"body")))
                .unwrap();
            let client = http1::Client::default();
            match client.send(gateway, request, true).await {
                Err(http1::Failure::Unsent(_)) => None,
                Err(http1::Failure::Unknown | http1::Failure::Invalid) => Some((0, Vec::new())),
                Ok((response, _connection)) => {
                    let status = response.status().as_u16();
                    let body = response.into_body().collect().await.map(|b| b.to_bytes());
                    Some((status, body.map(|b| events(&b)).unwrap_or_default()))
                }
            }
        }));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let (mut complete, mut refused) = (0, 0);
    for answer in answers {
        match answer.await.unwrap() {
            Some((200, ids)) => {
                assert_eq!(ids, (1..=10).collect::<Vec<u64>>(), "the stream was broken off");
                complete += 1;
            }
            Some((503, _)) => refused += 1,
            None => {}
            other => panic!("neither an answer, a refusal nor unsent: {other:?}"),
        }
    }
    assert!(
        complete >= 3 && refused >= 3,
        "{complete} complete, {refused} refused"
    );
}

/// Site with two VMs of the plain service that send their heartbeats to the gateway. Of two idle VMs the
/// gateway prefers the first one.
async fn site_with_two_desks(number: u8) -> (Site, Vec<Vm>, String) {
    let site = Site::start(number);
    let mut vms = Vec::new();
    for i in 0..2 {
        vms.push(Vm::start(&format!("desk{i}"), "desk", site.controllers.clone()).await);
    }
    site.call_controllers("PUT", "/configuration", &document(3))
        .await
        .unwrap();
    let bearer = format!("Bearer {ACCOUNT_KEY}");
    let started = Instant::now();
    loop {
        site.send_until("/orders/0", &[("authorization", bearer.as_str())], 200)
            .await;
        let is_settled = |vm: &Vm| vm.state.lock().unwrap().heartbeat_address == Some(site.status);
        // A heartbeat is acknowledged before the leader has listed its VM.
        if vms.iter().all(is_settled) && target_count(&site).await == vms.len() {
            return (site, vms, bearer);
        }
        assert!(
            started.elapsed() < STATE_TIMEOUT,
            "the VMs did not turn to the gateway with their heartbeats in time: {:?}",
            vms.iter()
                .map(|vm| vm.state.lock().unwrap().heartbeat_address)
                .collect::<Vec<_>>()
        );
    }
}

/// Number of targets that the gateway knows.
async fn target_count(site: &Site) -> usize {
    let (_, text) = call(site.status, "GET", "/metrics", "", &[]).await.unwrap();
    let text = String::from_utf8(text.to_vec()).unwrap();
    let mut lines = text.lines();
    let value = lines.find_map(|l| l.strip_prefix("heatherramp_gateway_targets "));
    value.unwrap().parse().unwrap()
}

/// Sends requests one after the other; returns how many of them succeeded.
async fn send_orders(site: &Site, bearer: &str, count: usize) -> usize {
    let mut served = 0;
    for i in 0..count {
        let answer = site
            .send_request(&format!("/orders/{i}"), &[("authorization", bearer)])
            .await;
        served += usize::from(answer.is_some_and(|(status, _)| status == 200));
    }
    served
}

/// The gateway answered the call with 404, which ended it, and the leader went on naming the VM.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_that_leaves_through_its_gateway_gets_no_further_request() {
    let (site, vms, bearer) = site_with_two_desks(76).await;
    vms[0].state.lock().unwrap().is_silent = true;
    let answer = call(site.status, "DELETE", "/replicas/desk0", "", &[]).await;
    assert_eq!(answer.map(|(status, _)| status), Some(200));
    let before = vms[0].request_count();
    assert_eq!(send_orders(&site, &bearer, 40).await, 40);
    assert_eq!(
        vms[0].request_count(),
        before,
        "a request after the acknowledgement"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstream_that_says_that_it_leaves_gets_no_further_request() {
    let (site, vms, bearer) = site_with_two_desks(77).await;
    vms[0].state.lock().unwrap().says_that_it_leaves = true;
    let before = vms[0].request_count();
    let started = Instant::now();
    while vms[0].request_count() == before {
        send_orders(&site, &bearer, 1).await;
        assert!(
            started.elapsed() < STATE_TIMEOUT,
            "no answer says that its VM leaves"
        );
    }
    assert_eq!(send_orders(&site, &bearer, 40).await, 40);
    assert_eq!(vms[0].request_count(), before + 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstream_that_asks_for_a_pause_gets_no_request_until_its_end() {
    let (site, vms, bearer) = site_with_two_desks(78).await;
    vms[0].state.lock().unwrap().retry_after = Some("1.5");
    let before = vms[0].request_count();
    let started = Instant::now();
    while vms[0].request_count() == before {
        send_orders(&site, &bearer, 1).await;
        assert!(started.elapsed() < STATE_TIMEOUT, "no request was turned away");
    }
    let paused_at = Instant::now();
    while paused_at.elapsed() < Duration::from_millis(1_200) {
        assert_eq!(send_orders(&site, &bearer, 1).await, 1);
    }
    assert_eq!(vms[0].request_count(), before + 1, "a request within the pause");
    vms[0].state.lock().unwrap().retry_after = None;
    let started = Instant::now();
    while vms[0].request_count() == before + 1 {
        send_orders(&site, &bearer, 1).await;
        assert!(started.elapsed() < STATE_TIMEOUT, "no request after the pause");
    }
}

/// Guards against a first configuration that is acknowledged and never in force, as its version is 0.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_first_configuration_with_version_0_is_served_until_a_higher_one_comes() {
    let site = Site::start(205);
    let _vm = Vm::start("desk0", "desk", site.controllers.clone()).await;
    let bearer = format!("Bearer {ACCOUNT_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let adopted = site.call_controllers("PUT", "/configuration", &document(0)).await;
    assert_eq!(adopted.unwrap().0, 200);
    site.send_until("/orders/1", &headers, 200).await;
    let ready = call(site.status, "GET", "/readyz", "", &[]).await;
    assert_eq!(ready.unwrap().0, 200, "the gateway is not ready");
    let higher = document(3).replace("/orders/", "/other/");
    let adopted = site.call_controllers("PUT", "/configuration", &higher).await;
    assert_eq!(adopted.unwrap().0, 200);
    site.send_until("/orders/1", &headers, 404).await;
    site.send_until("/other/1", &headers, 200).await;
}
