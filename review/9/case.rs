//! Case 9: a manifest that takes the last tenant away opens all routes to everybody.

#[path = "../standin-2/mod.rs"]
mod standin;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use standin::record::Record;
use standin::replica::Replica;
use standin::site::Site;
use standin::traffic;

/// `revocation-ms` of the sheets, and a margin.
const AFTER_ACK: Duration = Duration::from_millis(5_500);
const ZONES: [&str; 3] = ["z1", "z2", "z3"];
const KNOWN_KEY: &str = "key-of-the-tenant";
const UNKNOWN_KEY: &str = "key-of-nobody";

fn main() {
    let record = Record::create("review/9/record.txt");
    let site = Arc::new(Site::new(&record, &ZONES, 1));
    standin::limit_time(&record, &site);
    let code = run(&record, &site);
    record.line(&format!("exit {code}"));
    site.end();
    std::process::exit(code);
}

/// The manifest without its tenant.
fn without_tenant(version: u64) -> String {
    let manifest = standin::manifest(version);
    let start = manifest.find("\"tenants\":[").expect("the manifest has tenants");
    format!("{}\"tenants\":[]}}", &manifest[..start])
}

fn run(record: &Record, site: &Arc<Site>) -> i32 {
    site.start_all();
    let put = |text: &str, limit| {
        let answer = site.operate("PUT", "/configuration", text, limit);
        answer.map_or(0, |a| a.status)
    };
    if put(&standin::manifest(1), Duration::from_secs(20)) != 200 {
        return standin::NOT_RUN;
    }
    let replica = Replica::start(
        record,
        "i-desk",
        "desk",
        ZONES[0],
        standin::site::address(101),
        site.controllers(),
    );
    let send = |edge: usize, key: &'static str, id: String| {
        let outcome = traffic::send(site, edge, ("GET", "/stock/1", key), id);
        record.line(&format!(
            "caller: {} with {key} to {} is answered {}",
            outcome.id, site.edges[edge].name, outcome.status
        ));
        outcome
    };
    let is_served = || (0..ZONES.len()).all(|edge| send(edge, KNOWN_KEY, format!("first-{edge}")).is_served);
    if !standin::wait_until(Duration::from_secs(20), is_served) {
        return standin::NOT_RUN;
    }
    if (0..ZONES.len()).any(|edge| send(edge, UNKNOWN_KEY, format!("before-{edge}")).status != 401) {
        return standin::BROKEN;
    }
    if standin::has_trouble() {
        match put(&without_tenant(2), Duration::from_secs(5)) {
            200 => record.line("the manifest without the tenant is acknowledged"),
            400..500 => {
                record.line("the manifest without the tenant is refused");
                return standin::HELD;
            }
            _ => return standin::NOT_RUN,
        }
    }
    std::thread::sleep(AFTER_ACK);
    let started = Instant::now();
    for edge in 0..ZONES.len() {
        send(edge, UNKNOWN_KEY, format!("unknown-{edge}"));
        if standin::has_trouble() {
            send(edge, KNOWN_KEY, format!("withdrawn-{edge}"));
        }
    }
    std::thread::sleep(Duration::from_millis(500));
    replica.stop();
    let runs = replica.runs();
    let late: Vec<&str> = runs.iter().filter(|(at, ..)| *at >= started).map(|(_, id, _)| id.as_str()).collect();
    record.line(&format!("requests that ran without a key in force: {late:?}"));
    if late.is_empty() { standin::HELD } else { standin::BROKEN }
}
