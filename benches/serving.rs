//! Service of a whole site under load, faults and zone moves, beside two baselines.
//!
//! Run with `cargo bench --bench serving -- [tri-state|vuurwag] [seconds] [seed]`.
//! Real daemons run on loopback; the upstreams are stand-ins in this process. The
//! baselines send calls straight to the engines: in turn, and to the least loaded by
//! reports that are two seconds old.

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

const MEMBERS: usize = 4;
const TOKENS: u64 = 24;
const PREFILL_MS: u64 = 100;
const TOKEN_MS: u64 = 20;
const BATCH: usize = 8;
/// Part of the capacity that the load takes.
const LOAD: f64 = 0.5;
/// Limit of the target for the first token.
const FIRST_TOKEN_LIMIT: Duration = Duration::from_millis(780);

type Http = Client<HttpConnector, Full<Bytes>>;

/// A site as one of the users runs it.
struct Profile {
    name: &'static str,
    zones: [&'static str; 3],
    downtime_weight: u32,
    zone_weight: u32,
}

const PROFILES: [Profile; 2] = [
    Profile {
        name: "tri-state",
        zones: ["gadsden", "spartanburg", "chattanooga"],
        downtime_weight: 3,
        zone_weight: 1,
    },
    Profile {
        name: "vuurwag",
        zones: ["johannesburg-1", "johannesburg-2", "johannesburg-3"],
        downtime_weight: 1,
        zone_weight: 3,
    },
];

/// Where a call goes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Way {
    Heatherramp,
    RoundRobin,
    StaleLeastLoaded,
}

/// What one series of calls gave.
#[derive(Debug)]
struct Tally {
    first: Histogram<u64>,
    ok: u64,
    refused: u64,
    bad: u64,
    tokens: u64,
}

impl Tally {
    fn new() -> Self {
        Tally {
            first: Histogram::new(3).expect("a histogram"),
            ok: 0,
            refused: 0,
            bad: 0,
            tokens: 0,
        }
    }

    fn line(&self, name: &str) {
        let ms = |q: f64| self.first.value_at_quantile(q) as f64 / 1_000.0;
        let late = 1.0 - self.first.percentile_below(FIRST_TOKEN_LIMIT.as_micros() as u64) / 100.0;
        println!(
            "  {name}: ok {}, refused {}, wrong or cut {}, first token p50 {:.1} p95 {:.1} p99 {:.1} ms, over 780 ms {:.2} %",
            self.ok,
            self.refused,
            self.bad,
            ms(0.5),
            ms(0.95),
            ms(0.99),
            late * 100.0
        );
    }
}

/// Engines that a baseline calls, with their last reported load.
#[derive(Debug, Default)]
struct Engines {
    addresses: Vec<String>,
    loads: Mutex<Vec<usize>>,
    turn: AtomicUsize,
}

impl Engines {
    fn next(&self, way: Way) -> String {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let at = match way {
            Way::StaleLeastLoaded => {
                let loads = self.loads.lock().expect("loads");
                let least = loads.iter().min().copied().unwrap_or(0);
                let equal: Vec<usize> = (0..loads.len()).filter(|i| loads[*i] == least).collect();
                equal[turn % equal.len()]
            }
            _ => turn % self.addresses.len(),
        };
        self.addresses[at].clone()
    }
}

fn upstreams(profile: &Profile) -> Vec<standin::VmSettings> {
    let mut vms = Vec::new();
    for (z, zone) in profile.zones.iter().enumerate() {
        let replicas = if z == 2 { 16 } else { 17 };
        // One spare group's worth of VMs in each zone.
        for i in 0..(replicas + 1) * MEMBERS {
            vms.push(standin::VmSettings {
                name: format!("{zone}-vm{i:03}"),
                listen: ([127, 0, 0, 1], 0).into(),
                availability_zone: (*zone).to_owned(),
                fabric_domain: format!("{zone}-rack{}", i / (6 * MEMBERS)),
                kind: Kind::Engine,
                service: String::new(),
            });
        }
    }
    vms
}

async fn start(profile: &Profile) -> Cluster {
    let running = Cluster::start("serving", (3, 7), &profile.zones, |site, upstreams| {
        for entry in &mut site.entries {
            entry.drain.grace_ms = 500;
        }
        upstreams.vms = self::upstreams(profile);
        upstreams.announce_ms = 1_000;
        upstreams.prefill_ms = PREFILL_MS;
        upstreams.token_ms = TOKEN_MS;
        upstreams.batch = BATCH;
        upstreams.cold_limit = 4;
        upstreams.load_ms = 2_000;
    })
    .await;
    let document = json!({
        "environment": "notes", "model": "notes-70b", "members_per_replica": MEMBERS,
        "replicas_per_availability_zone":
            {profile.zones[0]: 17, profile.zones[1]: 17, profile.zones[2]: 16},
        "trial_replicas": 0,
        "limits": {"in_flight_per_replica": BATCH, "in_flight_cold": 3, "warmup_calls": 8, "stall_ms": 2000},
        "weights": {"group_downtime": profile.downtime_weight, "zone_move": profile.zone_weight},
        "client_accounts": [{"name": "test", "key_digest": environment::digest_key(CLIENT_KEY)}],
    });
    running.submit_and_promote(&document).await;
    running.wait_until_served().await;
    wait_for_groups(&running, 50).await;
    running
}

async fn complete(running: &Cluster) -> (usize, u64) {
    let status = running.status().await;
    let vms = &status["vms"];
    let groups = status["state"]["groups"].as_object().expect("groups");
    let whole = groups.values().filter(|group| {
        let members = group["members"].as_array().expect("members");
        members.iter().all(|m| {
            let vm = &vms[m["vm"].as_str().expect("a name")];
            vm["ready"] == true && vm["present"] == true && vm["fence"] == group["fence"]
        })
    });
    let stranded = status["stranded_accelerators"].as_u64().unwrap_or(0);
    (whole.count(), stranded)
}

async fn wait_for_groups(running: &Cluster, count: usize) {
    for _ in 0..600 {
        if complete(running).await.0 >= count {
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
    panic!("{count} groups did not become complete");
}

/// First members of all groups.
async fn engines(running: &Cluster) -> Engines {
    let status = running.status().await;
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
        turn: AtomicUsize::new(0),
    }
}

async fn watch_loads(http: Http, engines: Arc<Engines>) {
    loop {
        for (i, address) in engines.addresses.iter().enumerate() {
            let url = format!("http://{address}/report");
            let asked = tokio::time::timeout(
                Duration::from_millis(200),
                common::call(&http, "GET", &url, &[], ""),
            );
            if let Ok(Some(answer)) = asked.await {
                let running = answer.json()["running"].as_u64().unwrap_or(0);
                engines.loads.lock().expect("loads")[i] = running as usize;
            }
        }
        sleep(Duration::from_secs(2)).await;
    }
}

/// One streamed call: time to the first token, and whether the text was whole.
async fn call(http: &Http, address: &str, prompt: &str, is_direct: bool) -> (Option<Duration>, bool, u16) {
    let body = json!({
        "model": "notes", "stream": true, "max_tokens": TOKENS,
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
    let (mut first, mut text) = (None, String::new());
    while let Ok(Some(Ok(frame))) = tokio::time::timeout(Duration::from_secs(10), body.frame()).await {
        let data = frame.into_data().unwrap_or_default();
        if first.is_none() && status == 200 {
            first = Some(start.elapsed());
        }
        text.push_str(&String::from_utf8_lossy(&data));
    }
    let expected = common::expected_text(prompt, TOKENS);
    let got = if is_direct {
        direct_text(&text)
    } else {
        whole_text(&text)
    };
    (first, got.as_deref() == Some(expected.as_str()), status)
}

fn whole_text(text: &str) -> Option<String> {
    common::streamed_text(&common::Answer {
        status: 200,
        outcome: String::new(),
        headers: http::HeaderMap::new(),
        text: text.to_owned(),
    })
}

fn direct_text(text: &str) -> Option<String> {
    let mut whole = String::new();
    for event in text.split("\n\n").filter_map(|e| e.strip_prefix("data: ")) {
        if event == "[DONE]" {
            return Some(whole);
        }
        let token: serde_json::Value = serde_json::from_str(event).ok()?;
        whole.push_str(token["text"].as_str()?);
    }
    None
}

/// Open-loop load for `time` over the given ways in turn.
async fn load(
    running: &Cluster,
    engines: &Arc<Engines>,
    ways: &[(Way, f64)],
    time: Duration,
    seed: u64,
) -> BTreeMap<Way, Tally> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let per_call = Duration::from_millis(PREFILL_MS + TOKENS * TOKEN_MS).as_secs_f64();
    let rate = 50.0 * BATCH as f64 / per_call * LOAD;
    let addresses: Vec<String> = running
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
        next += Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / rate);
        tokio::time::sleep_until(next.into()).await;
        let mut draw = random.random::<f64>();
        let way = ways.iter().find(|(_, part)| {
            draw -= part;
            draw < 0.0
        });
        let way = way.map_or(ways[0].0, |(way, _)| *way);
        let is_direct = way != Way::Heatherramp;
        let address = if is_direct {
            engines.next(way)
        } else {
            addresses[random.random_range(0..addresses.len())].clone()
        };
        let http = running.http();
        let prompt = format!("prompt {seed} {i}");
        calls.push((
            way,
            tokio::spawn(async move { call(&http, &address, &prompt, is_direct).await }),
        ));
        i += 1;
    }
    let mut tallies: BTreeMap<Way, Tally> = BTreeMap::new();
    for (way, call) in calls {
        let tally = tallies.entry(way).or_insert_with(Tally::new);
        let (first, is_whole, status) = call.await.expect("no panic");
        match (is_whole, status) {
            (true, _) => {
                tally.ok += 1;
                tally.tokens += TOKENS;
                let first = first.expect("a whole text has a first token");
                tally.first.record(first.as_micros() as u64).expect("in range");
            }
            (false, 503) => tally.refused += 1,
            (false, _) => tally.bad += 1,
        }
    }
    tallies
}

/// Use of the daemons by role, summed.
fn sum_by_role(running: &Cluster) -> BTreeMap<&'static str, Usage> {
    let mut sums: BTreeMap<&'static str, Usage> = BTreeMap::new();
    for (name, id) in running.process_ids() {
        let role = if name.starts_with('c') { "control" } else { "entry" };
        let (sum, used) = (sums.entry(role).or_default(), usage::of_process(id));
        sum.processor_seconds += used.processor_seconds;
        sum.resident_mb += used.resident_mb;
    }
    sums
}

fn print_usage(running: &Cluster, before: &BTreeMap<&str, Usage>, time: Duration) -> f64 {
    let mut entry_seconds = 0.0;
    for (role, used) in sum_by_role(running) {
        let count = if role == "control" { 3.0 } else { 7.0 };
        let spent = used.processor_seconds - before[role].processor_seconds;
        let part = spent / time.as_secs_f64() / count * 100.0;
        println!(
            "  {role}: {part:.2} % of a core, {:.1} MB each",
            used.resident_mb / count
        );
        if role == "entry" {
            entry_seconds = spent;
        }
    }
    entry_seconds
}

async fn idle(running: &Cluster, time: Duration) {
    println!(
        "idle for {} s, 212 VMs, 50 groups, 7 entries, 3 control processes",
        time.as_secs()
    );
    let before = sum_by_role(running);
    sleep(time).await;
    print_usage(running, &before, time);
}

async fn steady(running: &Cluster, engines: &Arc<Engines>, time: Duration, seed: u64) {
    println!(
        "half load for {} s, one call of five straight to an engine",
        time.as_secs()
    );
    let before = sum_by_role(running);
    let ways = [(Way::Heatherramp, 0.8), (Way::RoundRobin, 0.2)];
    let start = Instant::now();
    let tallies = load(running, engines, &ways, time, seed).await;
    let entry_seconds = print_usage(running, &before, start.elapsed());
    let (ours, direct) = (&tallies[&Way::Heatherramp], &tallies[&Way::RoundRobin]);
    ours.line("heatherramp");
    direct.line("straight");
    let added = |q: f64| {
        (ours.first.value_at_quantile(q) as f64 - direct.first.value_at_quantile(q) as f64) / 1_000.0
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

/// A zone goes out and returns while the load goes on.
async fn zone_move(running: &Cluster, engines: &Arc<Engines>, zone: &str, time: Duration, seed: u64) {
    println!("zone {zone} out and in within {} s", time.as_secs());
    let ways = [(Way::Heatherramp, 1.0)];
    let moves = async {
        sleep(time / 5).await;
        running.set_zone(zone, true, &format!("out-{seed}")).await;
        sleep(time * 2 / 5).await;
        running.set_zone(zone, false, &format!("in-{seed}")).await;
    };
    let (tallies, ()) = tokio::join!(load(running, engines, &ways, time, seed), moves);
    tallies[&Way::Heatherramp].line("heatherramp");
}

/// VMs die, fall cold and return while one way serves.
async fn faults(running: &Cluster, engines: &Arc<Engines>, way: Way, time: Duration, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let names: Vec<String> = running.fleet.addresses.keys().cloned().collect();
    let end = Instant::now() + time;
    let mut down: Vec<(Instant, String)> = Vec::new();
    let disturb = async {
        while Instant::now() < end {
            sleep(Duration::from_millis(1_500)).await;
            let name = names[random.random_range(0..names.len())].clone();
            let fault = if random.random_ratio(1, 3) {
                Fault::Cold
            } else {
                Fault::Dead
            };
            running.inject_fault(&name, fault).await;
            down.push((Instant::now() + Duration::from_secs(4), name));
            let (back, still): (Vec<_>, Vec<_>) = down.drain(..).partition(|(at, _)| *at <= Instant::now());
            down = still;
            for (_, name) in back {
                running.inject_fault(&name, Fault::Restart).await;
                running.inject_fault(&name, Fault::None).await;
            }
        }
        for (_, name) in down.drain(..) {
            running.inject_fault(&name, Fault::Restart).await;
            running.inject_fault(&name, Fault::None).await;
        }
    };
    let observe = async {
        let (mut missing, mut stranded, mut samples) = (0.0, 0.0, 0.0);
        while Instant::now() < end {
            let (whole, idle) = complete(running).await;
            missing += (50 - whole.min(50)) as f64;
            stranded += idle as f64;
            samples += 1.0;
            sleep(Duration::from_millis(200)).await;
        }
        (missing / samples, stranded / samples)
    };
    let ways = [(way, 1.0)];
    let (tallies, (), (missing, stranded)) =
        tokio::join!(load(running, engines, &ways, time, seed), disturb, observe);
    tallies[&way].line(&format!("{way:?}"));
    println!(
        "  groups down {missing:.2} of 50, accelerators outside complete groups {stranded:.1} of 212 (mean)"
    );
    wait_for_groups(running, 50).await;
}

#[tokio::main]
async fn main() {
    let words = common::positional_arguments();
    let word = |i: usize| words.get(i).map(String::as_str);
    let seconds = word(1).and_then(|s| s.parse().ok()).unwrap_or(15);
    let seed = word(2).and_then(|s| s.parse().ok()).unwrap_or(1);
    let time = Duration::from_secs(seconds);
    for profile in PROFILES.iter().filter(|p| word(0).is_none_or(|w| w == p.name)) {
        println!("site {}, seed {seed}", profile.name);
        let running = start(profile).await;
        let engines = Arc::new(engines(&running).await);
        let watch = tokio::spawn(watch_loads(running.http(), engines.clone()));
        idle(&running, time / 2).await;
        // The first calls bring all replicas out of their cold start.
        load(
            &running,
            &engines,
            &[(Way::Heatherramp, 1.0)],
            time / 2,
            seed + 10,
        )
        .await;
        steady(&running, &engines, time, seed).await;
        zone_move(&running, &engines, profile.zones[0], time, seed).await;
        println!("a VM dies or falls cold every 1.5 s for {} s", time.as_secs());
        for way in [Way::Heatherramp, Way::RoundRobin, Way::StaleLeastLoaded] {
            faults(&running, &engines, way, time, seed).await;
        }
        watch.abort();
    }
}
