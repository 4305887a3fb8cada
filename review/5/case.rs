//! A replica that has left gets work again after a change of leader.

#[path = "../standin/mod.rs"]
mod standin;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use standin::Fault;
use standin::Verdict;
use standin::http;
use standin::note;
use standin::now_ms;
use standin::site::Site;
use standin::sleep_ms;
use standin::vm;

/// Bounds of the site.
const CONTACT_MS: u64 = 3_000;
const DRAIN_TIMEOUT_MS: u64 = 2_000;
/// Time for which the machine that has acknowledged is without power.
const DOWN_MS: u64 = 5_000;
/// Time for which the replica serves after its last call: `drain-timeout-ms` and some seconds.
const LINGER_MS: u64 = 6_000;
/// Pause of a client between an answer and its next order: each edge machine gets about two a second.
const ORDER_PAUSE_MS: u64 = 420;
const ROUNDS: u64 = 6;
/// No round starts later than this.
const LAST_START_MS: u64 = 92_000;

fn main() -> ExitCode {
    standin::run(case)
}

fn manifest() -> &'static str {
    r#"{"version":1,"routes":[{"name":"orders","host":"a.example","path-prefix":"/orders/","type":"non_idempotent","timeout-ms":2500,"target-latency-ms":150,"priority":2,"service":"desk","max-attempts":1,"public":true}],"services":[{"name":"desk","health-path":"/healthz","max-connections":96,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#
}

/// Sends orders to one edge machine until `is_over`.
fn send_orders(front: SocketAddr, client: usize, is_over: &AtomicBool) {
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("order-{client}-{number}");
        let headers = [
            ("host", "a.example"),
            ("x-attempt-id", id.as_str()),
            ("x-deadline-ms", "2500"),
        ];
        let answer = http::call(front, "POST", "/orders/1", &headers, "a die", 4_000);
        let status = answer.map(|(answer, _)| answer.status());
        if status != Some(200) {
            note(format!("client: answer to {id}: {status:?}"));
        }
        sleep_ms(ORDER_PAUSE_MS);
    }
}

fn case(with_trouble: bool) -> Result<Verdict, Fault> {
    let mut site = Site::new();
    let core_zones = ["gadsden", "gadsden", "spartanburg", "spartanburg", "chattanooga"];
    for (i, zone) in core_zones.into_iter().enumerate() {
        site.add(&format!("core-{i}"), zone, true);
    }
    let edge_zones = [
        "gadsden",
        "gadsden",
        "gadsden",
        "spartanburg",
        "spartanburg",
        "chattanooga",
    ];
    for (i, zone) in edge_zones.into_iter().enumerate() {
        site.add(&format!("edge-{i}"), zone, false);
    }
    site.start_core()?;
    site.end_bootstrap();
    let edges: Vec<usize> = (0..edge_zones.len())
        .map(|i| site.index(&format!("edge-{i}")))
        .collect();
    for edge in &edges {
        site.start(*edge)?;
    }
    let controllers: Vec<_> = site.core().into_iter().map(|i| site.admin(i)).collect();
    let world = vm::world(controllers, "m0");
    let start_replica = |id: &str, number: u8, zone: &'static str, site: &Site| {
        vm::start(&world, id, site.ip(number), zone, "desk");
        world.with(id, |state| state.work_ms = 80);
    };
    for (number, zone) in ["gadsden", "spartanburg", "chattanooga"].into_iter().enumerate() {
        start_replica(&format!("d{number}"), 50 + number as u8, zone, &site);
    }
    sleep_ms(500);
    site.operate("PUT", "/configuration", manifest())?;
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (client, edge) in edges.iter().enumerate() {
        let (front, is_over) = (site.front(*edge), is_over.clone());
        clients.push(thread::spawn(move || send_orders(front, client, &is_over)));
    }
    let mut verdict = Verdict::Held;
    for round in 0..ROUNDS {
        if now_ms() > LAST_START_MS || verdict == Verdict::Broken {
            break;
        }
        let leader = standin::wait_for("a leader", 10_000, || site.leader())?;
        // The replica that leaves is in a zone whose machines of the core follow.
        let is_following = |zone: &&&str| **zone != site.machines[leader].zone;
        let zone = ["spartanburg", "chattanooga"]
            .iter()
            .find(is_following)
            .expect("a zone");
        let x = format!("x{round}");
        start_replica(&x, 60 + round as u8, zone, &site);
        let has_work = || world.runs.lock().unwrap().iter().any(|(_, _, vm)| *vm == x);
        standin::wait_for("work at the replica", 20_000, || has_work().then_some(()))?;
        sleep_ms(2_500);
        if site.leader() != Some(leader) {
            return Err("the leader has changed by itself".to_owned());
        }
        note(format!(
            "round {round}: {x} in {zone}; its heartbeats go to {:?}; it takes its leave at {}",
            world.with(&x, |state| state.beat_at),
            site.machines[leader].name
        ));
        let last = world.with(&x, |state| state.acknowledged_ms);
        while world.with(&x, |state| state.acknowledged_ms) == last {
            sleep_ms(5);
        }
        let answer = http::call(
            site.admin(leader),
            "DELETE",
            &format!("/replicas/{x}"),
            &[],
            "",
            1_000,
        );
        let status = answer.map(|(answer, _)| answer.status());
        let left_at = now_ms();
        world.with(&x, |state| state.is_gone = true);
        note(format!(
            "{x}: DELETE: {status:?}; it serves for {LINGER_MS} ms and then ends"
        ));
        if status != Some(200) {
            return Err("the leave was not acknowledged".to_owned());
        }
        if with_trouble {
            note(format!(
                "{}, which has acknowledged this, loses power for {DOWN_MS} ms",
                site.machines[leader].name
            ));
            site.kill(leader);
        }
        sleep_ms((left_at + DOWN_MS).saturating_sub(now_ms()));
        if with_trouble {
            site.start(leader)?;
            note(format!("{} starts again", site.machines[leader].name));
        }
        sleep_ms((left_at + LINGER_MS).saturating_sub(now_ms()));
        vm::end(&world, &x);
        note(format!("{x}: its process has ended"));
        let runs = world.runs.lock().unwrap().clone();
        let at_x = runs.iter().filter(|(at, _, vm)| *vm == x && *at > left_at);
        let after_ms: Vec<u64> = at_x.map(|(at, _, _)| at - left_at).collect();
        note(format!(
            "requests that began to run at {x} after its leave, in ms after it: {after_ms:?}"
        ));
        // From the kill of a machine of the core, and from its start, no machine is in touch for `contact-ms`.
        let from = if with_trouble {
            CONTACT_MS.max(DRAIN_TIMEOUT_MS) + 100
        } else {
            DRAIN_TIMEOUT_MS
        };
        let until = if with_trouble { DOWN_MS } else { LINGER_MS };
        let late = after_ms.iter().filter(|ms| (from..until).contains(ms)).count();
        note(format!(
            "of these from {from} to {until} ms, when all machines are in touch: {late}"
        ));
        if late > 0 {
            verdict = Verdict::Broken;
        }
        sleep_ms(4_000);
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    Ok(verdict)
}
