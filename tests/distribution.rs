//! Network, memory and disk costs of large catalogs at the controllers.
//!
//! The bounds follow from the largest deployment: 64 gateways with 20 Mbit/s each; controllers with
//! 170 Mbit/s, 256 MB of memory and 128 MB of disk; and a catalog that has to be in force within
//! 2.5 s after it was accepted.

use std::collections::BTreeMap;
use std::time::Duration;

use heatherramp::domain::catalog::Catalog;
use heatherramp::domain::catalog::Definition;
use heatherramp::domain::catalog::Limits;
use heatherramp::domain::catalog::Repeat;
use heatherramp::domain::catalog::Route;
use heatherramp::domain::catalog::Service;
use heatherramp::domain::catalog::Share;
use heatherramp::domain::consensus;
use heatherramp::domain::consensus::HardState;
use heatherramp::domain::consensus::Recovery;
use heatherramp::domain::consensus::Snapshot;
use heatherramp::domain::fleet;
use heatherramp::domain::fleet::Action;
use heatherramp::domain::fleet::Answer;
use heatherramp::domain::fleet::Call;
use heatherramp::domain::fleet::Controller;
use heatherramp::domain::fleet::Core;
use heatherramp::domain::fleet::Digest;
use heatherramp::domain::fleet::Document;
use heatherramp::domain::fleet::Event;
use heatherramp::domain::fleet::Input;
use heatherramp::domain::fleet::Relay;
use heatherramp::domain::fleet::Report;
use heatherramp::domain::fleet::Timing;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const GATEWAY_COUNT: usize = 64;
const ROUTE_COUNT: usize = 1_750;
/// Bandwidth of a controller.
const LINK_BYTES_PER_S: f64 = 170.0e6 / 8.0;

/// Catalog with random names: like operators' names they hardly repeat, so they compress badly.
fn catalog(version: u64) -> Definition {
    let mut rng = ChaCha8Rng::seed_from_u64(version);
    let mut name = |length: usize| -> String {
        let letter = |_| char::from(rng.random_range(b'a'..=b'z'));
        (0..length).map(letter).collect()
    };
    let route = |_| Route {
        name: name(10),
        host: format!("{}.example", name(6)),
        prefix: format!("/{}/", name(8)),
        repeat: Repeat::Idempotent,
        streams: false,
        timeout_ms: 2_500,
        goal_ms: 150,
        gap_ms: None,
        rank: 1,
        shares: vec![Share {
            service: "desk".to_owned(),
            weight: 1,
        }],
        max_sends: 2,
        session_affinity: false,
        public: true,
    };
    Definition {
        version,
        routes: (0..ROUTE_COUNT).map(route).collect(),
        services: vec![Service {
            name: "desk".to_owned(),
            health_path: "/".to_owned(),
            max_connections: 100,
            cold_ms: 0,
            cold_rate: 0.0,
            engine: None,
        }],
        limits: Limits::default(),
        accounts: None,
    }
}

/// Document of a generated catalog.
fn document(version: u64) -> Document {
    let definition = catalog(version);
    let text = serde_json::to_string_pretty(&definition).unwrap();
    Document::new(&text, &definition)
}

fn core(identity: &str, snapshot: Snapshot) -> Core {
    let recovery = Recovery {
        hard_state: HardState::default(),
        snapshot,
        records: Vec::new(),
    };
    let timing = consensus::Timing::default();
    Core::new(identity, Timing::default(), timing, recovery, Duration::ZERO, 1)
}

fn snapshot(voters: &[&str], index: u64, state: String) -> Snapshot {
    Snapshot {
        index,
        term: 0,
        voters: voters.iter().map(|v| (*v).to_owned()).collect(),
        learners: Vec::new(),
        state,
    }
}

/// Controller that is the only voter and has become leader, with the time at that point.
fn leader() -> (Core, Duration) {
    let mut core = core("a", snapshot(&["a"], 0, String::new()));
    let mut now = Duration::ZERO;
    while !core.leads(now) {
        now += Duration::from_millis(20);
        assert!(now < Duration::from_secs(10), "a lone voter did not elect itself");
        core.step(now, Event::Tick);
    }
    (core, now)
}

fn submit_new_catalog(core: &mut Core, now: Duration, version: u64) -> Vec<Action> {
    submit_catalog(core, now, document(version))
}

fn submit_catalog(core: &mut Core, now: Duration, document: Document) -> Vec<Action> {
    let version = document.version;
    let call = Call::Adopt(Box::new(document));
    core.step(
        now,
        Event::Call {
            ticket: version,
            call,
        },
    )
}

fn answers(actions: Vec<Action>) -> Vec<Answer> {
    let answers = actions.into_iter().filter_map(|action| match action {
        Action::Answer(_, answer) => Some(answer),
        _ => None,
    });
    answers.collect()
}

/// Relay of the leading controller, with the overview that answers its first digest.
fn relay_of(core: &mut Core, now: Duration) -> Relay {
    let controller = Controller {
        address: "a".to_owned(),
        zone: "z".to_owned(),
    };
    let mut relay = Relay::new(controller, Timing::default());
    let digest = relay.digest(now);
    let overviews = answers(send_digest(core, now, digest));
    assert!(answer_relay(&mut relay, now, overviews).is_empty());
    relay
}

fn send_digest(core: &mut Core, now: Duration, digest: Digest) -> Vec<Action> {
    let (ticket, call) = (0, Call::Digest(Box::new(digest)));
    core.step(now, Event::Call { ticket, call })
}

/// Passes the leader's overviews to a relay; returns its answers to gateways.
fn answer_relay(relay: &mut Relay, now: Duration, overviews: Vec<Answer>) -> Vec<Answer> {
    let mut out = Vec::new();
    for answer in overviews {
        let Answer::Overview(overview) = answer else {
            continue;
        };
        out.extend(relay.step(now, Input::Overview(now, overview)));
    }
    out.into_iter().map(|(_, answer)| answer).collect()
}

fn send_report(relay: &mut Relay, now: Duration, report: Report) -> Vec<Answer> {
    let out = relay.step(now, Input::Report(1, Box::new(report)));
    out.into_iter().map(|(_, answer)| answer).collect()
}

#[test]
fn a_change_of_a_large_catalog_reaches_all_gateways_through_small_tables() {
    let (mut core, now) = leader();
    submit_new_catalog(&mut core, now, 1);
    let mut relay = relay_of(&mut core, now);
    let report = |gateway: usize, targets| Report {
        gateway: format!("gateway-{gateway}"),
        targets,
        version: Some(1),
        ..Report::default()
    };
    let first = send_report(&mut relay, now, report(0, (0, 0)));
    let Some(Answer::Overview(first)) = first.first() else {
        panic!("a report with outdated data was not answered at once: {first:?}");
    };
    for gateway in 0..GATEWAY_COUNT {
        let answered = send_report(&mut relay, now, report(gateway, first.revision));
        assert!(
            answered.is_empty(),
            "a report with current data was answered without a change"
        );
    }
    let digest = relay.digest(now);
    assert!(answers(send_digest(&mut core, now, digest)).is_empty());
    let changed_at = now + Duration::from_millis(20);
    let overviews = answers(submit_new_catalog(&mut core, changed_at, 2));
    let overview_bytes: usize = overviews
        .iter()
        .map(|o| serde_json::to_vec(o).unwrap().len())
        .sum();
    let answered = answer_relay(&mut relay, changed_at, overviews);
    let tables = answered.into_iter().filter_map(|answer| match answer {
        Answer::Overview(overview) => Some(overview),
        _ => None,
    });
    let tables: Vec<_> = tables.collect();
    assert_eq!(
        tables.len(),
        GATEWAY_COUNT,
        "not all waiting gateways were answered at once"
    );
    assert!(tables.iter().all(|t| t.version == Some(2)));
    let bytes: usize = tables.iter().map(|t| serde_json::to_vec(t).unwrap().len()).sum();
    let bytes = bytes + overview_bytes;
    assert!(
        bytes as f64 / LINK_BYTES_PER_S < 0.1,
        "{bytes} bytes of tables take over 0.1 s"
    );
}

#[test]
fn shares_of_limits_add_up_to_one() {
    let (mut core, now) = leader();
    let mut relay = relay_of(&mut core, now);
    let report = |gateway: usize| Report {
        gateway: format!("gateway-{gateway}"),
        // A few gateways have most of the callers, some have none.
        demand: BTreeMap::from([("engine/large".to_owned(), (gateway % 5 * gateway) as f64)]),
        ..Report::default()
    };
    for gateway in 0..GATEWAY_COUNT {
        send_report(&mut relay, now, report(gateway));
    }
    let digest = relay.digest(now);
    let later = now + Duration::from_millis(60);
    let mut overviews = answers(send_digest(&mut core, now, digest));
    overviews.extend(answers(core.step(later, Event::Tick)));
    answer_relay(&mut relay, later, overviews);
    let shares =
        (0..GATEWAY_COUNT).map(
            |gateway| match send_report(&mut relay, later, report(gateway)).as_slice() {
                [Answer::Overview(overview)] => {
                    let own: f64 = report(gateway).demand.values().sum();
                    fleet::share(own, overview.demand, overview.gateways)
                }
                other => panic!("{other:?}"),
            },
        );
    let shares: Vec<f64> = shares.collect();
    let sum: f64 = shares.iter().sum();
    assert!((sum - 1.0).abs() < 1e-6, "shares add up to {sum}");
    assert!(
        shares.iter().all(|s| *s > 0.0),
        "a gateway without callers has no share"
    );
}

#[test]
fn a_compressed_catalog_is_under_a_third_of_its_json() {
    let definition = catalog(1);
    let document = Document::new("", &definition);
    let plain = serde_json::to_string(&definition).unwrap().len();
    let compressed_bytes = document.raw.size();
    assert!(
        compressed_bytes * 3 < plain,
        "{compressed_bytes} bytes of {plain}"
    );
    // Each of five controllers serves a fifth of the gateways.
    let seconds = (compressed_bytes * GATEWAY_COUNT / 5) as f64 / LINK_BYTES_PER_S;
    assert!(
        seconds < 0.25,
        "a controller takes {seconds} s to send the catalog"
    );
    let decoded = document.raw.definition().unwrap();
    assert!(Catalog::try_from(decoded.clone()).is_ok());
    assert_eq!(decoded, definition);
}

#[test]
fn a_follower_sends_the_catalog_that_it_has_applied() {
    let (mut leader, now) = leader();
    submit_new_catalog(&mut leader, now, 3);
    let state = serde_json::to_string(leader.state()).unwrap();
    let mut follower = core("b", snapshot(&["a", "b"], leader.state().index, state));
    assert!(!follower.leads(now));
    let mut fetch = |above| {
        let call = Call::Catalog { above };
        answers(follower.step(now, Event::Call { ticket: 9, call }))
    };
    let newer = fetch(Some(2));
    let Some(Answer::Catalog(Some(compressed))) = newer.first() else {
        panic!("{newer:?}");
    };
    let definition = compressed.definition().unwrap();
    assert_eq!(definition, catalog(3));
    assert!(matches!(fetch(Some(3)).first(), Some(Answer::Catalog(None))));
}

#[test]
fn many_large_catalogs_in_a_row_stay_within_memory_and_disk() {
    let (mut core, now) = leader();
    let first = document(1);
    for version in 1..=60 {
        let next = Document {
            version,
            ..first.clone()
        };
        submit_catalog(&mut core, now + Duration::from_millis(version * 80), next);
        core.step(now + Duration::from_millis(version * 80 + 40), Event::Tick);
        let journal = core.node().journal();
        let records = journal.range(journal.snapshot().index + 1, usize::MAX / 2);
        let stored_bytes = serde_json::to_vec(records).unwrap().len() + journal.snapshot().state.len();
        // A tenth of a controller's memory and a fifth of its disk.
        assert!(
            stored_bytes < 25 << 20,
            "{stored_bytes} bytes after version {version}"
        );
    }
    assert_eq!(core.state().version(), Some(60));
}

/// Guards against a first catalog that is acknowledged and never in force, as its version 0 stands for no catalog.
#[test]
fn a_first_catalog_with_version_0_reaches_gateways() {
    let (mut core, now) = leader();
    let mut relay = relay_of(&mut core, now);
    let held = |version| Report {
        gateway: "gateway".to_owned(),
        version,
        ..Report::default()
    };
    let Some(Answer::Overview(first)) = send_report(&mut relay, now, held(None)).pop() else {
        panic!("a report without targets was not answered at once");
    };
    assert_eq!(first.version, None);
    let digest = relay.digest(now);
    assert!(answers(send_digest(&mut core, now, digest)).is_empty());
    let waiting = Report {
        targets: first.revision,
        ..held(None)
    };
    assert!(send_report(&mut relay, now, waiting).is_empty());
    let overviews = answers(submit_new_catalog(&mut core, now, 0));
    let answered = answer_relay(&mut relay, now, overviews);
    let is_named = |answer: &Answer| matches!(answer, Answer::Overview(o) if o.version == Some(0));
    assert!(answered.iter().any(is_named), "{answered:?}");
    for (above, is_sent) in [(None, true), (Some(0), false)] {
        let call = Call::Catalog { above };
        let answer = answers(core.step(now, Event::Call { ticket: 9, call }));
        let has_catalog = matches!(answer.first(), Some(Answer::Catalog(Some(_))));
        assert_eq!(has_catalog, is_sent, "above {above:?}");
    }
    let is_held = Report {
        targets: first.revision,
        ..held(Some(0))
    };
    let answered = send_report(&mut relay, now, is_held);
    assert!(
        answered.is_empty(),
        "a gateway with the catalog waits for a change"
    );
}

#[test]
fn the_highest_version_stays_in_force_after_a_catalog_with_version_0() {
    let (mut core, now) = leader();
    submit_new_catalog(&mut core, now, 0);
    assert_eq!(core.state().version(), Some(0));
    submit_new_catalog(&mut core, now, 4);
    submit_new_catalog(&mut core, now, 0);
    assert_eq!(core.state().version(), Some(4));
}

/// The build before knows a version without a field beside it, and reads 0 as none.
#[test]
fn versions_are_readable_by_the_build_before_and_from_it() {
    for version in [None, Some(0), Some(7)] {
        let report = Report {
            version,
            ..Report::default()
        };
        let mut text = serde_json::to_value(&report).unwrap();
        assert_eq!(text["version"], version.unwrap_or(0));
        let same: Report = serde_json::from_value(text.clone()).unwrap();
        assert_eq!(same.version, version);
        text.as_object_mut().unwrap().remove("has_catalog");
        let earlier: Report = serde_json::from_value(text).unwrap();
        assert_eq!(earlier.version, version.filter(|v| *v > 0));

        let mut text = serde_json::to_value(Call::Catalog { above: version }).unwrap();
        assert_eq!(text["Catalog"]["above"], version.unwrap_or(0));
        text["Catalog"].as_object_mut().unwrap().remove("has_catalog");
        let earlier: Call = serde_json::from_value(text).unwrap();
        let expected = version.filter(|v| *v > 0);
        assert!(matches!(earlier, Call::Catalog { above } if above == expected));
    }
}
