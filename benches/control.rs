//! Commit latency, failover time and idle cost of real control processes.
//!
//! Run with `cargo bench --bench control -- [commits|idle]`.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Duration;
use std::time::Instant;

use common::Cluster;
use common::engine_document;
use common::link::Link;
use common::usage;
use common::vms;
use hdrhistogram::Histogram;
use heatherramp::adapters::control::Client;
use heatherramp::adapters::quic::Credentials;
use heatherramp::adapters::quic::Pool;
use heatherramp::domain::state::Call;
use heatherramp::domain::state::Command;
use heatherramp::settings::Peer;
use serde_json::json;
use tokio::time::sleep;

/// Client that sends commands to the control processes over QUIC.
fn control_client(cluster: &Cluster) -> Client {
    let keys = Credentials::load(&cluster.site.controls[0].keys).expect("keys");
    let peers: Vec<Peer> = cluster.site.controls[0].control.clone();
    Client::new(Pool::new(&keys).expect("a port"), &peers)
}

/// Command that begins a non-repeatable call with a key of its own.
fn begin_command(i: u64) -> Command {
    Command::Begin {
        call: Call {
            client_account: "bench".to_owned(),
            environment: "orders".to_owned(),
            key: format!("key-{i}"),
            digest: i,
            arrived_ms: u64::MAX,
        },
        attempt: format!("attempt-{i}"),
        session: "bench".to_owned(),
    }
}

/// Commits one command after another for `time` in each of `parallel` tasks; prints latency
/// percentiles and the rate.
async fn measure_commits(client: &Client, voters: usize, parallel: u64, time: Duration) {
    let start = Instant::now();
    let workers = (0..parallel).map(|worker| {
        let client = client.clone();
        tokio::spawn(async move {
            let mut histogram = Histogram::<u64>::new(3).expect("a histogram");
            // Keys differ between the tasks and between runs with another number of tasks.
            let mut i = (worker + parallel * 1_000) * 1_000_000;
            while start.elapsed() < time {
                let started = Instant::now();
                let committed = client.propose(&begin_command(i), Duration::from_secs(5)).await;
                committed.expect("a leader");
                histogram
                    .record(started.elapsed().as_micros() as u64)
                    .expect("in range");
                i += 1;
            }
            histogram
        })
    });
    let workers: Vec<_> = workers.collect();
    let mut all = Histogram::<u64>::new(3).expect("a histogram");
    for worker in workers {
        all.add(worker.await.expect("no panic")).expect("in range");
    }
    println!(
        "{voters} voters, {parallel} clients: p50 {:.2} ms, p99 {:.2} ms, {:.0} commits/s",
        all.value_at_quantile(0.5) as f64 / 1_000.0,
        all.value_at_quantile(0.99) as f64 / 1_000.0,
        all.len() as f64 / time.as_secs_f64()
    );
}

/// Six times, kills the leader and starts it again after the next commit; prints the times until that
/// commit.
async fn measure_failover(cluster: &mut Cluster, client: &Client) {
    let mut times = Vec::new();
    for round in 0..6 {
        let status = client.status(Duration::from_secs(10)).await.expect("a leader");
        cluster.kill(&status.leader);
        let start = Instant::now();
        let committed = client
            .propose(&begin_command(1 << 50 | round), Duration::from_secs(20))
            .await;
        committed.expect("a new leader");
        times.push(start.elapsed().as_millis());
        cluster.spawn(&status.leader);
        sleep(Duration::from_millis(1_500)).await;
    }
    println!(
        "failover after kill -9 of the leader, {} times: {times:?} ms",
        times.len()
    );
}

/// Prints the usage of one entry and one control process with `count` VMs in groups of one,
/// without calls; with one operator change per second if `is_changing`.
async fn measure_idle(count: usize, is_changing: bool) {
    let zones = ["north"];
    let cluster = Cluster::start("idle", (1, 1), &zones, |_, upstreams| {
        upstreams.vms = vms(&zones, count);
        upstreams.announce_ms = 1_000;
    })
    .await;
    let mut cluster = cluster;
    let mut links = Vec::new();
    // The entry is started again with links to the control processes, which count its traffic.
    cluster.kill("e1");
    for i in 0..cluster.site.entries[0].control.len() {
        let target = cluster.site.controls[i].listen_peer;
        let link = Link::open(target).await;
        cluster.site.entries[0].control[i].address = link.address.to_string();
        links.push(link);
    }
    cluster.spawn("e1");
    cluster
        .submit_and_promote(&engine_document(&zones, count, 1))
        .await;
    cluster.wait_until_served().await;
    sleep(Duration::from_secs(4)).await;
    let ids: Vec<(String, u32)> = cluster.process_ids();
    let before: Vec<f64> = ids
        .iter()
        .map(|(_, id)| usage::of_process(*id).processor_seconds)
        .collect();
    let bytes_before: u64 = links.iter().map(Link::bytes).sum();
    let time = Duration::from_secs(10);
    let start = Instant::now();
    let mut i = 0;
    while start.elapsed() < time {
        if is_changing {
            i += 1;
            let change = json!({"set_zone": {"zone": "north", "out": false}});
            cluster.request_change(&format!("change-{i}"), change).await;
        }
        sleep(Duration::from_secs(1)).await;
    }
    let changes_per_second = u64::from(is_changing);
    let spent = start.elapsed().as_secs_f64();
    let sent: u64 = links.iter().map(Link::bytes).sum::<u64>() - bytes_before;
    for ((name, id), before) in ids.iter().zip(before) {
        let percent = (usage::of_process(*id).processor_seconds - before) / spent * 100.0;
        let memory = usage::of_process(*id).resident_mb;
        println!(
            "{count} VMs, {changes_per_second} changes/s, {name}: {percent:.2} % of a core, {memory:.1} MB"
        );
    }
    println!(
        "{count} VMs, {changes_per_second} changes/s, entry and control: {:.0} B/s of UDP payload",
        sent as f64 / spent
    );
}

async fn measure_commits_and_failover() {
    for voters in [3, 5] {
        let mut cluster = Cluster::start("commits", (voters, 0), &["north"], |_, _| {}).await;
        let client = control_client(&cluster);
        client.status(Duration::from_secs(20)).await.expect("a leader");
        for parallel in [1, 64] {
            measure_commits(&client, voters, parallel, Duration::from_secs(4)).await;
        }
        if voters == 3 {
            measure_failover(&mut cluster, &client).await;
        }
    }
}

#[tokio::main]
async fn main() {
    let arguments = common::positional_arguments();
    let is_selected = |name: &str| arguments.is_empty() || arguments.iter().any(|a| a == name);
    if is_selected("commits") {
        measure_commits_and_failover().await;
    }
    if is_selected("idle") {
        for count in [21, 84, 168] {
            measure_idle(count, false).await;
        }
        measure_idle(21, true).await;
    }
}
