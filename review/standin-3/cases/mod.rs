//! The cases, and what they share.

mod crashing;
mod evacuation;
mod late;
mod parts;
mod version;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::Verdict;
use crate::http;
use crate::http::Message;
use crate::operator;
use crate::record::Record;
use crate::replica;
use crate::replica::Replica;
use crate::site;
use crate::site::Site;

/// Zones of the deployment.
const ZONES: [&str; 3] = ["gadsden", "spartanburg", "chattanooga"];
const HOST: &[u8] = b"desk.example";
const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Longest wait for the deployment to start.
const START: Duration = Duration::from_secs(30);
/// `contact-ms` of the deployment.
const CONTACT: Duration = Duration::from_millis(3_000);
/// `config-apply-ms` of the deployment.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// `evacuation-ms` of the deployment.
const EVACUATION: Duration = Duration::from_millis(5_000);

/// Plays the case with this name.
pub fn play(case: &str, has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    match case {
        "crashing" => crashing::play(has_trouble, record),
        "parts" => parts::play(has_trouble, record),
        "evacuation" => evacuation::play(has_trouble, record),
        "version" => version::play(has_trouble, record),
        "late" => late::play(has_trouble, record),
        _ => Err(format!("no case {case}")),
    }
}

/// Manifest with a route that is not idempotent and one that is, to the service `desk`.
fn manifest(version: u64) -> String {
    format!(
        concat!(
            "{{\"version\":{},\"routes\":[",
            "{{\"name\":\"orders\",\"host\":\"desk.example\",\"path-prefix\":\"/orders/\",\"type\":\"non_idempotent\",",
            "\"timeout-ms\":2500,\"target-latency-ms\":150,\"priority\":2,\"service\":\"desk\",\"max-attempts\":2,",
            "\"public\":false}},",
            "{{\"name\":\"stock\",\"host\":\"desk.example\",\"path-prefix\":\"/stock/\",\"type\":\"idempotent\",",
            "\"timeout-ms\":2500,\"target-latency-ms\":150,\"priority\":2,\"service\":\"desk\",\"max-attempts\":2,",
            "\"public\":false}}],",
            "\"services\":[{{\"name\":\"desk\",\"health-path\":\"/healthz\",\"max-connections\":96,\"protocol\":\"h1\",",
            "\"tls\":false,\"cold-start-s\":0.0,\"cold-per-s\":0.0}}],",
            "\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,",
            "\"idle-timeout-ms\":15000}},",
            "\"tenants\":[{{\"name\":\"hule930\",\"api-keys\":[\"n2ctnfzs989anu6wsjnb\"],\"priority\":1}}]}}"
        ),
        version
    )
}

/// Sends a manifest until it is acknowledged.
fn adopt(site: &Site, manifest: &str, record: &Record) -> Result<(), String> {
    match operator::order(&site.admin(), ("PUT", "/configuration", manifest), START, record) {
        Some(200) => Ok(()),
        status => Err(format!("the manifest got {status:?}")),
    }
}

/// Starts a replica of `desk` in each of these zones.
fn start_desk(site: &Site, zones: &[&str], record: &Record) -> Result<Vec<Replica>, String> {
    let mut replicas = Vec::new();
    for (i, zone) in zones.iter().enumerate() {
        let address = site::address(site.replica_ip(i as u8), 0);
        let answer = Arc::new(|request: &Message| replica::success(request, "done"));
        let names = (&*format!("i-desk{i}"), "desk", *zone);
        replicas.push(Replica::start(names, address, site.admin(), answer, record)?);
    }
    Ok(replicas)
}

/// Sends one client attempt; returns the status of the answer, none without an answer.
fn send(front: SocketAddr, path: &str, id: &str, extra: &[(&str, &[u8])], record: &Record) -> Option<u16> {
    let bearer = format!("Bearer {KEY}");
    let mut headers: Vec<(&str, &[u8])> = vec![
        ("Host", HOST),
        ("X-Attempt-Id", id.as_bytes()),
        ("X-Deadline-Ms", b"2500"),
        ("Authorization", bearer.as_bytes()),
    ];
    headers.extend(extra);
    let request = http::request("POST", path, &headers, b"an order");
    let answer = http::exchange(front, &request, Duration::from_secs(4));
    match &answer {
        Ok(a) => record.line(&format!("client: {id} {path} to {front}: {}", a.status())),
        Err(e) => record.line(&format!("client: {id} {path} to {front}: {e}")),
    }
    answer.ok().map(|a| a.status())
}
