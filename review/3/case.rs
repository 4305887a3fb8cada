//! After a planned replacement of one machine of the core, the loss of two disks stops the core for good.

#[path = "../standin/mod.rs"]
mod standin;

use std::net::SocketAddr;
use std::process::ExitCode;

use standin::Fault;
use standin::Verdict;
use standin::http;
use standin::note;
use standin::now_ms;
use standin::site::Site;
use standin::sleep_ms;
use standin::vm;

/// Bounds of the site.
const SYNC_TIME_MS: u64 = 4_000;
const RECOVERY_MS: u64 = 12_000;
const CONTACT_MS: u64 = 3_000;
/// Time from the end of the replaced machine's process to the loss of the disks.
const LOSS_AFTER_MS: u64 = 1_000;
/// Time for which the machines that lose their disks are down.
const DOWN_MS: u64 = 1_000;
/// Time for which the operator and clients ask after the recovery, beyond `contact-ms`.
const ASK_MS: u64 = 15_000;

fn main() -> ExitCode {
    standin::run(case)
}

fn manifest(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"orders","host":"a.example","path-prefix":"/orders/","type":"non_idempotent","timeout-ms":2500,"target-latency-ms":150,"priority":2,"service":"desk","max-attempts":1,"public":true}}],"services":[{{"name":"desk","health-path":"/healthz","max-connections":96,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}}"#
    )
}

/// Sends orders for some time; returns how many were served and sent.
fn send_orders(front: SocketAddr, what: &str, for_ms: u64) -> (u64, u64) {
    let (started, mut served, mut sent) = (now_ms(), 0, 0);
    while now_ms() < started + for_ms {
        sent += 1;
        let id = format!("{what}-{sent}");
        let headers = [
            ("host", "a.example"),
            ("x-attempt-id", id.as_str()),
            ("x-deadline-ms", "2500"),
        ];
        let answer = http::call(front, "POST", "/orders/1", &headers, "a die", 4_000);
        served += u64::from(answer.is_some_and(|(answer, _)| answer.status() == 200));
        sleep_ms(200);
    }
    note(format!("clients: {what}: {served} of {sent} orders served"));
    (served, sent)
}

fn case(with_trouble: bool) -> Result<Verdict, Fault> {
    let mut site = Site::new();
    let zones = ["gadsden", "gadsden", "spartanburg", "spartanburg", "chattanooga"];
    for (i, zone) in zones.into_iter().enumerate() {
        site.add(&format!("core-{i}"), zone, true);
    }
    site.start_core()?;
    site.end_bootstrap();
    site.add("edge-0", "gadsden", false);
    let edge = site.index("edge-0");
    site.start(edge)?;
    let controllers = site.core().into_iter().map(|i| site.admin(i)).collect();
    let world = vm::world(controllers, "m0");
    for (id, number) in [("d1", 51), ("d2", 52)] {
        vm::start(&world, id, site.ip(number), "gadsden", "desk");
    }
    sleep_ms(500);
    site.operate("PUT", "/configuration", &manifest(1))?;
    let front = site.front(edge);
    standin::wait_for("service", 20_000, || {
        (send_orders(front, "start", 300).0 > 0).then_some(())
    })?;
    // The planned replacement: the new machine first, then SIGTERM for the old one.
    let leader = standin::wait_for("a leader", 10_000, || site.leader())?;
    let old = site
        .core()
        .into_iter()
        .rev()
        .find(|i| *i != leader)
        .expect("a follower");
    let zone = site.machines[old].zone;
    site.add("core-new", zone, true);
    let new = site.index("core-new");
    site.start(new)?;
    let started = now_ms();
    note(format!(
        "core-new starts with an empty disk; it replaces {}",
        site.machines[old].name
    ));
    send_orders(front, "sync-time-s of the successor", SYNC_TIME_MS);
    sleep_ms(500);
    let applied = site.metric(new, "heatherramp_fleet_applied_index");
    note(format!(
        "core-new runs for {} ms, applied index {applied:?}, as the leader's {:?}",
        now_ms() - started,
        site.metric(leader, "heatherramp_fleet_applied_index")
    ));
    if applied.is_none_or(|index| Some(index) != site.metric(leader, "heatherramp_fleet_applied_index")) {
        return Err("the successor has not caught up".to_owned());
    }
    note(format!("{}: SIGTERM", site.machines[old].name));
    site.terminate(old)?;
    note(format!(
        "{}: its process has ended; the machine is removed for good",
        site.machines[old].name
    ));
    sleep_ms(LOSS_AFTER_MS);
    site.operate("PUT", "/configuration", &manifest(2))?;
    // Two machines that count lose their disks right after the acknowledgement.
    let lost: Vec<usize> = site
        .core()
        .into_iter()
        .filter(|i| ![leader, old, new].contains(i))
        .take(2)
        .collect();
    if with_trouble {
        for index in &lost {
            note(format!(
                "{}: loses power and its disk",
                site.machines[*index].name
            ));
            site.kill(*index);
        }
        for index in &lost {
            site.wipe(*index)?;
        }
        sleep_ms(DOWN_MS);
        for index in &lost {
            site.start(*index)?;
            note(format!(
                "{}: starts again with an empty disk",
                site.machines[*index].name
            ));
        }
    }
    send_orders(front, "recovery", RECOVERY_MS);
    // From here on all machines are back for `recovery-s`.
    let mut versions = Vec::new();
    let asked = now_ms();
    let core: Vec<usize> = site.core().into_iter().filter(|i| *i != old).collect();
    let mut served = (0, 0);
    while now_ms() < asked + CONTACT_MS + ASK_MS {
        for index in &core {
            let answer = http::call(site.admin(*index), "GET", "/configuration", &[], "", 1_500);
            versions.push(match answer {
                Some((answer, _)) if answer.status() == 200 => {
                    let text = answer.text();
                    if text.starts_with(r#"{"version":2,"#) {
                        "200, version 2"
                    } else {
                        "200, another version"
                    }
                    .to_owned()
                }
                Some((answer, _)) => answer.status().to_string(),
                None => "no answer".to_owned(),
            });
        }
        let (more, sent) = send_orders(front, "after recovery-s", 1_000);
        served = (served.0 + more, served.1 + sent);
    }
    let leaders: Vec<_> = core
        .iter()
        .filter(|i| site.metric(**i, "heatherramp_fleet_leads") == Some(1.0))
        .collect();
    note(format!(
        "leaders at the end: {}; reads of the configuration: {versions:?}",
        leaders.len()
    ));
    note(format!(
        "orders served after recovery-s: {} of {}",
        served.0, served.1
    ));
    let is_read = versions.last().is_some_and(|v| v == "200, version 2");
    let is_served = served.0 * 4 >= served.1;
    Ok(if is_read && is_served {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
