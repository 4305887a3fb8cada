//! Latency and failures of a whole system under load, faults and zone moves, beside two baselines.
//!
//! Run with `cargo bench --bench serving -- [tri-state|vuurwag] [seconds] [seed]`.
//! Real daemons run on loopback; the upstreams are stand-ins in this process. The
//! baselines send calls straight to the engines: round robin, and to the least loaded
//! by reports that are up to about two seconds old.

#[path = "../tests/common/mod.rs"]
mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use common::CLIENT_KEY;
use common::Cluster;
use common::usage;
use common::usage::Usage;
use hdrhistogram::Histogram;
use heatherramp::domain::environment;
use heatherramp::domain::environment::Kind;
use heatherramp::standin;
use heatherramp::standin::Fault;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::time::sleep;

const MEMBERS_PER_GROUP: usize = 4;
const ANSWER_TOKENS: u64 = 24;
const PREFILL_MS: u64 = 100;
const TOKEN_MS: u64 = 20;
const ENGINE_BATCH: usize = 8;
/// Load as a fraction of the capacity of all groups.
const LOAD_FRACTION: f64 = 0.5;
/// Latency target for the first token.
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(780);

type Http = Client<HttpConnector, Full<Bytes>>;

/// Zones of one user's system, and the weights in its environment document.
struct Profile {
    name: &'static str,
    zones: [&'static str; 3],
    group_downtime_weight: u32,
    zone_move_weight: u32,
}

const PROFILES: [Profile; 2] = [
    Profile {
        name: "tri-state",
        zones: ["gadsden", "spartanburg", "chattanooga"],
        group_downtime_weight: 3,
        zone_move_weight: 1,
    },
    Profile {
        name: "vuurwag",
        zones: ["johannesburg-1", "johannesburg-2", "johannesburg-3"],
        group_downtime_weight: 1,
        zone_move_weight: 3,
    },
];

/// What chooses the upstream of a call.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Balancer {
    /// An entry of the system.
    Heatherramp,
    /// The benchmark itself: the engines in turn.
    RoundRobin,
    /// The benchmark itself: an engine with the least load by its last report.
    StaleLeastLoaded,
}

/// Outcomes and latencies of the calls of one series.
#[derive(Debug)]
struct Tally {
    /// Time to the first token, in microseconds.
    first_token_us: Histogram<u64>,
    /// Calls whose whole text is as expected.
    ok: u64,
    /// Calls with status 503.
    refused: u64,
    /// Calls with a wrong or incomplete text or none, and another status than 503.
    wrong_or_cut: u64,
    /// Tokens of the calls in `ok`.
    tokens: u64,
}

impl Tally {
    fn new() -> Self {
        Tally {
            first_token_us: Histogram::new(3).expect("a histogram"),
            ok: 0,
            refused: 0,
            wrong_or_cut: 0,
            tokens: 0,
        }
    }

    fn print(&self, name: &str) {
        let ms = |q: f64| self.first_token_us.value_at_quantile(q) as f64 / 1_000.0;
        let late_fraction = 1.0
            - self
                .first_token_us
                .percentile_below(FIRST_TOKEN_TARGET.as_micros() as u64)
                / 100.0;
        println!(
            "  {name}: ok {}, refused {}, wrong or cut {}, first token p50 {:.1} p95 {:.1} p99 {:.1} ms, over 780 ms {:.2} %",
            self.ok,
            self.refused,
            self.wrong_or_cut,
            ms(0.5),
            ms(0.95),
            ms(0.99),
            late_fraction * 100.0
        );
    }
}

/// Engines that a baseline calls: the heads of all groups, with their last reported loads.
#[derive(Debug, Default)]
struct Engines {
    addresses: Vec<String>,
    loads: Mutex<Vec<usize>>,
    next_turn: AtomicUsize,
}

impl Engines {
    fn next_address(&self, balancer: Balancer) -> String {
        let turn = self.next_turn.fetch_add(1, Ordering::Relaxed);
        let index = match balancer {
            Balancer::StaleLeastLoaded => {
                let loads = self.loads.lock().expect("loads");
                let least = loads.iter().min().copied().unwrap_or(0);
                let least_loaded: Vec<usize> = (0..loads.len()).filter(|i| loads[*i] == least).collect();
                least_loaded[turn % least_loaded.len()]
            }
            _ => turn % self.addresses.len(),
        };
        self.addresses[index].clone()
    }
}

fn vms(profile: &Profile) -> Vec<standin::VmSettings> {
    let mut vms = Vec::new();
    for (zone_index, zone) in profile.zones.iter().enumerate() {
        let replicas = if zone_index == 2 { 16 } else { 17 };
        // One spare group's worth of VMs in each zone.
        for i in 0..(replicas + 1) * MEMBERS_PER_GROUP {
            vms.push(standin::VmSettings {
                name: format!("{zone}-vm{i:03}"),
                listen: ([127, 0, 0, 1], 0).into(),
                availability_zone: (*zone).to_owned(),
                // A rack holds the VMs of six groups and is one fabric domain.
                fabric_domain: format!("{zone}-rack{}", i / (6 * MEMBERS_PER_GROUP)),
                kind: Kind::Engine,
                service: String::new(),
            });
        }
    }
    vms
}

/// Starts the daemons and waits until all groups are complete.
async fn start_cluster(profile: &Profile) -> Cluster {
    let cluster = Cluster::start("serving", (3, 7), &profile.zones, |site, upstreams| {
        for entry in &mut site.entries {
            entry.drain.grace_ms = 500;
        }
        upstreams.vms = self::vms(profile);
        upstreams.announce_ms = 1_000;
        upstreams.prefill_ms = PREFILL_MS;
        upstreams.token_ms = TOKEN_MS;
        upstreams.batch = ENGINE_BATCH;
        upstreams.cold_limit = 4;
        upstreams.load_ms = 2_000;
    })
    .await;
    let document = json!({
        "environment": "notes", "model": "notes-70b", "members_per_replica": MEMBERS_PER_GROUP,
        "replicas_per_availability_zone":
            {profile.zones[0]: 17, profile.zones[1]: 17, profile.zones[2]: 16},
        "trial_replicas": 0,
        "limits": {"in_flight_per_replica": ENGINE_BATCH, "in_flight_cold": 3, "warmup_calls": 8, "stall_ms": 2000},
        "weights": {"group_downtime": profile.group_downtime_weight, "zone_move": profile.zone_move_weight},
        "client_accounts": [{"name": "test", "key_digest": environment::digest_key(CLIENT_KEY)}],
    });
    cluster.submit_and_promote(&document).await;
    cluster.wait_until_served().await;
    wait_for_groups(&cluster, 50).await;
    cluster
}

/// Number of complete groups, and of accelerators outside complete groups.
async fn count_complete_and_stranded(cluster: &Cluster) -> (usize, u64) {
    let status = cluster.status().await;
    let vms = &status["vms"];
    let groups = status["state"]["groups"].as_object().expect("groups");
    let complete = groups.values().filter(|group| {
        let members = group["members"].as_array().expect("members");
        members.iter().all(|m| {
            let vm = &vms[m["vm"].as_str().expect("a name")];
            vm["ready"] == true && vm["present"] == true && vm["fence"] == group["fence"]
        })
    });
    let stranded = status["stranded_accelerators"].as_u64().unwrap_or(0);
    (complete.count(), stranded)
}

async fn wait_for_groups(cluster: &Cluster, count: usize) {
    for _ in 0..600 {
        if count_complete_and_stranded(cluster).await.0 >= count {
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
    panic!("{count} groups did not become complete");
}

/// Engines to call: the first members of all groups.
async fn find_engines(cluster: &Cluster) -> Engines {
    let status = cluster.status().await;
    let groups = status["state"]["groups"].as_object().expect("groups");
    let addresses: Vec<String> = groups
        .values()
        .map(|g| {
            g["members"][0]["address"]
                .as_str()
                .expect("an address")
                .to_owned()
        })
        .collect();
    Engines {
        loads: Mutex::new(vec![0; addresses.len()]),
        addresses,
        next_turn: AtomicUsize::new(0),
    }
}

/// Fetches the load reports of all engines again and again, with a pause of two seconds.
async fn poll_loads(http: Http, engines: Arc<Engines>) {
    loop {
        for (i, address) in engines.addresses.iter().enumerate() {
            let url = format!("http://{address}/report");
            let exchange = tokio::time::timeout(
                Duration::from_millis(200),
                common::call(&http, "GET", &url, &[], ""),
            );
            if let Ok(Some(answer)) = exchange.await {
                let load = answer.json()["running"].as_u64().unwrap_or(0);
                engines.loads.lock().expect("loads")[i] = load as usize;
            }
        }
        sleep(Duration::from_secs(2)).await;
    }
}

/// One streamed call, to an engine if `is_direct`, else to an entry.
///
/// Returns the time to the first token, whether the text is as expected, and the status, which is 0
/// if no answer came.
async fn stream_call(
    http: &Http,
    address: &str,
    prompt: &str,
    is_direct: bool,
) -> (Option<Duration>, bool, u16) {
    let body = json!({
        "model": "notes", "stream": true, "max_tokens": ANSWER_TOKENS,
        "messages": [{"role": "user", "content": prompt}],
    });
    let request = http::Request::post(format!("http://{address}/v1/chat/completions"))
        .header("authorization", format!("Bearer {CLIENT_KEY}"))
        .header("x-request-id", "direct")
        .body(Full::from(body.to_string()))
        .expect("a request");
    let start = Instant::now();
    let Ok(Ok(response)) = tokio::time::timeout(Duration::from_secs(10), http.request(request)).await else {
        return (None, false, 0);
    };
    let status = response.status().as_u16();
    let mut body = response.into_body();
    let (mut first_token, mut text) = (None, String::new());
    while let Ok(Some(Ok(frame))) = tokio::time::timeout(Duration::from_secs(10), body.frame()).await {
        let data = frame.into_data().unwrap_or_default();
        if first_token.is_none() && status == 200 {
            first_token = Some(start.elapsed());
        }
        text.push_str(&String::from_utf8_lossy(&data));
    }
    let expected = common::expected_text(prompt, ANSWER_TOKENS);
    let received = if is_direct {
        engine_text(&text)
    } else {
        entry_text(&text)
    };
    (
        first_token,
        received.as_deref() == Some(expected.as_str()),
        status,
    )
}

/// Text of a stream from an entry; `None` unless it ended with `[DONE]`.
fn entry_text(text: &str) -> Option<String> {
    common::streamed_text(&common::Answer {
        status: 200,
        outcome: String::new(),
        headers: http::HeaderMap::new(),
        text: text.to_owned(),
    })
}

/// Text of a stream from an engine; `None` unless it ended with `[DONE]`.
fn engine_text(text: &str) -> Option<String> {
    let mut received = String::new();
    for event in text.split("\n\n").filter_map(|e| e.strip_prefix("data: ")) {
        if event == "[DONE]" {
            return Some(received);
        }
        let token: serde_json::Value = serde_json::from_str(event).ok()?;
        received.push_str(token["text"].as_str()?);
    }
    None
}

/// Open-loop load for `time`; each call draws its balancer by the given fractions.
async fn generate_load(
    cluster: &Cluster,
    engines: &Arc<Engines>,
    balancers: &[(Balancer, f64)],
    time: Duration,
    seed: u64,
) -> BTreeMap<Balancer, Tally> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let call_seconds = Duration::from_millis(PREFILL_MS + ANSWER_TOKENS * TOKEN_MS).as_secs_f64();
    // Calls per second: the load fraction of the capacity of 50 groups.
    let rate = 50.0 * ENGINE_BATCH as f64 / call_seconds * LOAD_FRACTION;
    let addresses: Vec<String> = cluster
        .site
        .entries
        .iter()
        .map(|e| e.listen_http.to_string())
        .collect();
    let end = Instant::now() + time;
    let mut next = Instant::now();
    let mut calls = Vec::new();
    let mut i = 0_u64;
    while Instant::now() < end {
        // Poisson arrivals, independent of the answers.
        next += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate);
        tokio::time::sleep_until(next.into()).await;
        let mut draw = rng.random::<f64>();
        let balancer = balancers.iter().find(|(_, fraction)| {
            draw -= fraction;
            draw < 0.0
        });
        let balancer = balancer.map_or(balancers[0].0, |(balancer, _)| *balancer);
        let is_direct = balancer != Balancer::Heatherramp;
        let address = if is_direct {
            engines.next_address(balancer)
        } else {
            addresses[rng.random_range(0..addresses.len())].clone()
        };
        let http = cluster.http();
        let prompt = format!("prompt {seed} {i}");
        calls.push((
            balancer,
            tokio::spawn(async move { stream_call(&http, &address, &prompt, is_direct).await }),
        ));
        i += 1;
    }
    let mut tallies: BTreeMap<Balancer, Tally> = BTreeMap::new();
    for (balancer, call) in calls {
        let tally = tallies.entry(balancer).or_insert_with(Tally::new);
        let (first_token, is_correct, status) = call.await.expect("no panic");
        match (is_correct, status) {
            (true, _) => {
                tally.ok += 1;
                tally.tokens += ANSWER_TOKENS;
                let first_token = first_token.expect("a whole text has a first token");
                tally
                    .first_token_us
                    .record(first_token.as_micros() as u64)
                    .expect("in range");
            }
            (false, 503) => tally.refused += 1,
            (false, _) => tally.wrong_or_cut += 1,
        }
    }
    tallies
}

/// Usage of all daemons, summed by role.
fn usage_by_role(cluster: &Cluster) -> BTreeMap<&'static str, Usage> {
    let mut sums: BTreeMap<&'static str, Usage> = BTreeMap::new();
    for (name, id) in cluster.process_ids() {
        let role = if name.starts_with('c') { "control" } else { "entry" };
        let (sum, used) = (sums.entry(role).or_default(), usage::of_process(id));
        sum.processor_seconds += used.processor_seconds;
        sum.resident_mb += used.resident_mb;
    }
    sums
}

/// Prints the mean usage per daemon since `before`; returns the entries' processor seconds.
fn print_usage(cluster: &Cluster, before: &BTreeMap<&str, Usage>, time: Duration) -> f64 {
    let mut entry_seconds = 0.0;
    for (role, used) in usage_by_role(cluster) {
        let count = if role == "control" { 3.0 } else { 7.0 };
        let spent = used.processor_seconds - before[role].processor_seconds;
        let percent = spent / time.as_secs_f64() / count * 100.0;
        println!(
            "  {role}: {percent:.2} % of a core, {:.1} MB each",
            used.resident_mb / count
        );
        if role == "entry" {
            entry_seconds = spent;
        }
    }
    entry_seconds
}

/// Usage of the daemons without calls.
async fn measure_idle(cluster: &Cluster, time: Duration) {
    println!(
        "idle for {} s, 212 VMs, 50 groups, 7 entries, 3 control processes",
        time.as_secs()
    );
    let before = usage_by_role(cluster);
    sleep(time).await;
    print_usage(cluster, &before, time);
}

/// Latency that the entries add to calls sent straight to the engines, and their cost.
async fn measure_half_load(cluster: &Cluster, engines: &Arc<Engines>, time: Duration, seed: u64) {
    println!(
        "half load for {} s, one call of five straight to an engine",
        time.as_secs()
    );
    let before = usage_by_role(cluster);
    let balancers = [(Balancer::Heatherramp, 0.8), (Balancer::RoundRobin, 0.2)];
    let start = Instant::now();
    let tallies = generate_load(cluster, engines, &balancers, time, seed).await;
    let entry_seconds = print_usage(cluster, &before, start.elapsed());
    let (ours, direct) = (&tallies[&Balancer::Heatherramp], &tallies[&Balancer::RoundRobin]);
    ours.print("heatherramp");
    direct.print("straight");
    let added = |q: f64| {
        (ours.first_token_us.value_at_quantile(q) as f64 - direct.first_token_us.value_at_quantile(q) as f64)
            / 1_000.0
    };
    println!(
        "  added to the first token: p50 {:.2}, p95 {:.2}, p99 {:.2} ms",
        added(0.5),
        added(0.95),
        added(0.99)
    );
    println!(
        "  per core of the entries: {:.0} requests/s, {:.0} tokens/s",
        ours.ok as f64 / entry_seconds,
        ours.tokens as f64 / entry_seconds
    );
}

/// Takes a zone out and back in under load.
async fn measure_zone_move(cluster: &Cluster, engines: &Arc<Engines>, zone: &str, time: Duration, seed: u64) {
    println!("zone {zone} out and in within {} s", time.as_secs());
    let balancers = [(Balancer::Heatherramp, 1.0)];
    let moves = async {
        sleep(time / 5).await;
        cluster.set_zone(zone, true, &format!("out-{seed}")).await;
        sleep(time * 2 / 5).await;
        cluster.set_zone(zone, false, &format!("in-{seed}")).await;
    };
    let (tallies, ()) = tokio::join!(generate_load(cluster, engines, &balancers, time, seed), moves);
    tallies[&Balancer::Heatherramp].print("heatherramp");
}

/// Lets VMs die or turn cold under load through one balancer, and restarts each at least 4 s later or
/// at the end.
async fn measure_faults(
    cluster: &Cluster,
    engines: &Arc<Engines>,
    balancer: Balancer,
    time: Duration,
    seed: u64,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let names: Vec<String> = cluster.fleet.addresses.keys().cloned().collect();
    let end = Instant::now() + time;
    let mut down: Vec<(Instant, String)> = Vec::new();
    let inject_faults = async {
        while Instant::now() < end {
            sleep(Duration::from_millis(1_500)).await;
            let name = names[rng.random_range(0..names.len())].clone();
            let fault = if rng.random_ratio(1, 3) {
                Fault::Cold
            } else {
                Fault::Dead
            };
            cluster.inject_fault(&name, fault).await;
            down.push((Instant::now() + Duration::from_secs(4), name));
            let (due, still_down): (Vec<_>, Vec<_>) =
                down.drain(..).partition(|(at, _)| *at <= Instant::now());
            down = still_down;
            for (_, name) in due {
                cluster.inject_fault(&name, Fault::Restart).await;
                cluster.inject_fault(&name, Fault::None).await;
            }
        }
        for (_, name) in down.drain(..) {
            cluster.inject_fault(&name, Fault::Restart).await;
            cluster.inject_fault(&name, Fault::None).await;
        }
    };
    let observe = async {
        let (mut groups_down, mut stranded, mut samples) = (0.0, 0.0, 0.0);
        while Instant::now() < end {
            let (complete, stranded_now) = count_complete_and_stranded(cluster).await;
            groups_down += (50 - complete.min(50)) as f64;
            stranded += stranded_now as f64;
            samples += 1.0;
            sleep(Duration::from_millis(200)).await;
        }
        (groups_down / samples, stranded / samples)
    };
    let balancers = [(balancer, 1.0)];
    let (tallies, (), (groups_down, stranded)) = tokio::join!(
        generate_load(cluster, engines, &balancers, time, seed),
        inject_faults,
        observe
    );
    tallies[&balancer].print(&format!("{balancer:?}"));
    println!(
        "  groups down {groups_down:.2} of 50, accelerators outside complete groups {stranded:.1} of 212 (mean)"
    );
    wait_for_groups(cluster, 50).await;
}

#[tokio::main]
async fn main() {
    let arguments = common::positional_arguments();
    let argument = |i: usize| arguments.get(i).map(String::as_str);
    let seconds = argument(1).and_then(|s| s.parse().ok()).unwrap_or(15);
    let seed = argument(2).and_then(|s| s.parse().ok()).unwrap_or(1);
    let time = Duration::from_secs(seconds);
    for profile in PROFILES
        .iter()
        .filter(|p| argument(0).is_none_or(|a| a == p.name))
    {
        println!("site {}, seed {seed}", profile.name);
        let cluster = start_cluster(profile).await;
        let engines = Arc::new(find_engines(&cluster).await);
        let poller = tokio::spawn(poll_loads(cluster.http(), engines.clone()));
        measure_idle(&cluster, time / 2).await;
        // Warm-up: these calls end the cold start of all replicas.
        generate_load(
            &cluster,
            &engines,
            &[(Balancer::Heatherramp, 1.0)],
            time / 2,
            seed + 10,
        )
        .await;
        measure_half_load(&cluster, &engines, time, seed).await;
        measure_zone_move(&cluster, &engines, profile.zones[0], time, seed).await;
        println!("a VM dies or falls cold every 1.5 s for {} s", time.as_secs());
        for balancer in [
            Balancer::Heatherramp,
            Balancer::RoundRobin,
            Balancer::StaleLeastLoaded,
        ] {
            measure_faults(&cluster, &engines, balancer, time, seed).await;
        }
        poller.abort();
    }
}
