//! Concurrent histories of operators and of the ledger, checked for linearizability.
//!
//! `HEATHERRAMP_RUNS` sets the number of runs, `HEATHERRAMP_SEED` the first seed.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use common::Cluster;
use common::engine_document;
use common::link::Link;
use heatherramp::adapters::control::Client;
use heatherramp::adapters::quic::Identity;
use heatherramp::adapters::quic::Pool;
use heatherramp::domain::state::Call;
use heatherramp::domain::state::Command;
use heatherramp::domain::state::Outcome;
use heatherramp::domain::state::Reply;
use heatherramp::domain::state::Verdict;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use todc_utils::Action;
use todc_utils::History;
use todc_utils::Specification;
use todc_utils::WGLChecker;
use tokio::time::sleep;

/// Operation on the newest version of an environment.
#[derive(Clone, Debug)]
enum Change {
    Submit { base: u64, accepted: Option<u64> },
    Read(u64),
}

struct Versions;

impl Specification for Versions {
    type State = u64;
    type Operation = Change;

    fn init() -> u64 {
        0
    }

    fn apply(operation: &Change, state: &u64) -> (bool, u64) {
        match operation {
            Change::Submit {
                base,
                accepted: Some(version),
            } => {
                let valid = base == state && *version == state + 1;
                (valid, if valid { *version } else { *state })
            }
            Change::Submit { base, accepted: None } => (base != state, *state),
            Change::Read(version) => (version == state, *state),
        }
    }
}

/// Operation on one key of the ledger.
#[derive(Clone, Debug)]
enum Use {
    Begin {
        attempt: u64,
        granted: bool,
        ended: Option<u64>,
    },
    Finish {
        attempt: u64,
    },
}

/// Attempt that runs, and attempt whose answer is stored.
type Key = (Option<u64>, Option<u64>);

struct Once;

impl Specification for Once {
    type State = Key;
    type Operation = Use;

    fn init() -> Key {
        (None, None)
    }

    fn apply(operation: &Use, state: &Key) -> (bool, Key) {
        match (operation, state) {
            (
                Use::Begin {
                    attempt,
                    granted: true,
                    ..
                },
                (None, None),
            ) => (true, (Some(*attempt), None)),
            (
                Use::Begin {
                    attempt,
                    granted: true,
                    ..
                },
                (Some(running), None),
            ) => (attempt == running, *state),
            (
                Use::Begin {
                    granted: false,
                    ended: None,
                    ..
                },
                (Some(_), None),
            ) => (true, *state),
            (
                Use::Begin {
                    granted: false,
                    ended: Some(by),
                    ..
                },
                (_, Some(stored)),
            ) => (by == stored, *state),
            (Use::Finish { attempt }, (Some(running), None)) if attempt == running => {
                (true, (None, Some(*attempt)))
            }
            (Use::Finish { attempt }, (_, Some(stored))) => (attempt == stored, *state),
            _ => (false, *state),
        }
    }
}

/// Calls and responses in the order in which they happened.
type Log<T> = Arc<Mutex<Vec<(usize, Action<T>)>>>;

fn record<T>(log: &Log<T>, process: usize, action: Action<T>) {
    log.lock().unwrap().push((process, action));
}

fn number(name: &str, default: u64) -> u64 {
    let given = std::env::var(name).ok();
    given.and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Three control processes whose messages pass through links.
async fn site() -> (Cluster, Vec<Link>) {
    let mut links = Vec::new();
    let running = Cluster::start("history", (3, 0), &["north"], |_, _| {}).await;
    let mut running = running;
    for name in ["c1", "c2", "c3"] {
        running.kill(name);
    }
    for i in 0..3 {
        for j in 0..3 {
            if i != j {
                let link = Link::open(running.site.controls[j].listen_peer).await;
                running.site.controls[i].control[j].address = link.address.to_string();
                links.push(link);
            }
        }
    }
    for name in ["c1", "c2", "c3"] {
        running.spawn(name);
    }
    (running, links)
}

async fn disturb(running: &mut Cluster, links: &[Link], random: &mut ChaCha8Rng) {
    for _ in 0..5 {
        let victim = ["c1", "c2", "c3"][random.random_range(0..3)];
        let pause = Duration::from_millis(random.random_range(300..1_200));
        match random.random_range(0..4) {
            0 => {
                running.kill(victim);
                sleep(pause).await;
                running.spawn(victim);
            }
            1 => {
                running.signal(victim, "STOP");
                sleep(pause).await;
                running.signal(victim, "CONT");
            }
            2 => {
                let link = &links[random.random_range(0..links.len())];
                link.set_cut(true);
                sleep(pause).await;
                link.set_cut(false);
            }
            _ => {
                links.iter().for_each(|l| l.impair(10, 40));
                sleep(pause).await;
                links.iter().for_each(|l| l.impair(0, 0));
            }
        }
        sleep(Duration::from_millis(300)).await;
    }
}

async fn operator(running: &Cluster, process: usize, seed: u64, log: &Log<Change>) {
    let mut random = ChaCha8Rng::seed_from_u64(seed * 100 + process as u64);
    let mut base = 0;
    for round in 0..12 {
        sleep(Duration::from_millis(random.random_range(0..400))).await;
        if random.random_ratio(1, 3) {
            record(log, process, Action::Call(Change::Read(0)));
            let status = running.status().await;
            base = status["state"]["environments"]["notes"]["trial"]
                .as_u64()
                .unwrap_or(0);
            record(log, process, Action::Response(Change::Read(base)));
            continue;
        }
        let mut document = engine_document(&["north"], 1, 1);
        document["limits"]["queue"] = (process * 1000 + round + 1).into();
        let change = json!({"submit": {"environment": "notes", "base": base, "text": document.to_string()}});
        let open = Change::Submit { base, accepted: None };
        record(log, process, Action::Call(open));
        let reply = running
            .request_change(&format!("{process}-{round}"), change)
            .await;
        let accepted = reply["accepted"]["version"].as_u64();
        record(log, process, Action::Response(Change::Submit { base, accepted }));
        base = accepted
            .or(reply["conflict"]["current"].as_u64())
            .expect("a reply");
    }
}

async fn user(client: &Client, process: usize, seed: u64, logs: &[Log<Use>]) {
    let mut random = ChaCha8Rng::seed_from_u64(seed * 77 + process as u64);
    for round in 0..25_u64 {
        sleep(Duration::from_millis(random.random_range(0..200))).await;
        let key = random.random_range(0..logs.len());
        let attempt = process as u64 * 1_000 + round;
        let call = Call {
            client_account: "test".to_owned(),
            environment: "orders".to_owned(),
            key: format!("key-{key}"),
            digest: 1,
            arrived_ms: u64::MAX,
        };
        let open = Use::Begin {
            attempt,
            granted: false,
            ended: None,
        };
        record(&logs[key], process, Action::Call(open));
        let begin = Command::Begin {
            call: call.clone(),
            attempt: attempt.to_string(),
            session: "tester".to_owned(),
        };
        let verdict = commit(client, &begin).await;
        let ended = match &verdict {
            Verdict::Ended(Outcome::Answer { body, .. }) => body.parse().ok(),
            _ => None,
        };
        let granted = verdict == Verdict::Granted;
        record(
            &logs[key],
            process,
            Action::Response(Use::Begin {
                attempt,
                granted,
                ended,
            }),
        );
        if granted {
            record(&logs[key], process, Action::Call(Use::Finish { attempt }));
            let outcome = Outcome::Answer {
                status: 200,
                body: attempt.to_string(),
            };
            let attempt_name = attempt.to_string();
            let finish = Command::Finish {
                call,
                attempt: attempt_name,
                outcome,
            };
            commit(client, &finish).await;
            record(&logs[key], process, Action::Response(Use::Finish { attempt }));
        }
    }
}

async fn commit(client: &Client, command: &Command) -> Verdict {
    loop {
        if let Ok(Reply::Ledger(verdict)) = client.propose(command, Duration::from_secs(30)).await {
            return verdict;
        }
    }
}

async fn one_run(seed: u64) -> BTreeMap<&'static str, usize> {
    let (mut running, links) = site().await;
    let keys = Identity::load(&running.site.controls[0].keys).unwrap();
    let peers: Vec<_> = running
        .site
        .controls
        .iter()
        .map(|c| heatherramp::settings::Peer {
            name: c.name.clone(),
            address: c.listen_peer.to_string(),
        })
        .collect();
    let client = Client::new(Pool::new(&keys).unwrap(), &peers);
    let changes: Log<Change> = Log::default();
    let uses: Vec<Log<Use>> = (0..4).map(|_| Log::default()).collect();
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let observer = running.observer();
    let operators = futures_util::future::join_all((0..3).map(|p| operator(&observer, p, seed, &changes)));
    let users = futures_util::future::join_all((0..4).map(|p| user(&client, p, seed, &uses)));
    tokio::join!(operators, users, disturb(&mut running, &links, &mut random));
    let changes = changes.lock().unwrap().clone();
    let mut counts = BTreeMap::from([("changes", changes.len() / 2)]);
    let history = History::from_actions(changes.clone());
    assert!(
        WGLChecker::<Versions>::is_linearizable(history),
        "seed {seed}: {changes:?}"
    );
    for log in &uses {
        let log = log.lock().unwrap().clone();
        *counts.entry("uses").or_default() += log.len() / 2;
        if !log.is_empty() {
            let history = History::from_actions(log.clone());
            assert!(
                WGLChecker::<Once>::is_linearizable(history),
                "seed {seed}: {log:?}"
            );
        }
    }
    counts
}

#[tokio::test(flavor = "multi_thread")]
async fn histories_are_linearizable_under_kills_pauses_and_cuts() {
    let first = number("HEATHERRAMP_SEED", 1);
    for seed in first..first + number("HEATHERRAMP_RUNS", 2) {
        let counts = one_run(seed).await;
        println!("seed {seed}: {counts:?}");
    }
}
