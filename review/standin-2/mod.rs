//! Stand-ins for the cases of the second review: clients, upstreams, the operator and the platform that starts and
//! ends processes. Standard library only; `review/build-2.sh` builds each case with `rustc`.
#![allow(dead_code)]

pub mod http;
pub mod json;
pub mod record;
pub mod replica;
pub mod site;
pub mod traffic;

use std::time::Duration;
use std::time::Instant;

/// Exit code if the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code if the rule held.
pub const HELD: i32 = 0;
/// Exit code if the case could not run.
pub const NOT_RUN: i32 = 2;

/// Manifest with a route `/stock/` to the service `desk`, as one key of one tenant may use it.
pub fn manifest(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"stock\",\"host\":\"desk.example\",\"path-prefix\":\"/stock/\",\
         \"type\":\"idempotent\",\"timeout-ms\":2500,\"target-latency-ms\":150,\"priority\":1,\"service\":\"desk\",\
         \"max-attempts\":2,\"public\":false}}],\"services\":[{{\"name\":\"desk\",\"health-path\":\"/healthz\",\
         \"max-connections\":96,\"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":0.0,\"cold-per-s\":0.0}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"tenant\",\"api-keys\":[\"key-of-the-tenant\"],\
         \"priority\":1}}]}}"
    )
}

/// Whether the disruption takes place; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Waits until `is_true`, at most `limit`; returns whether it became true.
pub fn wait_until(limit: Duration, mut is_true: impl FnMut() -> bool) -> bool {
    let started = Instant::now();
    while started.elapsed() < limit {
        if is_true() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

/// As [`wait_until`], without a pause between checks.
pub fn spin_until(limit: Duration, mut is_true: impl FnMut() -> bool) -> bool {
    let started = Instant::now();
    while started.elapsed() < limit {
        if is_true() {
            return true;
        }
    }
    false
}

/// Ends the processes of `site` and this one when the case takes too long.
pub fn limit_time(record: &record::Record, site: &std::sync::Arc<site::Site>) {
    let (record, site) = (record.clone(), site.clone());
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(110));
        record.line("the case takes too long");
        site.end();
        std::process::exit(NOT_RUN);
    });
}
