//! Histories of concurrent operators and ledger clients under faults, checked for
//! linearizability.
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
use heatherramp::adapters::quic::Credentials;
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

/// Operation of an operator on the newest version of an environment.
#[derive(Clone, Debug)]
enum VersionOperation {
    /// Submission of a document; `accepted` is its version, if it was accepted.
    Submit { base: u64, accepted: Option<u64> },
    /// Read of the newest version.
    Read(u64),
}

/// Sequential behaviour of an environment: a document is accepted if its base is the newest
/// version.
struct VersionSpecification;

impl Specification for VersionSpecification {
    type State = u64;
    type Operation = VersionOperation;

    fn init() -> u64 {
        0
    }

    fn apply(operation: &VersionOperation, state: &u64) -> (bool, u64) {
        match operation {
            VersionOperation::Submit {
                base,
                accepted: Some(version),
            } => {
                let valid = base == state && *version == state + 1;
                (valid, if valid { *version } else { *state })
            }
            VersionOperation::Submit { base, accepted: None } => (base != state, *state),
            VersionOperation::Read(version) => (version == state, *state),
        }
    }
}

/// Operation of a client on one key of the ledger.
#[derive(Clone, Debug)]
enum LedgerOperation {
    Begin {
        attempt: u64,
        granted: bool,
        /// Attempt whose stored answer was returned.
        ended: Option<u64>,
    },
    Finish {
        attempt: u64,
    },
}

/// Running attempt, and attempt whose answer is stored.
type KeyState = (Option<u64>, Option<u64>);

/// Sequential behaviour of one key: at most one attempt runs, and its answer stays.
struct LedgerSpecification;

impl Specification for LedgerSpecification {
    type State = KeyState;
    type Operation = LedgerOperation;

    fn init() -> KeyState {
        (None, None)
    }

    fn apply(operation: &LedgerOperation, state: &KeyState) -> (bool, KeyState) {
        match (operation, state) {
            (
                LedgerOperation::Begin {
                    attempt,
                    granted: true,
                    ..
                },
                (None, None),
            ) => (true, (Some(*attempt), None)),
            (
                LedgerOperation::Begin {
                    attempt,
                    granted: true,
                    ..
                },
                (Some(running), None),
            ) => (attempt == running, *state),
            (
                LedgerOperation::Begin {
                    granted: false,
                    ended: None,
                    ..
                },
                (Some(_), None),
            ) => (true, *state),
            (
                LedgerOperation::Begin {
                    granted: false,
                    ended: Some(ended_by),
                    ..
                },
                (_, Some(stored)),
            ) => (ended_by == stored, *state),
            (LedgerOperation::Finish { attempt }, (Some(running), None)) if attempt == running => {
                (true, (None, Some(*attempt)))
            }
            (LedgerOperation::Finish { attempt }, (_, Some(stored))) => (attempt == stored, *state),
            _ => (false, *state),
        }
    }
}

/// Calls and responses in the order in which they happened, each with the number of the
/// operator or client (a process of the history) that made it.
type EventLog<T> = Arc<Mutex<Vec<(usize, Action<T>)>>>;

/// Records a call or its response; only the response carries the result of the operation.
fn record<T>(log: &EventLog<T>, process: usize, action: Action<T>) {
    log.lock().unwrap().push((process, action));
}

fn env_number(name: &str, default: u64) -> u64 {
    let given = std::env::var(name).ok();
    given.and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Three control processes whose messages to each other pass through links that can fail.
async fn start_with_links() -> (Cluster, Vec<Link>) {
    let mut links = Vec::new();
    // Three control processes and no entry.
    let cluster = Cluster::start("history", (3, 0), &["north"], |_, _| {}).await;
    let mut cluster = cluster;
    for name in ["c1", "c2", "c3"] {
        cluster.kill(name);
    }
    for i in 0..3 {
        for j in 0..3 {
            if i != j {
                let link = Link::open(cluster.site.controls[j].listen_peer).await;
                cluster.site.controls[i].control[j].address = link.address.to_string();
                links.push(link);
            }
        }
    }
    for name in ["c1", "c2", "c3"] {
        cluster.spawn(name);
    }
    (cluster, links)
}

/// Kills or pauses a control process, cuts a link, or disturbs all links, five times.
async fn inject_faults(cluster: &mut Cluster, links: &[Link], rng: &mut ChaCha8Rng) {
    for _ in 0..5 {
        let victim = ["c1", "c2", "c3"][rng.random_range(0..3)];
        let pause = Duration::from_millis(rng.random_range(300..1_200));
        match rng.random_range(0..4) {
            0 => {
                cluster.kill(victim);
                sleep(pause).await;
                cluster.spawn(victim);
            }
            1 => {
                cluster.signal(victim, "STOP");
                sleep(pause).await;
                cluster.signal(victim, "CONT");
            }
            2 => {
                let link = &links[rng.random_range(0..links.len())];
                link.set_cut(true);
                sleep(pause).await;
                link.set_cut(false);
            }
            _ => {
                // All links lose 10 % of the packets and delay the others by 40 ms.
                links.iter().for_each(|l| l.impair(10, 40));
                sleep(pause).await;
                links.iter().for_each(|l| l.impair(0, 0));
            }
        }
        sleep(Duration::from_millis(300)).await;
    }
}

async fn run_operator(cluster: &Cluster, process: usize, seed: u64, log: &EventLog<VersionOperation>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 100 + process as u64);
    let mut base = 0;
    for round in 0..12 {
        sleep(Duration::from_millis(rng.random_range(0..400))).await;
        if rng.random_ratio(1, 3) {
            record(log, process, Action::Call(VersionOperation::Read(0)));
            let status = cluster.status().await;
            base = status["state"]["environments"]["notes"]["trial"]
                .as_u64()
                .unwrap_or(0);
            record(log, process, Action::Response(VersionOperation::Read(base)));
            continue;
        }
        let mut document = engine_document(&["north"], 1, 1);
        // Makes every document different.
        document["limits"]["queue"] = (process * 1000 + round + 1).into();
        let change = json!({"submit": {"environment": "notes", "base": base, "text": document.to_string()}});
        let call = VersionOperation::Submit { base, accepted: None };
        record(log, process, Action::Call(call));
        let reply = cluster
            .request_change(&format!("{process}-{round}"), change)
            .await;
        let accepted = reply["accepted"]["version"].as_u64();
        record(
            log,
            process,
            Action::Response(VersionOperation::Submit { base, accepted }),
        );
        base = accepted
            .or(reply["conflict"]["current"].as_u64())
            .expect("a reply");
    }
}

async fn run_client(client: &Client, process: usize, seed: u64, logs: &[EventLog<LedgerOperation>]) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 77 + process as u64);
    for round in 0..25_u64 {
        sleep(Duration::from_millis(rng.random_range(0..200))).await;
        let key = rng.random_range(0..logs.len());
        let attempt = process as u64 * 1_000 + round;
        let call = Call {
            client_account: "test".to_owned(),
            environment: "orders".to_owned(),
            key: format!("key-{key}"),
            digest: 1,
            // Keeps the key within its retention for the whole run.
            arrived_ms: u64::MAX,
        };
        let begin_call = LedgerOperation::Begin {
            attempt,
            granted: false,
            ended: None,
        };
        record(&logs[key], process, Action::Call(begin_call));
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
            Action::Response(LedgerOperation::Begin {
                attempt,
                granted,
                ended,
            }),
        );
        if granted {
            record(
                &logs[key],
                process,
                Action::Call(LedgerOperation::Finish { attempt }),
            );
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
            record(
                &logs[key],
                process,
                Action::Response(LedgerOperation::Finish { attempt }),
            );
        }
    }
}

/// Retries a ledger command until the leader has committed it.
async fn commit(client: &Client, command: &Command) -> Verdict {
    loop {
        if let Ok(Reply::Ledger(verdict)) = client.propose(command, Duration::from_secs(30)).await {
            return verdict;
        }
    }
}

/// Runs operators and clients under faults, checks their histories, and counts the operations:
/// `changes` are those of operators, `uses` those of clients on keys of the ledger.
async fn check_run(seed: u64) -> BTreeMap<&'static str, usize> {
    let (mut cluster, links) = start_with_links().await;
    let keys = Credentials::load(&cluster.site.controls[0].keys).unwrap();
    let peers: Vec<_> = cluster
        .site
        .controls
        .iter()
        .map(|c| heatherramp::settings::Peer {
            name: c.name.clone(),
            address: c.listen_peer.to_string(),
        })
        .collect();
    let client = Client::new(Pool::new(&keys).unwrap(), &peers);
    let changes: EventLog<VersionOperation> = EventLog::default();
    let key_logs: Vec<EventLog<LedgerOperation>> = (0..4).map(|_| EventLog::default()).collect();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let observer = cluster.observer();
    let operators =
        futures_util::future::join_all((0..3).map(|p| run_operator(&observer, p, seed, &changes)));
    let clients = futures_util::future::join_all((0..4).map(|p| run_client(&client, p, seed, &key_logs)));
    tokio::join!(operators, clients, inject_faults(&mut cluster, &links, &mut rng));
    let changes = changes.lock().unwrap().clone();
    let mut counts = BTreeMap::from([("changes", changes.len() / 2)]);
    let history = History::from_actions(changes.clone());
    assert!(
        WGLChecker::<VersionSpecification>::is_linearizable(history),
        "seed {seed}: {changes:?}"
    );
    for log in &key_logs {
        let log = log.lock().unwrap().clone();
        *counts.entry("uses").or_default() += log.len() / 2;
        if !log.is_empty() {
            let history = History::from_actions(log.clone());
            assert!(
                WGLChecker::<LedgerSpecification>::is_linearizable(history),
                "seed {seed}: {log:?}"
            );
        }
    }
    counts
}

#[tokio::test(flavor = "multi_thread")]
async fn histories_are_linearizable_under_kills_pauses_and_cuts() {
    let first = env_number("HEATHERRAMP_SEED", 1);
    for seed in first..first + env_number("HEATHERRAMP_RUNS", 2) {
        let counts = check_run(seed).await;
        println!("seed {seed}: {counts:?}");
    }
}
