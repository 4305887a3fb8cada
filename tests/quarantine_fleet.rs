//! The quarantine of prompt parts, from the reports of gateways to the replicated log and back.
//!
//! Each failure that is tested here would let some gateway send requests with a bad part on, or keep the
//! requests of sound parts out for good.

mod controllers;

use std::collections::BTreeMap;

use heatherramp::domain::consensus::Snapshot;
use heatherramp::domain::fleet::Action;
use heatherramp::domain::fleet::Answer;
use heatherramp::domain::fleet::Call;
use heatherramp::domain::fleet::Command;
use heatherramp::domain::fleet::Digest;
use heatherramp::domain::fleet::Event;
use heatherramp::domain::fleet::Input;
use heatherramp::domain::fleet::Overview;
use heatherramp::domain::fleet::Report;
use heatherramp::domain::fleet::State;
use heatherramp::domain::quarantine::Crash;
use heatherramp::domain::quarantine::Evidence;

use controllers::Fleet;
use controllers::Gateway;
use controllers::NAMES;
use controllers::core;
use controllers::ms;
use controllers::relay;
use controllers::strings;

/// Overview for the caller with ticket 1.
fn overview_of(actions: Vec<Action>) -> Option<Overview> {
    let overviews = actions.into_iter().find_map(|action| match action {
        Action::Answer(1, Answer::Overview(overview)) => Some(overview),
        _ => None,
    });
    overviews.map(|o| *o)
}

#[test]
fn crashes_that_gateways_at_different_controllers_saw_put_the_part_in_quarantine_at_all_of_them() {
    let mut fleet = Fleet::start(3);
    fleet.quarantine("bad");
    assert_eq!(fleet.quarantined(), ["bad"]);
    assert!(
        fleet.knows_quarantine(&["bad"]),
        "a gateway does not know the quarantine"
    );
    assert!(
        fleet
            .gateways
            .iter()
            .all(|g| g.suspects.contains(&"bad".to_owned()))
    );
    let targets = strings(&["bad-t0", "bad-t1", "bad-t2"]);
    assert_eq!(fleet.telemetry, [("bad".to_owned(), targets)]);
    assert_eq!(fleet.proposals, 1);
}

#[test]
fn two_crashes_at_each_gateway_of_different_parts_quarantine_nothing() {
    let mut fleet = Fleet::start(3);
    for gateway in 0..3 {
        for crash in 0..2 {
            let part = format!("p{gateway}");
            fleet.crash(gateway, &format!("t{gateway}-{crash}"), &["first", &part]);
            fleet.advance_by(300);
            fleet.run_soundly(gateway, &["first"]);
            fleet.advance_by(100);
        }
    }
    fleet.advance_by(2_000);
    assert!(fleet.quarantined().is_empty());
    assert_eq!(fleet.proposals, 0);
}

#[test]
fn the_quarantine_survives_a_change_of_leader_and_gateways_that_know_nothing() {
    let mut fleet = Fleet::start(3);
    fleet.quarantine("bad");
    let former = fleet.leader().unwrap();
    fleet.is_up[former] = false;
    fleet.gateways = (0..3).map(|_| Gateway::default()).collect();
    fleet.advance_until(|fleet| fleet.leader().is_some_and(|leader| leader != former));
    assert_eq!(fleet.quarantined(), ["bad"]);
    fleet.advance_by(200);
    assert!(
        fleet.knows_quarantine(&["bad"]),
        "a gateway does not know the quarantine"
    );
    fleet.advance_by(10_000);
    assert!(fleet.knows_quarantine(&["bad"]), "a new leader released the part");
    assert_eq!(fleet.proposals, 1);
}

#[test]
fn crashes_reported_to_a_former_leader_count_at_the_next_one() {
    let mut fleet = Fleet::start(3);
    fleet.crash(0, "t0", &["first", "bad"]);
    fleet.advance_by(300);
    fleet.crash(1, "t1", &["first", "bad"]);
    fleet.advance_by(200);
    let former = fleet.leader().unwrap();
    fleet.is_up[former] = false;
    fleet.advance_until(|fleet| fleet.leader().is_some_and(|leader| leader != former));
    fleet.run_soundly(2, &["first"]);
    fleet.crash(2, "t2", &["first", "bad"]);
    fleet.advance_by(1_000);
    assert_eq!(fleet.quarantined(), ["bad"]);
}

#[test]
fn a_controller_that_leads_again_does_not_count_crashes_of_its_earlier_leadership() {
    let mut fleet = Fleet::start(3);
    for i in 0..2 {
        fleet.crash(i, &format!("t{i}"), &["part"]);
        fleet.advance_by(400);
    }
    let first = fleet.leader().unwrap();
    fleet.is_up[first] = false;
    fleet.advance_until(|fleet| fleet.leader().is_some_and(|leader| leader != first));
    fleet.advance_by(6_000);
    fleet.run_soundly(0, &["part"]);
    fleet.advance_by(200);
    fleet.gateways = (0..3).map(|_| Gateway::default()).collect();
    while fleet.leader() != Some(first) {
        let leader = fleet.leader().unwrap();
        fleet.is_up = (0..3).map(|i| i != leader).collect();
        fleet.advance_until(|fleet| fleet.leader().is_some_and(|new| new != leader));
    }
    fleet.is_up = vec![true; 3];
    fleet.crash(2, "t2", &["part"]);
    fleet.advance_by(2_000);
    assert_eq!(fleet.leader(), Some(first));
    assert!(fleet.quarantined().is_empty());
}

#[test]
fn the_leader_answers_waiting_digests_as_soon_as_a_part_is_in_quarantine() {
    let mut fleet = Fleet::start(1);
    for i in 0..3 {
        fleet.crash(0, &format!("t{i}"), &["bad"]);
        fleet.advance_by(if i < 2 { 300 } else { 0 });
    }
    let crashed = fleet.gateways[0].observations.evidence(ms(fleet.now), &[]);
    let core = &mut fleet.cores[0];
    let call = |digest| Event::Call {
        ticket: 1,
        call: Call::Digest(Box::new(digest)),
    };
    // Once the leader knows of so many gateways, a digest without a change waits for 600 ms.
    let mut digest = Digest {
        gateways: (0..2_000).map(|i| format!("g{i}")).collect(),
        ..Digest::default()
    };
    let answer = overview_of(core.step(ms(fleet.now), call(digest.clone())));
    digest.targets = answer.expect("the digest's targets are outdated").revision;
    digest.evidence = crashed;
    let asked_at = fleet.now;
    let mut answer = overview_of(core.step(ms(asked_at), call(digest)));
    while answer.is_none() {
        fleet.now += 20;
        answer = overview_of(core.step(ms(fleet.now), Event::Tick));
    }
    let waited = fleet.now - asked_at;
    assert!(waited < 400, "the digest waited for {waited} ms");
    assert_eq!(answer.unwrap().quarantined, ["bad"]);
}

#[test]
fn a_relay_answers_waiting_reports_as_soon_as_a_part_is_in_quarantine() {
    let mut relay = relay("a");
    let overview = |quarantined: &[&str]| {
        Box::new(Overview {
            quarantined: strings(quarantined),
            ..Overview::default()
        })
    };
    relay.step(ms(0), Input::Overview(ms(0), overview(&[])));
    let waiting = relay.step(ms(10), Input::Report(1, Box::default()));
    assert!(waiting.is_empty(), "answered without a change");
    let answered = relay.step(ms(20), Input::Overview(ms(15), overview(&["bad"])));
    let [(1, Answer::Overview(answer))] = answered.as_slice() else {
        panic!("not answered: {answered:?}");
    };
    assert_eq!(answer.quarantined, ["bad"]);
}

#[test]
fn a_sound_run_after_the_latest_crash_releases_the_part_at_all_gateways() {
    let mut fleet = Fleet::start(3);
    fleet.quarantine("bad");
    fleet.advance_by(5_000);
    assert!(fleet.knows_quarantine(&["bad"]));
    fleet.run_soundly(2, &["first", "bad"]);
    fleet.advance_by(1_500);
    assert!(fleet.quarantined().is_empty());
    assert!(fleet.knows_quarantine(&[]), "a gateway still refuses the part");
    assert_eq!(fleet.telemetry.last(), Some(&("bad".to_owned(), Vec::new())));
    assert_eq!(fleet.proposals, 2);
    fleet.advance_by(5_000);
    assert_eq!(
        fleet.proposals, 2,
        "the crashes before the sound run counted again"
    );
}

#[test]
fn a_new_leader_releases_only_for_a_run_since_it_leads() {
    let mut fleet = Fleet::start(3);
    fleet.quarantine("bad");
    // Longer than crashes are reported, and the run is older than the new leadership.
    fleet.advance_by(6_000);
    let former = fleet.leader().unwrap();
    fleet.is_up[former] = false;
    fleet.run_soundly((former + 1) % 3, &["bad"]);
    fleet.advance_until(|fleet| fleet.leader().is_some_and(|leader| leader != former));
    fleet.advance_by(3_000);
    assert_eq!(fleet.quarantined(), ["bad"]);
    fleet.run_soundly((former + 2) % 3, &["bad"]);
    fleet.advance_by(1_500);
    assert!(fleet.quarantined().is_empty());
}

#[test]
fn a_part_without_a_new_crash_is_released_after_ten_minutes() {
    let mut fleet = Fleet::start(1);
    fleet.quarantine("bad");
    fleet.advance_by(300_000);
    fleet.crash(0, "late", &["first", "bad"]);
    fleet.advance_by(598_000);
    assert_eq!(fleet.quarantined(), ["bad"]);
    fleet.advance_by(4_000);
    assert!(fleet.quarantined().is_empty());
    fleet.advance_by(10_000);
    assert_eq!(fleet.proposals, 2, "a released part came back without a crash");
}

#[test]
fn a_proposal_that_is_not_committed_yet_is_not_made_again_at_each_tick() {
    let mut fleet = Fleet::start(3);
    fleet.crash(0, "t0", &["bad"]);
    fleet.advance_by(300);
    fleet.crash(1, "t1", &["bad"]);
    fleet.advance_by(300);
    let leader = fleet.leader().unwrap();
    fleet.crash(2, "t2", &["bad"]);
    fleet.is_up = (0..3).map(|i| i == leader).collect();
    fleet.advance_by(600);
    assert_eq!(fleet.proposals, 1);
    fleet.is_up = vec![true; 3];
    fleet.advance_until(|fleet| fleet.leader().is_some() && fleet.knows_quarantine(&["bad"]));
}

#[test]
fn a_snapshot_restores_the_quarantine_and_one_of_an_earlier_version_loads() {
    let mut state = State::default();
    let part = |part: &str| Command::Quarantine {
        part: part.to_owned(),
    };
    state.apply(1, &part("bad"));
    state.apply(2, &part("worse"));
    state.apply(3, &part("bad"));
    let release = Command::Release {
        part: "worse".to_owned(),
    };
    state.apply(4, &release);
    let text = serde_json::to_string(&state).unwrap();
    assert_eq!(State::restore(&text), state);
    let snapshot = Snapshot {
        index: 4,
        term: 1,
        voters: strings(&NAMES[..1]),
        learners: Vec::new(),
        state: text.clone(),
    };
    let restarted = core(NAMES[0], &NAMES[..1], Some(snapshot), 0);
    assert_eq!(
        restarted.state().quarantined,
        BTreeMap::from([("bad".to_owned(), 1)])
    );

    let mut earlier: serde_json::Value = serde_json::from_str(&text).unwrap();
    earlier.as_object_mut().unwrap().remove("quarantined").unwrap();
    let restored = State::restore(&earlier.to_string());
    assert_eq!((restored.index, restored.quarantined.len()), (4, 0));
}

#[test]
fn the_quarantine_survives_the_compaction_of_the_log() {
    let mut fleet = Fleet::start(1);
    fleet.quarantine("bad");
    for i in 0..100 {
        let call = Call::SetZone {
            zone: "z".to_owned(),
            out: i % 2 == 0,
        };
        fleet.step(0, Event::Call { ticket: 9, call });
        fleet.advance();
    }
    let snapshot = fleet.snapshots.last().expect("a snapshot").clone();
    let restarted = core(NAMES[0], &NAMES[..1], Some(snapshot), fleet.now);
    assert!(restarted.state().quarantined.contains_key("bad"));
}

#[test]
fn the_oldest_part_leaves_a_full_quarantine_and_stays_out_without_a_new_crash() {
    let mut fleet = Fleet::start(1);
    for i in 0..65 {
        fleet.quarantine(&format!("bad{i}"));
    }
    fleet.advance_by(3_000);
    let held = fleet.quarantined();
    assert_eq!(held.len(), 64);
    assert!(!held.contains(&"bad0"));
    assert_eq!(fleet.proposals, 65, "the parts displaced each other");
    fleet.crash(0, "t", &["bad0"]);
    fleet.advance_by(1_500);
    assert!(fleet.quarantined().contains(&"bad0"));
}

#[test]
fn a_relay_passes_on_the_evidence_of_gateways_that_still_report_with_the_time_since() {
    let mut relay = relay("a");
    let report = |gateway: &str, target: &str| Report {
        gateway: gateway.to_owned(),
        evidence: Evidence {
            crashes: vec![Crash {
                target: target.to_owned(),
                incarnation: 1,
                parts: strings(&["bad"]),
                age_ms: 100,
                sent_age_ms: None,
            }],
            sound: BTreeMap::from([("first".to_owned(), 30)]),
            ..Evidence::default()
        },
        ..Report::default()
    };
    relay.step(ms(1_000), Input::Report(1, Box::new(report("g1", "t1"))));
    relay.step(ms(2_000), Input::Report(2, Box::new(report("g2", "t2"))));
    let evidence = relay.digest(ms(2_200)).evidence;
    let ages: BTreeMap<&str, u64> = evidence
        .crashes
        .iter()
        .map(|c| (c.target.as_str(), c.age_ms))
        .collect();
    assert_eq!(ages, BTreeMap::from([("t1", 1_300), ("t2", 300)]));
    assert_eq!(evidence.sound["first"], 230);
    let evidence = relay.digest(ms(2_600)).evidence;
    assert_eq!(evidence.crashes.len(), 1, "a gateway that is gone is passed on");
}

#[test]
fn messages_of_an_earlier_version_decode() {
    fn without<T: serde::Serialize + serde::de::DeserializeOwned>(message: &T, fields: &[&str]) -> T {
        let mut value = serde_json::to_value(message).unwrap();
        for field in fields {
            value.as_object_mut().unwrap().remove(*field).unwrap();
        }
        serde_json::from_value(value).unwrap()
    }
    assert_eq!(
        without(&Report::default(), &["evidence"]).evidence,
        Evidence::default()
    );
    assert_eq!(
        without(&Digest::default(), &["evidence"]).evidence,
        Evidence::default()
    );
    let overview = without(&Overview::default(), &["suspects", "quarantined"]);
    assert!(overview.suspects.is_empty() && overview.quarantined.is_empty());
}
