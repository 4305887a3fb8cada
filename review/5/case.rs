//! Answers are cut when a member of their group is silent for a second or so and goes on.

#[path = "../standin/mod.rs"]
mod standin;

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use standin::Fault;
use standin::Verdict;
use standin::http;
use standin::note;
use standin::now_ms;
use standin::site::Site;
use standin::sleep_ms;
use standin::vm;

const MODEL: &str = "m0";
/// Clients, each with a channel of its own that it keeps.
const CLIENTS: usize = 6;
/// "A second or so."
const SILENCE_MS: u64 = 1_250;
/// Requests that a machine may lose: "more than three times" breaks the rule.
const MAX_LOST: usize = 3;
const ROUNDS: usize = 4;

fn main() -> ExitCode {
    standin::run(case)
}

fn manifest() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"quotes","host":"a.example","path-prefix":"/quotes/","type":"streaming","timeout-ms":8000,"target-latency-ms":500,"priority":1,"service":"llm","max-attempts":2,"public":true,"session-affinity":true,"stream-resume":true,"target-gap-ms":300}}],"services":[{{"name":"llm","health-path":"/healthz","max-connections":464,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0,"inference-engine":{{"slots":26,"kv-cache-tokens":1400000,"stride":5,"model-list":[{{"name":"{MODEL}","size":4,"traffic-share":1.0,"pace":1.0,"load-time-s":16.0,"warmup-s":1.6}}],"step_ms":6.07,"per_seq_ms":0.241,"read_per_s":46000.0,"chunk":2048,"report_lag_ms":200.0,"loads-per-s":4.0,"loads_at_once":6,"usual":{{"prompt":1076,"answer":116}},"kept-model-count":1,"far_x":2.5,"group-open-ms":300.0}}}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}}"#
    )
}

/// Channel of one client.
struct Channel {
    output: TcpStream,
    input: BufReader<TcpStream>,
}

impl Channel {
    fn open(front: SocketAddr) -> Option<Channel> {
        let output = TcpStream::connect(front).ok()?;
        output.set_nodelay(true).ok()?;
        output.set_read_timeout(Some(Duration::from_secs(12))).ok()?;
        let input = BufReader::new(output.try_clone().ok()?);
        Some(Channel { output, input })
    }

    /// Sends one request; returns status, number of events and whether the answer is complete.
    fn ask(&mut self, id: &str) -> Option<(u16, usize, bool)> {
        let text = format!(
            "POST /quotes/1 HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: {id}\r\nx-model: {MODEL}\r\nx-token-usage: 1460,80\r\nx-deadline-ms: 8000\r\ncontent-length: 5\r\n\r\ndraft"
        );
        self.output.write_all(text.as_bytes()).ok()?;
        let mut answer = http::read_head(&mut self.input)?;
        let is_whole = http::read_body(&mut self.input, &mut answer, true);
        Some((answer.status(), answer.text().matches("id: ").count(), is_whole))
    }
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
    let names: Vec<String> = (0..4).map(|n| format!("vm{n}")).collect();
    for (number, name) in names.iter().enumerate() {
        vm::start(&world, name, site.ip(50 + number as u8), "gadsden", "llm");
    }
    sleep_ms(500);
    site.operate("PUT", "/configuration", &manifest())?;
    let front = site.front(edge);
    for round in 0..ROUNDS {
        for name in &names {
            world.with(name, |state| (state.pace_ms, state.events) = (20, 5));
        }
        let group = standin::wait_for("an open group", 30_000, || world.open_groups().into_iter().next())?;
        let mut channels = Vec::new();
        for client in 0..CLIENTS {
            // The first request makes each channel a kept one.
            let channel = standin::wait_for("service", 15_000, || {
                let mut channel = Channel::open(front)?;
                let answer = channel.ask(&format!("first-{round}-{client}-{}", now_ms()));
                (answer == Some((200, 5, true))).then_some(channel)
            })?;
            channels.push(channel);
        }
        sleep_ms(2_500);
        for name in &names {
            world.with(name, |state| (state.pace_ms, state.events) = (100, 50));
        }
        let member = group.members[1].clone();
        note(format!(
            "round {round}: group {} of {:?}",
            group.name, group.members
        ));
        let clients: Vec<_> = channels
            .into_iter()
            .enumerate()
            .map(|(client, mut channel)| {
                thread::spawn(move || {
                    let id = format!("quote-{round}-{client}");
                    let answer = channel.ask(&id);
                    note(format!(
                        "client: answer to {id} (status, events, complete): {answer:?}"
                    ));
                    answer.is_some_and(|(status, _, is_whole)| status == 200 && is_whole)
                })
            })
            .collect();
        sleep_ms(1_000);
        if with_trouble {
            // Its next heartbeat is due soon.
            let last = world.with(&member, |state| state.acknowledged_ms);
            while now_ms() < last + vm::HEARTBEAT_MS - 200 {
                sleep_ms(5);
            }
            note(format!("{member}, not the head, is silent for {SILENCE_MS} ms"));
            world.with(&member, |state| state.is_paused = true);
            sleep_ms(SILENCE_MS);
            world.with(&member, |state| state.is_paused = false);
            note(format!("{member} goes on"));
        }
        let complete = clients
            .into_iter()
            .map(|c| c.join().unwrap_or(false))
            .filter(|is_served| *is_served);
        let lost = CLIENTS - complete.count();
        note(format!("round {round}: {lost} of {CLIENTS} requests lost"));
        if lost > MAX_LOST {
            return Ok(Verdict::Broken);
        }
    }
    Ok(Verdict::Held)
}
