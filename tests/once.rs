//! Non-repeatable calls under kills of entries, leaders and upstreams.

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

async fn site(name: &str) -> Cluster {
    let running = Cluster::start(name, (3, 3), &ZONES, |_, upstreams| {
        upstreams.vms = vms(&ZONES, 0);
        upstreams.service_ms = 20;
    })
    .await;
    running.submit_and_promote(&service_document(&ZONES)).await;
    let mut ready = false;
    for i in 0..100 {
        let answer = running
            .book(&running.entry_address("e1"), &format!("ready-{i}"))
            .await;
        ready = answer.is_some_and(|a| a.status == 200);
        if ready {
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    assert!(ready, "the desk answers");
    running
}

/// How often each order ran, over all upstreams.
async fn runs(running: &Cluster) -> BTreeMap<String, u64> {
    let mut all = BTreeMap::new();
    for zone in ZONES {
        let counts = running.counts(&format!("{zone}-desk")).await;
        for (order, count) in counts["runs"].as_object().unwrap() {
            *all.entry(order.clone()).or_default() += count.as_u64().unwrap();
        }
    }
    all
}

fn keys() -> usize {
    let given = std::env::var("HEATHERRAMP_KEYS").ok();
    given.and_then(|v| v.parse().ok()).unwrap_or(1_000)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_storm_of_doubled_orders_runs_none_twice() {
    let mut running = site("storm").await;
    let mut random = ChaCha8Rng::seed_from_u64(11);
    let keys = keys();
    let mut calls = Vec::new();
    for i in 0..keys {
        for _ in 0..3 {
            let entry = ["e1", "e2", "e3"][random.random_range(0..3)];
            let (http, address) = (running.http(), running.entry_address(entry));
            let delay = Duration::from_millis(random.random_range(0..9_000));
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
        running
            .inject_fault(&format!("{zone}-desk"), Fault::DropAnswer)
            .await;
    }
    sleep(Duration::from_millis(500)).await;
    for zone in ZONES {
        running.inject_fault(&format!("{zone}-desk"), Fault::None).await;
    }
    running.kill("e1");
    running.inject_fault("north-desk", Fault::DropAnswer).await;
    sleep(Duration::from_millis(1_000)).await;
    running.spawn("e1");
    running.kill("c1");
    sleep(Duration::from_millis(1_500)).await;
    running.inject_fault("north-desk", Fault::Restart).await;
    running.inject_fault("north-desk", Fault::None).await;
    running.spawn("c1");
    running.signal("e2", "STOP");
    sleep(Duration::from_millis(2_500)).await;
    running.signal("e2", "CONT");
    running.kill("c2");
    sleep(Duration::from_millis(500)).await;
    running.spawn("c2");
    let mut answers = Vec::new();
    for call in calls {
        answers.push(call.await.unwrap());
    }
    let runs = runs(&running).await;
    let doubled: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    assert!(doubled.is_empty(), "ran twice: {doubled:?}");
    let mut tally: BTreeMap<String, u64> = BTreeMap::new();
    for (order, answer) in &answers {
        let said = answer.as_ref().map_or("no answer", |a| a.outcome.as_str());
        *tally.entry(said.to_owned()).or_default() += 1;
        if said == "ran" {
            let answer = answer.as_ref().unwrap();
            assert_eq!(runs.get(order), Some(&1), "said to have run");
            assert_eq!(
                answer.json()["order"],
                order.as_str(),
                "the answer to its own order"
            );
        }
    }
    println!("{keys} keys, {} ran, answers {tally:?}", runs.len());
    settle(&running, keys, &runs).await;
}

/// After the storm each key gets one final answer, which is the truth.
async fn settle(running: &Cluster, keys: usize, before: &BTreeMap<String, u64>) {
    sleep(Duration::from_millis(4_000)).await;
    let mut finals: BTreeMap<String, u64> = BTreeMap::new();
    for i in 0..keys {
        let order = format!("order-{i}");
        let entry = ["e1", "e2", "e3"][i % 3];
        let answer = running
            .book(&running.entry_address(entry), &order)
            .await
            .expect("an answer");
        *finals.entry(answer.outcome.clone()).or_default() += 1;
        if answer.outcome == "not-run" {
            assert_eq!(before.get(&order), None, "not run is true: {answer:?}");
        }
    }
    let after = runs(running).await;
    assert!(
        after.values().all(|count| *count == 1),
        "a resend ran a second time"
    );
    println!("after the storm: {finals:?}, {} ran", after.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn the_fate_of_each_call_is_told_truly() {
    let running = site("fates").await;
    let e1 = running.entry_address("e1");
    let first = running.book(&e1, "plain").await.unwrap();
    let again = running.book(&running.entry_address("e2"), "plain").await.unwrap();
    assert_eq!((first.status, again.status), (200, 200));
    assert_eq!(again.headers["x-heatherramp-replayed"], "true");
    assert_eq!(first.text, again.text);
    // Another body under the same key.
    let headers = [
        ("authorization", &*format!("Bearer {}", common::CLIENT_KEY)),
        ("idempotency-key", "plain"),
    ];
    let url = format!("http://{e1}/v1/services/orders/book");
    let other = running
        .call("POST", &url, &headers, r#"{"order":"else"}"#)
        .await
        .unwrap();
    assert_eq!((other.status, other.outcome.as_str()), (422, "not-run"));
    // The connection closes after the call ran: unknown, for ever.
    for zone in ZONES {
        running
            .inject_fault(&format!("{zone}-desk"), Fault::DropAnswer)
            .await;
    }
    let lost = running.book(&e1, "lost").await.unwrap();
    assert_eq!((lost.status, lost.outcome.as_str()), (502, "unknown"));
    for zone in ZONES {
        running.inject_fault(&format!("{zone}-desk"), Fault::None).await;
    }
    sleep(Duration::from_millis(1_000)).await;
    let lost = running.book(&running.entry_address("e3"), "lost").await.unwrap();
    assert_eq!((lost.status, lost.outcome.as_str()), (502, "unknown"));
    assert_eq!(runs(&running).await["lost"], 1);
    // Without a replica nothing runs, and a later resend may.
    for zone in ZONES {
        running.set_zone(zone, true, &format!("{zone}-out")).await;
    }
    sleep(Duration::from_millis(1_000)).await;
    let refused = running.book(&e1, "later").await.unwrap();
    assert_eq!((refused.status, refused.outcome.as_str()), (503, "not-run"));
    assert!(refused.headers.contains_key("retry-after"));
    for zone in ZONES {
        running.set_zone(zone, false, &format!("{zone}-in")).await;
    }
    sleep(Duration::from_millis(1_000)).await;
    let later = running.book(&e1, "later").await.unwrap();
    assert_eq!((later.status, later.outcome.as_str()), (200, "ran"));
}
