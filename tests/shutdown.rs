//! Graceful shutdown interrupts no call.

mod common;

use std::time::Duration;

use common::Cluster;
use common::engine_document;
use common::expected_text;
use common::service_document;
use common::streamed_text;
use common::vms;
use tokio::time::sleep;

#[tokio::test(flavor = "multi_thread")]
async fn sigterm_under_streaming_load_interrupts_no_stream() {
    let zones = ["north", "south"];
    let mut cluster = Cluster::start("shutdown", (3, 3), &zones, |_, upstreams| {
        upstreams.vms = vms(&zones, 8);
        upstreams.cold_calls = 0;
        upstreams.token_ms = 40;
        upstreams.batch = 64;
    })
    .await;
    let mut document = engine_document(&zones, 8, 1);
    document["limits"]["in_flight_per_replica"] = 32.into();
    document["limits"]["in_flight_cold"] = 32.into();
    cluster.submit_and_promote(&document).await;
    cluster.wait_until_served().await;
    sleep(Duration::from_millis(1_000)).await;
    let calls: Vec<_> = (0..240)
        .map(|i| {
            let (http, address) = (cluster.http(), cluster.entry_address(["e1", "e2", "e3"][i % 3]));
            tokio::spawn(async move {
                let prompt = format!("stream {i}");
                let answer = common::chat(&http, &address, &prompt, 100, true).await;
                (prompt, answer)
            })
        })
        .collect();
    sleep(Duration::from_millis(800)).await;
    cluster.signal("e2", "TERM");
    sleep(Duration::from_millis(100)).await;
    // A second signal does not shorten the shutdown.
    cluster.signal("e2", "TERM");
    let ready = cluster
        .call(
            "GET",
            &format!("http://{}/ready", cluster.entry_address("e2")),
            &[],
            "",
        )
        .await;
    assert_eq!(
        ready.expect("still listening").status,
        503,
        "readiness fails first"
    );
    let late = cluster
        .chat(&cluster.entry_address("e2"), "late", 3)
        .await
        .expect("still served");
    assert_eq!(late.status, 200, "{}", late.text);
    cluster.signal("c1", "TERM");
    let mut interrupted = 0;
    for call in calls {
        let (prompt, answer) = call.await.unwrap();
        let is_complete = answer.as_ref().and_then(streamed_text) == Some(expected_text(&prompt, 100));
        if !is_complete {
            interrupted += 1;
            println!("{prompt}: {answer:?}");
        }
    }
    assert_eq!(interrupted, 0, "interrupted streams");
    assert_eq!(cluster.exit_code("e2", Duration::from_secs(20)).await, Some(0));
    assert_eq!(cluster.exit_code("c1", Duration::from_secs(5)).await, Some(0));
    let after = cluster
        .chat(&cluster.entry_address("e1"), "after", 3)
        .await
        .unwrap();
    assert_eq!(after.status, 200);
}

/// Guards against calls that an entry takes while it shuts down, or has taken before, and cuts without an answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_outlasts_the_shutdown_is_answered_or_refused_as_not_run() {
    let zones = ["north"];
    let cluster = Cluster::start("outlasting", (3, 2), &zones, |site, upstreams| {
        upstreams.vms = vms(&zones, 0);
        upstreams.service_ms = 4_000;
        for entry in &mut site.entries {
            entry.drain.longest_ms = 1_500;
        }
    })
    .await;
    cluster.submit_and_promote(&service_document(&zones)).await;
    let e1 = cluster.entry_address("e1");
    let mut attempts = (0..40).map(|i| format!("ready-{i}"));
    loop {
        let order = attempts.next().expect("the service answers");
        if cluster.book(&e1, &order).await.is_some_and(|a| a.status == 200) {
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    let running = cluster.book(&e1, "running");
    let late = async {
        sleep(Duration::from_millis(300)).await;
        cluster.signal("e1", "TERM");
        sleep(Duration::from_millis(300)).await;
        cluster.book(&e1, "late").await
    };
    let (running, late) = tokio::join!(running, late);
    let late = late.expect("an answer to the late call");
    assert_eq!((late.status, late.outcome.as_str()), (503, "not-run"));
    assert!(late.headers.contains_key("retry-after"));
    let running = running.expect("an answer to the running call");
    assert_eq!((running.status, running.outcome.as_str()), (502, "unknown"));
    sleep(Duration::from_millis(1_000)).await;
    let counts = cluster.counts("north-desk").await;
    assert_eq!(counts["runs"]["running"].as_u64(), Some(1));
    assert_eq!(counts["runs"].get("late"), None, "refused as not run");
}
