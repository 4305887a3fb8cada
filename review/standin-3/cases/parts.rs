//! BUDGET: more than three requests with a part that crashes replicas reach replicas, sent later than `contact-ms` after
//! the fifth crash.
//!
//! The prompts are conversations of 40 parts, and the bad part is the 36th. `PLACE` sets another place, counted from 0,
//! for comparison.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use super::CONTACT;
use super::HOST;
use super::KEY;
use super::START;
use super::ZONES;
use crate::Verdict;
use crate::engine::Engine;
use crate::http;
use crate::http::Message;
use crate::record::Record;
use crate::site;
use crate::site::Site;
use crate::world::World;

const BAD_PART: &str = "bad0bad0";
/// Parts of a prompt, without the last one, which belongs to the request itself.
const PARTS: usize = 40;
/// Replicas, in fabric domains of this size.
const ENGINES: u8 = 16;
const DOMAIN: u8 = 8;
/// Groups that have to be open before the first request.
const GROUPS: usize = 6;
/// Time for which a replica is down after a crash.
const DOWN: Duration = Duration::from_secs(4);
/// Time from the arrival at an edge machine to the beginning of the run, generously.
const WAY: Duration = Duration::from_millis(500);
const LENGTH: Duration = Duration::from_secs(45);
/// Pause between two requests. After some sound ones each fifteenth one is a bad one.
const PAUSE: Duration = Duration::from_millis(100);
const EACH: u64 = 15;
const FIRST_BAD: u64 = 50;

pub fn play(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let place: usize = match std::env::var("PLACE") {
        Ok(text) => text.parse().map_err(|_| "PLACE is not a number")?,
        Err(_) => 35,
    };
    let (site, engines) = start(record)?;
    let fronts = site.fronts();
    let mut clients = Vec::new();
    let begun = Instant::now();
    let mut number = 0;
    while begun.elapsed() < LENGTH {
        let is_bad = has_trouble && number >= FIRST_BAD && number % EACH == 0;
        // All share the caller and the other parts.
        let mut prompt: Vec<String> = (0..PARTS).map(|i| format!("c0ffee{i:02x}")).collect();
        prompt[place] = match is_bad {
            true => BAD_PART.to_owned(),
            false => format!("50{:06x}", number % 7),
        };
        let id = format!("{}{number:08x}", if is_bad { "bad0" } else { "50d0" });
        let front = fronts[(number % 2) as usize];
        let record = record.clone();
        clients.push(thread::spawn(move || {
            (is_bad, chat(front, &id, &prompt, &record))
        }));
        number += 1;
        sleep(PAUSE);
    }
    let answers: Vec<(bool, Option<u16>)> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    let sound = answers.iter().filter(|(is_bad, _)| !is_bad);
    let served = sound.clone().filter(|(_, status)| *status == Some(200)).count();
    record.line(&format!(
        "{served} of {} sound requests were served",
        sound.count()
    ));
    let mut crashes: Vec<Instant> = engines
        .iter()
        .flat_map(|e| e.crashes.lock().unwrap().clone())
        .collect();
    crashes.sort_unstable();
    record.line(&format!("{} crashes", crashes.len()));
    let Some(fifth) = crashes.get(4) else {
        return Ok(Verdict::Held);
    };
    let runs: Vec<(Instant, Message)> = engines
        .iter()
        .flat_map(|e| e.runs.lock().unwrap().clone())
        .collect();
    let is_late = |(at, request): &&(Instant, Message)| {
        *at > *fifth + CONTACT + WAY && request.text("x-prefix-hash").contains(BAD_PART)
    };
    let late = runs.iter().filter(is_late).count();
    record.line(&format!(
        "{late} requests with the part reached replicas later than contact-ms after the fifth crash"
    ));
    Ok(if late > 3 { Verdict::Broken } else { Verdict::Held })
}

/// Starts a deployment with model replicas, and waits until groups are open.
fn start(record: &Record) -> Result<(Site, Vec<Engine>), String> {
    let site = Site::start(&ZONES, 3, 2, record)?;
    let crash = Arc::new(|request: &Message| request.text("x-prefix-hash").contains(BAD_PART));
    let world = World::new(None, record);
    let mut engines = Vec::new();
    for i in 0..ENGINES {
        let (id, domain) = (format!("i-llm{i:02}"), format!("d{}", i / DOMAIN));
        let names = (&*id, "llm", ZONES[usize::from(i / DOMAIN)], &*domain);
        let address = site::address(site.replica_ip(i), 0);
        engines.push(Engine::start(
            names,
            address,
            site.admin(),
            (crash.clone(), DOWN, world.clone()),
            record,
        )?);
    }
    sleep(Duration::from_secs(2));
    super::adopt(&site, &manifest(), record)?;
    site.wait_ready(START)?;
    let started = Instant::now();
    while engines.iter().filter(|e| e.is_open()).count() < GROUPS {
        if started.elapsed() > START {
            return Err("the groups did not open".to_owned());
        }
        sleep(Duration::from_millis(100));
    }
    record.line("groups are open");
    Ok((site, engines))
}

/// Manifest with a resumable streaming route to model replicas, of which each is a group by itself.
pub(super) fn manifest() -> String {
    concat!(
        "{\"version\":1,\"routes\":[",
        "{\"name\":\"chat\",\"host\":\"desk.example\",\"path-prefix\":\"/chat/\",\"type\":\"streaming\",",
        "\"timeout-ms\":8000,\"target-latency-ms\":500,\"priority\":1,\"service\":\"llm\",\"max-attempts\":2,",
        "\"public\":false,\"session-affinity\":true,\"stream-resume\":true,\"target-gap-ms\":300}],",
        "\"services\":[{\"name\":\"llm\",\"health-path\":\"/healthz\",\"max-connections\":464,",
        "\"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":0.0,\"cold-per-s\":0.0,\"inference-engine\":{",
        "\"slots\":26,\"kv-cache-tokens\":1400000,\"kv-bytes\":35136,\"bandwidth-mbps\":400000.0,\"stride\":5,",
        "\"model-list\":[{\"name\":\"m0\",\"size\":1,\"traffic-share\":1.0,\"pace\":1.0,\"load-time-s\":0.5,",
        "\"warmup-s\":0.2}],\"step_ms\":6.07,\"per_seq_ms\":0.241,\"context_per_k\":0.00488,",
        "\"read_per_s\":46000.0,\"pairs_per_m\":0.7,\"chunk\":2048,\"report_lag_ms\":200.0,\"loads-per-s\":4.0,",
        "\"loads_at_once\":6,\"delays\":[],\"usual\":{\"prompt\":1076,\"answer\":50},\"kept-model-count\":1,",
        "\"far_x\":2.5,\"group-open-ms\":300.0}}],",
        "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,",
        "\"idle-timeout-ms\":15000},",
        "\"tenants\":[{\"name\":\"hule930\",\"api-keys\":[\"n2ctnfzs989anu6wsjnb\"],\"priority\":1}]}"
    )
    .to_owned()
}

/// Sends one client attempt with these parts and an own last one; returns the status of the answer.
fn chat(front: SocketAddr, id: &str, parts: &[String], record: &Record) -> Option<u16> {
    let prompt: Vec<String> = parts.iter().map(|p| format!("{p}:40")).collect();
    let prompt = format!("{},{id}:40", prompt.join(","));
    let tokens = format!("{},50", 40 * (parts.len() + 1));
    let bearer = format!("Bearer {KEY}");
    let headers: [(&str, &[u8]); 7] = [
        ("Host", HOST),
        ("X-Attempt-Id", id.as_bytes()),
        ("X-Deadline-Ms", b"8000"),
        ("X-Model", b"m0"),
        ("X-Token-Usage", tokens.as_bytes()),
        ("X-Prefix-Hash", prompt.as_bytes()),
        ("Authorization", bearer.as_bytes()),
    ];
    let request = http::request("POST", "/chat/1", &headers, id.as_bytes());
    let answer = http::exchange(front, &request, Duration::from_secs(9));
    match &answer {
        Ok(a) => record.line(&format!("client: {id} to {front}: {}", a.status())),
        Err(e) => record.line(&format!("client: {id} to {front}: {e}")),
    }
    answer.ok().map(|a| a.status())
}
