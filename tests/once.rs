//! Non-repeatable calls run at most once while entries, control processes and upstreams fail.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::Cluster;
use common::service_document;
use common::vms;
use heatherramp::standin::Fault;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

const ZONES: [&str; 3] = ["north", "south", "west"];

async fn start_cluster(name: &str) -> Cluster {
    let cluster = Cluster::start(name, (3, 3), &ZONES, |_, upstreams| {
        upstreams.vms = vms(&ZONES, 0);
        upstreams.service_ms = 20;
    })
    .await;
    cluster.submit_and_promote(&service_document(&ZONES)).await;
    let mut is_ready = false;
    for i in 0..100 {
        let answer = cluster
            .book(&cluster.entry_address("e1"), &format!("ready-{i}"))
            .await;
        is_ready = answer.is_some_and(|a| a.status == 200);
        if is_ready {
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    assert!(is_ready, "the service answers");
    cluster
}

/// How often each order ran, over all upstreams.
async fn run_counts(cluster: &Cluster) -> BTreeMap<String, u64> {
    let mut totals = BTreeMap::new();
    for zone in ZONES {
        let counts = cluster.counts(&format!("{zone}-desk")).await;
        for (order, count) in counts["runs"].as_object().unwrap() {
            *totals.entry(order.clone()).or_default() += count.as_u64().unwrap();
        }
    }
    totals
}

/// Number of idempotency keys; the environment variable `HEATHERRAMP_KEYS` overrides it.
fn requested_key_count() -> usize {
    let given = std::env::var("HEATHERRAMP_KEYS").ok();
    given.and_then(|v| v.parse().ok()).unwrap_or(1_000)
}

#[tokio::test(flavor = "multi_thread")]
async fn no_order_runs_twice_under_resends_and_faults() {
    let mut cluster = start_cluster("resends").await;
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let key_count = requested_key_count();
    let mut calls = Vec::new();
    for i in 0..key_count {
        for _ in 0..3 {
            let entry = ["e1", "e2", "e3"][rng.random_range(0..3)];
            let (http, address) = (cluster.http(), cluster.entry_address(entry));
            let delay = Duration::from_millis(rng.random_range(0..9_000));
            calls.push(tokio::spawn(async move {
                sleep(delay).await;
                let order = format!("order-{i}");
                let answer = common::book(&http, &address, &order).await;
                (order, answer)
            }));
        }
    }
    sleep(Duration::from_millis(1_000)).await;
    for zone in ZONES {
        cluster
            .inject_fault(&format!("{zone}-desk"), Fault::DropAnswer)
            .await;
    }
    sleep(Duration::from_millis(500)).await;
    for zone in ZONES {
        cluster.inject_fault(&format!("{zone}-desk"), Fault::None).await;
    }
    cluster.kill("e1");
    cluster.inject_fault("north-desk", Fault::DropAnswer).await;
    sleep(Duration::from_millis(1_000)).await;
    cluster.spawn("e1");
    cluster.kill("c1");
    sleep(Duration::from_millis(1_500)).await;
    cluster.inject_fault("north-desk", Fault::Restart).await;
    cluster.inject_fault("north-desk", Fault::None).await;
    cluster.spawn("c1");
    // The pause outlasts the lease of the entry, which is 2 s.
    cluster.signal("e2", "STOP");
    sleep(Duration::from_millis(2_500)).await;
    cluster.signal("e2", "CONT");
    cluster.kill("c2");
    sleep(Duration::from_millis(500)).await;
    cluster.spawn("c2");
    let mut answers = Vec::new();
    for call in calls {
        answers.push(call.await.unwrap());
    }
    let runs = run_counts(&cluster).await;
    let repeated: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    assert!(repeated.is_empty(), "ran twice: {repeated:?}");
    let mut outcomes: BTreeMap<String, u64> = BTreeMap::new();
    for (order, answer) in &answers {
        let reported = answer.as_ref().map_or("no answer", |a| a.outcome.as_str());
        *outcomes.entry(reported.to_owned()).or_default() += 1;
        if reported == "ran" {
            let answer = answer.as_ref().unwrap();
            assert_eq!(runs.get(order), Some(&1), "reported as run");
            assert_eq!(
                answer.json()["order"],
                order.as_str(),
                "the answer to its own order"
            );
        }
    }
    println!("{key_count} keys, {} ran, answers {outcomes:?}", runs.len());
    check_final_answers(&cluster, key_count, &runs).await;
}

/// Sends each order once more: one reported as not run must not have run before, and none may run
/// twice.
async fn check_final_answers(cluster: &Cluster, key_count: usize, runs_before: &BTreeMap<String, u64>) {
    sleep(Duration::from_millis(4_000)).await;
    let mut final_outcomes: BTreeMap<String, u64> = BTreeMap::new();
    for i in 0..key_count {
        let order = format!("order-{i}");
        let entry = ["e1", "e2", "e3"][i % 3];
        let answer = cluster
            .book(&cluster.entry_address(entry), &order)
            .await
            .expect("an answer");
        *final_outcomes.entry(answer.outcome.clone()).or_default() += 1;
        if answer.outcome == "not-run" {
            assert_eq!(runs_before.get(&order), None, "reported as not run: {answer:?}");
        }
    }
    let runs_after = run_counts(cluster).await;
    assert!(
        runs_after.values().all(|count| *count == 1),
        "a resend ran a second time"
    );
    println!("after the faults: {final_outcomes:?}, {} ran", runs_after.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn the_reported_outcome_of_each_call_is_true() {
    let cluster = start_cluster("outcomes").await;
    let e1 = cluster.entry_address("e1");
    let first = cluster.book(&e1, "plain").await.unwrap();
    let again = cluster.book(&cluster.entry_address("e2"), "plain").await.unwrap();
    assert_eq!((first.status, again.status), (200, 200));
    assert_eq!(again.headers["x-heatherramp-replayed"], "true");
    assert_eq!(first.text, again.text);
    // Another body under the same key is refused.
    let headers = [
        ("authorization", &*format!("Bearer {}", common::CLIENT_KEY)),
        ("idempotency-key", "plain"),
    ];
    let url = format!("http://{e1}/v1/services/orders/book");
    let mismatch = cluster
        .call("POST", &url, &headers, r#"{"order":"else"}"#)
        .await
        .unwrap();
    assert_eq!((mismatch.status, mismatch.outcome.as_str()), (422, "not-run"));
    // The connection closes after the call has run: its outcome stays unknown.
    for zone in ZONES {
        cluster
            .inject_fault(&format!("{zone}-desk"), Fault::DropAnswer)
            .await;
    }
    let lost = cluster.book(&e1, "lost").await.unwrap();
    assert_eq!((lost.status, lost.outcome.as_str()), (502, "unknown"));
    for zone in ZONES {
        cluster.inject_fault(&format!("{zone}-desk"), Fault::None).await;
    }
    sleep(Duration::from_millis(1_000)).await;
    let lost = cluster.book(&cluster.entry_address("e3"), "lost").await.unwrap();
    assert_eq!((lost.status, lost.outcome.as_str()), (502, "unknown"));
    assert_eq!(run_counts(&cluster).await["lost"], 1);
    // Without a replica nothing runs, so a later resend may run.
    for zone in ZONES {
        cluster.set_zone(zone, true, &format!("{zone}-out")).await;
    }
    sleep(Duration::from_millis(1_000)).await;
    let refused = cluster.book(&e1, "later").await.unwrap();
    assert_eq!((refused.status, refused.outcome.as_str()), (503, "not-run"));
    assert!(refused.headers.contains_key("retry-after"));
    for zone in ZONES {
        cluster.set_zone(zone, false, &format!("{zone}-in")).await;
    }
    sleep(Duration::from_millis(1_000)).await;
    let later = cluster.book(&e1, "later").await.unwrap();
    assert_eq!((later.status, later.outcome.as_str()), (200, "ran"));
}
