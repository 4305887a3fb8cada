//! A stream that was broken off is passed on as complete when the run that goes on with it brings nothing.

#[path = "../standin/mod.rs"]
mod standin;

use std::process::ExitCode;

use standin::Fault;
use standin::Verdict;
use standin::http;
use standin::note;
use standin::now_ms;
use standin::site::Site;
use standin::sleep_ms;
use standin::vm;

const MODEL: &str = "m1";
const VMS: u8 = 12;
/// Events of each stream, and the pause between them.
const EVENTS: u64 = 20;
const PACE_MS: u64 = 100;
/// Events after which the first replica crashes.
const CRASH_AFTER: u64 = 8;

fn main() -> ExitCode {
    standin::run(case)
}

fn manifest() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"quotes","host":"a.example","path-prefix":"/quotes/","type":"streaming","timeout-ms":8000,"target-latency-ms":500,"priority":1,"service":"llm","max-attempts":2,"public":true,"session-affinity":true,"stream-resume":true,"target-gap-ms":300}}],"services":[{{"name":"llm","health-path":"/healthz","max-connections":464,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0,"inference-engine":{{"slots":26,"kv-cache-tokens":1400000,"stride":5,"model-list":[{{"name":"{MODEL}","size":2,"traffic-share":1.0,"pace":0.6,"load-time-s":12.0,"warmup-s":1.1}}],"step_ms":6.07,"per_seq_ms":0.241,"read_per_s":46000.0,"chunk":2048,"report_lag_ms":200.0,"loads-per-s":4.0,"loads_at_once":6,"usual":{{"prompt":1076,"answer":116}},"kept-model-count":1,"far_x":2.5,"group-open-ms":300.0}}}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}}"#
    )
}

/// What a client got: status, identifiers of the events, and whether the answer looks complete.
fn ask(front: std::net::SocketAddr, id: &str) -> Option<(u16, Vec<u64>, bool)> {
    let headers = [
        ("host", "a.example"),
        ("x-attempt-id", id),
        ("x-model", MODEL),
        ("x-token-usage", "714,80"),
        ("x-deadline-ms", "8000"),
    ];
    note(format!("client: sends request {id}"));
    let (answer, is_whole) = http::call(front, "POST", "/quotes/1", &headers, "fit", 12_000)?;
    let text = answer.text();
    let ids = text.lines().filter_map(|l| l.strip_prefix("id: ")?.parse().ok());
    let ids: Vec<u64> = ids.collect();
    note(format!(
        "client: answer to {id}: {}, events {:?} to {:?}, {}",
        answer.status(),
        ids.first(),
        ids.last(),
        if is_whole { "complete" } else { "broken off" }
    ));
    Some((answer.status(), ids, is_whole))
}

fn case(with_trouble: bool) -> Result<Verdict, Fault> {
    let mut site = Site::new();
    let zones = ["gadsden", "gadsden", "spartanburg", "spartanburg", "chattanooga"];
    for (i, zone) in zones.into_iter().enumerate() {
        site.add(&format!("core-{i}"), zone, true);
    }
    site.add("edge-0", "gadsden", false);
    site.start_core()?;
    let edge = site.index("edge-0");
    site.start(edge)?;
    let controllers = site.core().into_iter().map(|i| site.admin(i)).collect();
    let world = vm::world(controllers, MODEL);
    let names: Vec<String> = (0..VMS).map(|n| format!("vm{n:02}")).collect();
    for (number, name) in names.iter().enumerate() {
        vm::start(&world, name, site.ip(50 + number as u8), "gadsden", "llm");
        // All streams are without length and chunks.
        world.with(name, |state| {
            (state.is_unframed, state.events, state.pace_ms) = (true, EVENTS, PACE_MS)
        });
    }
    sleep_ms(500);
    site.operate("PUT", "/configuration", &manifest())?;
    standin::wait_for("three open groups", 20_000, || {
        (world.open_groups().len() >= 3).then_some(())
    })?;
    let front = site.front(edge);
    standin::wait_for("service", 15_000, || {
        let answer = ask(front, &format!("warm-{}", now_ms()))?;
        (answer.0 == 200 && answer.1.len() as u64 == EVENTS).then_some(())
    })?;
    sleep_ms(1_500);
    if with_trouble {
        note(format!(
            "two of the {VMS} replicas will crash: the one that runs the next request, inside an event, and the one that goes on with it"
        ));
        for name in &names {
            world.with(name, |state| {
                (state.crash_after, state.crashes_on_resume) = (Some(CRASH_AFTER), true);
            });
        }
    }
    let Some((status, ids, is_whole)) = ask(front, "fit-1") else {
        return Err("no answer".to_owned());
    };
    let ended = names
        .iter()
        .filter(|name| world.with(name, |state| state.has_ended))
        .count();
    note(format!("replicas that have crashed: {ended}"));
    if with_trouble && ended != 2 {
        return Err("the stream was not resumed".to_owned());
    }
    let is_short = ids != (1..=EVENTS).collect::<Vec<u64>>();
    Ok(if status == 200 && is_whole && is_short {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
