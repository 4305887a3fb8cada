//! Operators take availability zones out of service, also while an entry is partitioned or paused.

mod common;

use std::time::Duration;

use common::Cluster;
use common::answer_text;
use common::engine_document;
use common::expected_text;
use common::link::Link;
use common::vms;
use tokio::time::sleep;

const ZONES: [&str; 3] = ["north", "south", "west"];

async fn start_cluster(name: &str) -> Cluster {
    let cluster = Cluster::start(name, (3, 3), &ZONES, |_, upstreams| {
        upstreams.vms = vms(&ZONES, 2);
        upstreams.cold_calls = 0;
    })
    .await;
    cluster.submit_and_promote(&engine_document(&ZONES, 1, 2)).await;
    cluster.wait_until_served().await;
    cluster
}

/// Sends a call every 20 ms through the named entries for `time`; returns the statuses.
async fn send_calls(cluster: &Cluster, entries: &[&str], time: Duration) -> Vec<u16> {
    let end = tokio::time::Instant::now() + time;
    let mut calls = Vec::new();
    let mut i = 0;
    while tokio::time::Instant::now() < end {
        let (http, address) = (cluster.http(), cluster.entry_address(entries[i % entries.len()]));
        calls.push(tokio::spawn(async move {
            let prompt = format!("zone {i}");
            let answer = common::chat(&http, &address, &prompt, 4, false)
                .await
                .expect("an answer");
            if answer.status == 200 {
                assert_eq!(answer_text(&answer), expected_text(&prompt, 4));
            }
            answer.status
        }));
        i += 1;
        sleep(Duration::from_millis(20)).await;
    }
    let mut statuses = Vec::new();
    for call in calls {
        statuses.push(call.await.unwrap());
    }
    statuses
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_that_is_out_gets_no_new_work_and_no_call_fails() {
    let cluster = start_cluster("zone-move").await;
    let entries = ["e1", "e2", "e3"];
    let move_zone = async {
        sleep(Duration::from_millis(500)).await;
        cluster.set_zone("north", true, "out-1").await;
        sleep(Duration::from_millis(3_000)).await;
        let arrived_after_3_s = cluster.sum_counter("north-vm", "arrived").await;
        sleep(Duration::from_millis(1_500)).await;
        let arrived_later = cluster.sum_counter("north-vm", "arrived").await;
        assert_eq!(arrived_after_3_s, arrived_later, "no new work after 3 s");
        cluster.set_zone("north", false, "in-1").await;
        sleep(Duration::from_millis(2_500)).await;
        assert!(
            cluster.sum_counter("north-vm", "arrived").await > arrived_later,
            "the zone serves again"
        );
    };
    let (statuses, ()) = tokio::join!(send_calls(&cluster, &entries, Duration::from_secs(8)), move_zone);
    let failed = statuses.iter().filter(|s| **s != 200).count();
    assert_eq!(failed, 0, "of {} calls", statuses.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_entry_serves_nothing_after_its_lease_expires() {
    let cluster = start_cluster("zone-paused").await;
    cluster.signal("e1", "STOP");
    cluster.set_zone("north", true, "out-paused").await;
    sleep(Duration::from_millis(3_000)).await;
    let arrived_before = cluster.sum_counter("north-vm", "arrived").await;
    // Calls to the paused entry wait in its sockets until it resumes.
    let http = cluster.http();
    let calls: Vec<_> = (0..20)
        .map(|i| {
            let (http, address) = (http.clone(), cluster.entry_address("e1"));
            tokio::spawn(async move { common::chat(&http, &address, &format!("paused {i}"), 4, false).await })
        })
        .collect();
    sleep(Duration::from_millis(300)).await;
    cluster.signal("e1", "CONT");
    for call in calls {
        let answer = call.await.unwrap().expect("an answer");
        assert!(answer.status == 200 || answer.outcome == "not-run", "{answer:?}");
    }
    assert_eq!(cluster.sum_counter("north-vm", "arrived").await, arrived_before);
    cluster.wait_until_served().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_without_a_leader_stops_when_its_lease_expires() {
    let mut cluster = start_cluster("zone-no-leader").await;
    // With all control processes paused, no entry can renew its lease, which lasts 2 s.
    for control in ["c1", "c2", "c3"] {
        cluster.signal(control, "STOP");
    }
    sleep(Duration::from_millis(2_600)).await;
    let arrived_before = cluster.sum_counter("vm", "arrived").await;
    let statuses = send_calls(&cluster, &["e1", "e2"], Duration::from_millis(500)).await;
    assert!(statuses.iter().all(|s| *s == 503), "{statuses:?}");
    assert_eq!(cluster.sum_counter("vm", "arrived").await, arrived_before);
    for control in ["c1", "c2", "c3"] {
        cluster.signal(control, "CONT");
    }
    cluster.wait_until_served().await;
    cluster.kill("c1");
    cluster.wait_until_served().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_is_taken_out_while_one_entry_is_partitioned() {
    let mut cluster = start_cluster("zone-partitioned").await;
    let mut links = Vec::new();
    cluster.kill("e1");
    for i in 0..3 {
        let link = Link::open(cluster.site.controls[i].listen_peer).await;
        cluster.site.entries[0].control[i].address = link.address.to_string();
        links.push(link);
    }
    cluster.spawn("e1");
    cluster.wait_until_served().await;
    links.iter().for_each(|l| l.set_cut(true));
    cluster.set_zone("north", true, "out-partitioned").await;
    // Calls still go to all entries, as from a load balancer that has not noticed the partition.
    let calls = send_calls(&cluster, &["e1", "e2", "e3"], Duration::from_secs(5));
    let check_zone = async {
        sleep(Duration::from_secs(3)).await;
        let arrived_after_3_s = cluster.sum_counter("north-vm", "arrived").await;
        sleep(Duration::from_millis(1_500)).await;
        assert_eq!(
            cluster.sum_counter("north-vm", "arrived").await,
            arrived_after_3_s
        );
    };
    let (statuses, ()) = tokio::join!(calls, check_zone);
    let refused = statuses.iter().filter(|s| **s == 503).count();
    assert!(
        refused > 0,
        "the partitioned entry stopped when its lease expired"
    );
    assert!(statuses.iter().all(|s| *s == 200 || *s == 503), "{statuses:?}");
    let ready = cluster
        .call(
            "GET",
            &format!("http://{}/ready", cluster.entry_address("e1")),
            &[],
            "",
        )
        .await;
    assert_eq!(ready.unwrap().status, 503, "readiness fails");
    links.iter().for_each(|l| l.set_cut(false));
    cluster.wait_until_served().await;
}
