//! VMs of a group join another group while the head of theirs still serves.

#[path = "../standin/mod.rs"]
mod standin;

use std::process::ExitCode;
use std::thread;
use std::thread::JoinHandle;

use standin::Fault;
use standin::Verdict;
use standin::http;
use standin::note;
use standin::now_ms;
use standin::site::Site;
use standin::sleep_ms;
use standin::vm;
use standin::vm::Shared;

const MODEL: &str = "m0";
/// Time for which the head is partitioned from the core.
const CUT_MS: u64 = 10_000;
/// Time from the start of the partition until a member reports that it drains.
const DRAIN_AFTER_MS: u64 = 1_000;
/// `drain-timeout-ms` of the site.
const DRAIN_TIMEOUT_MS: u64 = 2_000;
/// Longest time for which a member that drains remains while the head has work.
const DRAIN_STAY_MS: u64 = 10_000;

fn main() -> ExitCode {
    standin::run(case)
}

fn manifest() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"quotes","host":"a.example","path-prefix":"/quotes/","type":"streaming","timeout-ms":8000,"target-latency-ms":500,"priority":1,"service":"llm","max-attempts":2,"public":true,"session-affinity":true,"stream-resume":true,"target-gap-ms":300}}],"services":[{{"name":"llm","health-path":"/healthz","max-connections":464,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0,"inference-engine":{{"slots":26,"kv-cache-tokens":1400000,"stride":5,"model-list":[{{"name":"{MODEL}","size":4,"traffic-share":1.0,"pace":1.0,"load-time-s":16.0,"warmup-s":1.6}}],"step_ms":6.07,"per_seq_ms":0.241,"read_per_s":46000.0,"chunk":2048,"report_lag_ms":200.0,"loads-per-s":4.0,"loads_at_once":6,"usual":{{"prompt":1076,"answer":116}},"kept-model-count":1,"far_x":2.5,"group-open-ms":300.0}}}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}}"#
    )
}

/// Sends one request for a stream and notes what came back.
fn client(address: std::net::SocketAddr, id: String) -> JoinHandle<bool> {
    thread::spawn(move || {
        let headers = [
            ("host", "a.example"),
            ("x-attempt-id", id.as_str()),
            ("x-model", MODEL),
            ("x-token-usage", "1460,80"),
            ("x-deadline-ms", "8000"),
        ];
        note(format!("client: sends request {id}"));
        let answer = http::call(address, "POST", "/quotes/1", &headers, "draft", 12_000);
        let text = match &answer {
            Some((answer, is_whole)) => {
                let events = answer.text().matches("id: ").count();
                format!(
                    "{}, {events} events, {}",
                    answer.status(),
                    if *is_whole { "complete" } else { "broken off" }
                )
            }
            None => "no answer".to_owned(),
        };
        note(format!("client: answer to {id}: {text}"));
        answer.is_some_and(|(answer, is_whole)| answer.status() == 200 && is_whole)
    })
}

/// Drains a member: it reports so, stays while the head has work, and then leaves.
fn drain(world: Shared, site_core: std::net::SocketAddr, member: String, head: String) -> JoinHandle<()> {
    thread::spawn(move || {
        note(format!("{member}: reports that it drains"));
        let from = now_ms();
        world.with(&member, |state| state.phase = "draining");
        world.beat_now(&member);
        while !world.with(&member, |state| state.acknowledged_ms > from) {
            sleep_ms(10);
        }
        let acknowledged = now_ms();
        note(format!("{member}: its draining is acknowledged"));
        let has_work = || world.with(&head, |state| !state.running.is_empty());
        while now_ms() < acknowledged + DRAIN_TIMEOUT_MS
            || (has_work() && now_ms() < acknowledged + DRAIN_STAY_MS)
        {
            sleep_ms(20);
        }
        let answer = http::call(
            site_core,
            "DELETE",
            &format!("/replicas/{member}"),
            &[],
            "",
            1_000,
        );
        note(format!(
            "{member}: leaves, {:?}",
            answer.map(|(answer, _)| answer.status())
        ));
        vm::end(&world, &member);
    })
}

fn case(with_trouble: bool) -> Result<Verdict, Fault> {
    let mut site = Site::new();
    let zones = ["gadsden", "gadsden", "spartanburg", "spartanburg", "chattanooga"];
    for (i, zone) in zones.into_iter().enumerate() {
        site.add(&format!("core-{i}"), zone, true);
    }
    site.add("edge-0", "gadsden", false);
    site.add("edge-1", "spartanburg", false);
    site.start_core()?;
    let edge = site.index("edge-0");
    site.start(edge)?;
    site.start(site.index("edge-1"))?;
    let controllers = site.core().into_iter().map(|i| site.admin(i)).collect();
    let world = vm::world(controllers, MODEL);
    // The first manifest comes before the traffic.
    for number in 0..6 {
        vm::start(
            &world,
            &format!("vm{number}"),
            site.ip(50 + number),
            "chattanooga",
            "llm",
        );
    }
    sleep_ms(500);
    site.operate("PUT", "/configuration", &manifest())?;
    let group = standin::wait_for("an open group", 20_000, || world.open_groups().into_iter().next())?;
    let head = group.members[0].clone();
    note(format!(
        "group {}: {:?}, its head is {head}",
        group.name, group.members
    ));
    let front = site.front(edge);
    standin::wait_for("service", 10_000, || {
        let id = format!("warm-{}", now_ms());
        client(front, id).join().ok().filter(|is_served| *is_served)
    })?;
    sleep_ms(2_000);
    for name in group.members.iter() {
        note(format!(
            "{name}: heartbeats go to {:?}",
            world.with(name, |state| state.beat_at)
        ));
    }
    for number in 0..6 {
        world.with(&format!("vm{number}"), |state| {
            (state.pace_ms, state.events) = (150, 48)
        });
    }
    let started = now_ms();
    if with_trouble {
        note(format!(
            "{head}: partitioned from the core for {CUT_MS} ms; requests still reach it"
        ));
        world.with(&head, |state| state.is_cut = true);
    }
    sleep_ms(200);
    let clients: Vec<_> = (0..3).map(|i| client(front, format!("quote-{i}"))).collect();
    sleep_ms((started + DRAIN_AFTER_MS).saturating_sub(now_ms()));
    let member = group.members[1].clone();
    let draining = drain(world.clone(), site.admin(0), member, head.clone());
    sleep_ms((started + CUT_MS).saturating_sub(now_ms()));
    if with_trouble {
        note(format!("{head}: the partition has healed"));
        world.with(&head, |state| state.is_cut = false);
    }
    let _ = draining.join();
    for client in clients {
        let _ = client.join();
    }
    sleep_ms(6_000);
    let double_joins = world.double_joins.lock().unwrap();
    for double in double_joins.iter() {
        note(format!(
            "{} took a join of {} while {}, the head of its group {}, {}",
            double.vm, double.into, double.head, double.of, double.head_state
        ));
    }
    Ok(if double_joins.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
