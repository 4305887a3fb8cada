//! Relays between gateways, VMs and the leading controller.
//!
//! Each failure that is tested here would make the leader believe something that is no longer so, or
//! gateways act on it: a VM that is gone counts as alive, requests of a dead gateway count as running,
//! or a withdrawn key works for longer than allowed.

use std::collections::BTreeMap;
use std::time::Duration;

use heatherramp::domain::consensus;
use heatherramp::domain::consensus::Recovery;
use heatherramp::domain::consensus::Snapshot;
use heatherramp::domain::fleet::Action;
use heatherramp::domain::fleet::Announcement;
use heatherramp::domain::fleet::Answer;
use heatherramp::domain::fleet::Call;
use heatherramp::domain::fleet::Controller;
use heatherramp::domain::fleet::Core;
use heatherramp::domain::fleet::Digest;
use heatherramp::domain::fleet::Event;
use heatherramp::domain::fleet::Handling;
use heatherramp::domain::fleet::Heartbeats;
use heatherramp::domain::fleet::Helper;
use heatherramp::domain::fleet::Helpers;
use heatherramp::domain::fleet::Input;
use heatherramp::domain::fleet::Overview;
use heatherramp::domain::fleet::Place;
use heatherramp::domain::fleet::Registry;
use heatherramp::domain::fleet::Relay;
use heatherramp::domain::fleet::Renewal;
use heatherramp::domain::fleet::Report;
use heatherramp::domain::fleet::Target;
use heatherramp::domain::fleet::TargetLog;
use heatherramp::domain::fleet::Timing;
use heatherramp::domain::fleet::Update;
use heatherramp::domain::limit::Ask;
use heatherramp::domain::limit::Limit;
use heatherramp::domain::limit::Rate;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn relay(address: &str) -> Relay {
    let controller = Controller {
        address: address.to_owned(),
        zone: format!("zone-{address}"),
    };
    Relay::new(controller, Timing::default())
}

fn overview(term: u64, revision: u64) -> Box<Overview> {
    Box::new(Overview {
        revision: (term, revision),
        update: Some(Update {
            is_whole: true,
            removed: Vec::new(),
            set: vec![target("t")],
        }),
        gateways: 1,
        ..Overview::default()
    })
}

fn target(id: &str) -> Target {
    Target {
        id: id.to_owned(),
        incarnation: 1,
        address: "127.0.0.1:1".to_owned(),
        zone: "z".to_owned(),
        service: "engine".to_owned(),
        model: None,
        slots: 8,
        cold: false,
        limit: None,
    }
}

fn heartbeat(id: &str, sequence: u64) -> Announcement {
    Announcement {
        id: id.to_owned(),
        incarnation: 1,
        sequence,
        service: "engine".to_owned(),
        address: format!("127.0.0.1:{}", 1_000 + id.len()),
        zone: "z".to_owned(),
        domain: "d".to_owned(),
        slots: 8,
        draining: false,
        cold_ms: 0,
        staged: Vec::new(),
        membership: None,
    }
}

fn beat(relay: &mut Relay, now: u64, announcement: Announcement) -> bool {
    let answers = relay.step(ms(now), Input::Heartbeat(1, Box::new(announcement)));
    matches!(answers.as_slice(), [(1, Answer::Done)])
}

/// Sequence numbers in a digest: of heartbeats in full, and of renewals.
fn sequences(digest: &Digest) -> (Vec<u64>, Vec<u64>) {
    let changed = digest.changed.iter().map(|h| h.announcement.sequence);
    let renewed = digest.renewed.iter().map(|r| r.sequence);
    (changed.collect(), renewed.collect())
}

fn report(gateway: &str, targets: (u64, u64), running: u32) -> Box<Report> {
    Box::new(Report {
        gateway: gateway.to_owned(),
        targets,
        running: BTreeMap::from([("t".to_owned(), running)]),
        ..Report::default()
    })
}

fn overview_of(answers: Vec<(u64, Answer)>) -> Overview {
    match answers.into_iter().next() {
        Some((_, Answer::Overview(overview))) => *overview,
        other => panic!("no overview: {other:?}"),
    }
}

#[test]
fn a_heartbeat_is_sent_in_full_until_the_leader_has_it_and_then_renewed() {
    let mut relay = relay("a");
    relay.step(ms(0), Input::Overview(ms(0), overview(1, 1)));
    assert!(beat(&mut relay, 10, heartbeat("vm", 1)));
    assert_eq!(sequences(&relay.digest(ms(20))), (vec![1], vec![]));
    relay.step(ms(60), Input::DigestLost);
    assert_eq!(
        sequences(&relay.digest(ms(70))),
        (vec![1], vec![]),
        "a heartbeat in a lost digest was not sent again"
    );
    relay.step(ms(80), Input::Overview(ms(70), overview(1, 1)));
    assert_eq!(sequences(&relay.digest(ms(90))), (vec![], vec![]));
    assert!(beat(&mut relay, 100, heartbeat("vm", 2)));
    assert_eq!(sequences(&relay.digest(ms(110))), (vec![], vec![2]));
    relay.step(ms(120), Input::Overview(ms(110), overview(1, 1)));
    let changed = Announcement {
        cold_ms: 500,
        ..heartbeat("vm", 3)
    };
    assert!(beat(&mut relay, 130, changed));
    assert_eq!(sequences(&relay.digest(ms(140))), (vec![3], vec![]));
}

/// Between two heartbeats here the VM may have told the leader something else through another relay.
#[test]
fn a_heartbeat_after_a_gap_is_sent_in_full() {
    let mut relay = relay("a");
    relay.step(ms(0), Input::Overview(ms(0), overview(1, 1)));
    beat(&mut relay, 10, heartbeat("vm", 1));
    relay.digest(ms(20));
    relay.step(ms(30), Input::Overview(ms(20), overview(1, 1)));
    beat(&mut relay, 40, heartbeat("vm", 5));
    assert_eq!(sequences(&relay.digest(ms(50))), (vec![5], vec![]));
}

#[test]
fn a_new_leader_gets_recent_heartbeats_with_their_age_and_no_older_ones() {
    let mut relay = relay("a");
    relay.step(ms(0), Input::Overview(ms(0), overview(1, 1)));
    beat(&mut relay, 10, heartbeat("old", 1));
    for now in (200..=1_800).step_by(200) {
        relay.digest(ms(now));
        relay.step(ms(now), Input::Overview(ms(now), overview(1, 1)));
    }
    beat(&mut relay, 1_300, heartbeat("recent", 1));
    relay.digest(ms(1_900));
    relay.step(ms(1_900), Input::Overview(ms(1_900), overview(1, 1)));
    relay.step(ms(2_000), Input::Overview(ms(1_990), overview(2, 1)));
    let digest = relay.digest(ms(2_100));
    let ids: Vec<&str> = digest
        .changed
        .iter()
        .map(|h| h.announcement.id.as_str())
        .collect();
    assert_eq!(ids, ["recent"], "an old heartbeat may hide that its VM has left");
    assert_eq!(digest.changed[0].age_ms, 800);
}

/// Turned away, all gateways would make handshakes with the other controllers.
#[test]
fn a_relay_without_the_leader_acknowledges_no_heartbeat_but_answers_reports_with_their_age() {
    let mut relay = relay("a");
    assert!(!beat(&mut relay, 0, heartbeat("vm", 1)));
    relay.step(ms(10), Input::Overview(ms(10), overview(1, 1)));
    assert!(beat(&mut relay, 20, heartbeat("vm", 2)));
    let answers = relay.step(ms(30), Input::Report(7, report("g", (1, 1), 0)));
    assert!(answers.is_empty(), "a report with current data was not held");
    let answers = relay.step(ms(920), Input::Tick);
    assert_eq!(overview_of(answers).age_ms, 20);
    assert!(!beat(&mut relay, 1_600, heartbeat("vm", 3)));
    let answers = relay.step(ms(1_600), Input::Report(8, report("g", (1, 1), 0)));
    assert!(answers.is_empty(), "a report without news was not held");
    let answer = overview_of(relay.step(ms(1_700), Input::Tick));
    assert_eq!(answer.age_ms, 1_590);
    assert!(!answer.is_recent(), "gateways would rely on its load");
}

/// Heartbeats are received on another thread than digests are made, each with its own reading of the clock.
#[test]
fn a_heartbeat_that_is_later_than_its_digest_has_no_age() {
    let mut relay = relay("a");
    relay.step(ms(10), Input::Overview(ms(10), overview(1, 1)));
    assert!(beat(&mut relay, 100, heartbeat("vm", 1)));
    let digest = relay.digest(ms(99));
    assert_eq!(digest.changed[0].age_ms, 0);
}

#[test]
fn a_relay_without_an_overview_says_so_within_the_time_limit_of_a_report() {
    let mut relay = relay("a");
    assert!(
        relay
            .step(ms(0), Input::Report(1, report("g", (0, 0), 0)))
            .is_empty()
    );
    let answers = relay.step(ms(100), Input::Tick);
    assert!(matches!(answers.as_slice(), [(1, Answer::Redirect(None))]));
}

/// Permits of a relay that has lost the leader would come on top of those that the others issue meanwhile.
#[test]
fn permits_are_issued_only_from_a_recent_overview() {
    let mut relay = relay("a");
    let mut with_limit = overview(1, 1);
    with_limit.update.as_mut().unwrap().set[0].limit = Some(Limit::AtMost(Rate::try_from(10.0).unwrap()));
    relay.step(ms(0), Input::Overview(ms(0), with_limit));
    let mut asking = report("g", (1, 1), 0);
    asking.asks.insert(
        "t".to_owned(),
        Ask {
            wanted: 1,
            returned: 0,
        },
    );
    relay.step(ms(10), Input::Report(1, asking.clone()));
    relay.step(ms(100), Input::Tick);
    relay.step(ms(500), Input::Report(2, asking.clone()));
    assert_eq!(overview_of(relay.step(ms(600), Input::Tick)).granted["t"], 1);
    relay.step(ms(1_000), Input::Report(3, asking));
    assert!(overview_of(relay.step(ms(1_200), Input::Tick)).granted.is_empty());
}

/// The lease of a catalog counts from a time before the leader stated its version.
#[test]
fn a_table_states_the_age_of_what_the_leader_said() {
    let mut relay = relay("a");
    relay.step(ms(130), Input::Overview(ms(100), overview(1, 1)));
    let answer = overview_of(relay.step(ms(250), Input::Report(1, report("g", (0, 0), 0))));
    assert_eq!(answer.age_ms, 150);
}

#[test]
fn running_requests_are_those_of_all_gateways_with_a_recent_report() {
    let mut relay = relay("a");
    let mut from_leader = overview(1, 1);
    from_leader.running = vec![5];
    relay.step(ms(0), Input::Overview(ms(0), from_leader.clone()));
    relay.step(ms(10), Input::Report(1, report("g1", (0, 0), 2)));
    let answer = overview_of(relay.step(ms(20), Input::Report(2, report("g2", (0, 0), 3))));
    assert_eq!(answer.running[0], 10);
    assert_eq!(relay.digest(ms(30)).running["t"], 5);
    // A further report replaces the earlier one.
    let answer = overview_of(relay.step(ms(40), Input::Report(3, report("g1", (0, 0), 1))));
    assert_eq!(answer.running[0], 9);
    // The second gateway has died.
    relay.step(ms(500), Input::Overview(ms(500), from_leader));
    relay.step(ms(510), Input::Report(4, report("g1", (1, 1), 1)));
    assert_eq!(relay.digest(ms(540)).running["t"], 1);
    assert_eq!(relay.digest(ms(540)).gateways.len(), 2);
}

#[test]
fn a_renewal_counts_only_for_the_incarnation_and_content_that_it_renews() {
    let mut registry = Registry::default();
    registry.record_heartbeat(ms(1_000), ms(400), heartbeat("vm", 3));
    assert_eq!(registry.get("vm").unwrap().last_heartbeat, ms(600));
    registry.renew(ms(2_000), "vm", 1, 3);
    registry.renew(ms(2_000), "vm", 2, 4);
    registry.renew(ms(2_000), "other", 1, 4);
    assert_eq!(registry.get("vm").unwrap().last_heartbeat, ms(600));
    registry.renew(ms(2_000), "vm", 1, 4);
    assert_eq!(registry.get("vm").unwrap().last_heartbeat, ms(2_000));
    registry.mark_gone("vm");
    registry.renew(ms(3_000), "vm", 1, 5);
    assert_eq!(registry.get("vm").unwrap().last_heartbeat, ms(2_000));
}

/// Controller that is the only voter and has become leader, with the time at that point.
fn leader() -> (Core, u64) {
    let recovery = Recovery {
        hard_state: consensus::HardState::default(),
        snapshot: Snapshot {
            index: 0,
            term: 0,
            voters: vec!["a".to_owned()],
            learners: Vec::new(),
            state: String::new(),
        },
        records: Vec::new(),
    };
    let timing = consensus::Timing::default();
    let mut core = Core::new("a", Timing::default(), timing, recovery, Duration::ZERO, 1);
    let mut now = 0;
    while !core.leads(ms(now)) {
        now += 20;
        core.step(ms(now), Event::Tick);
    }
    (core, now)
}

fn exchange(core: &mut Core, relay: &mut Relay, now: u64) -> Vec<(u64, Answer)> {
    let digest = relay.digest(ms(now));
    let event = Event::Call {
        ticket: 1,
        call: Call::Digest(Box::new(digest)),
    };
    let mut actions = core.step(ms(now), event);
    actions.extend(core.step(ms(now + 60), Event::Tick));
    let overviews = actions.into_iter().filter_map(|action| match action {
        Action::Answer(_, Answer::Overview(overview)) => Some(overview),
        _ => None,
    });
    let answers = overviews.flat_map(|o| relay.step(ms(now + 60), Input::Overview(ms(now), o)));
    answers.collect()
}

#[test]
fn a_gateway_that_withdraws_counts_no_more() {
    let mut relay = relay("a");
    relay.step(ms(0), Input::Overview(ms(0), overview(1, 1)));
    relay.step(ms(10), Input::Report(1, report("g1", (1, 1), 2)));
    relay.step(ms(10), Input::Report(2, report("g2", (1, 1), 3)));
    relay.step(ms(20), Input::Withdrawal("g1".to_owned()));
    let digest = relay.digest(ms(30));
    assert_eq!((digest.running["t"], digest.gateways), (3, vec!["g2".to_owned()]));
    // A report that arrives late counts for half a second.
    relay.step(ms(40), Input::Withdrawal("g1".to_owned()));
    assert_eq!(relay.digest(ms(50)).running["t"], 3);
}

/// A gateway that turns from one controller to another is one gateway, and its requests count once after
/// half a second. They counted twice for 1.5 s, and all gateways refused callers for want of room.
#[test]
fn the_leader_adds_up_the_relays() {
    let (mut core, now) = leader();
    let (mut a, mut b) = (relay("a"), relay("b"));
    a.step(ms(now), Input::Report(1, report("g1", (0, 0), 2)));
    a.step(ms(now), Input::Report(2, report("moves", (0, 0), 4)));
    exchange(&mut core, &mut a, now);
    b.step(ms(now + 100), Input::Report(3, report("moves", (0, 0), 4)));
    exchange(&mut core, &mut b, now + 100);
    let moved_at = now + 600;
    a.step(ms(moved_at), Input::Report(4, report("g1", (0, 0), 2)));
    b.step(ms(moved_at), Input::Report(5, report("moves", (0, 0), 4)));
    exchange(&mut core, &mut a, moved_at);
    exchange(&mut core, &mut b, moved_at);
    let answer = overview_of(b.step(ms(moved_at + 70), Input::Report(6, report("moves", (0, 0), 4))));
    assert_eq!(
        answer.gateways, 2,
        "a gateway that turned to another controller counts twice"
    );
    let zones: Vec<&str> = answer.controllers.iter().map(|c| c.zone.as_str()).collect();
    assert_eq!(zones, ["zone-a"], "the only member of the log and its zone");
}

#[test]
fn a_gateway_passes_on_what_its_controller_does_not_know_and_renews_the_rest() {
    let controller = |port: u16| Some(([127, 0, 0, 1], port).into());
    let mut heartbeats = Heartbeats::default();
    let mut receive = |now, port, announcement: Announcement| {
        let handling = heartbeats.receive(ms(now), controller(port), &announcement);
        if handling == Handling::Forward {
            heartbeats.record_acknowledged(ms(now), controller(port), announcement);
        }
        let renewals = heartbeats.take_renewals(ms(now), controller(port), ms(10_000));
        let sequences: Vec<u64> = renewals.iter().map(|r| r.sequence).collect();
        (handling, sequences)
    };
    assert_eq!(receive(0, 1, heartbeat("vm", 1)), (Handling::Forward, vec![]));
    assert_eq!(receive(1_200, 1, heartbeat("vm", 2)), (Handling::Renew, vec![2]));
    // Between these two the VM may have told the controller something else.
    assert_eq!(receive(3_600, 1, heartbeat("vm", 4)), (Handling::Forward, vec![]));
    // Another controller does not know the content.
    assert_eq!(receive(4_800, 2, heartbeat("vm", 5)), (Handling::Forward, vec![]));
    let draining = Announcement {
        draining: true,
        ..heartbeat("vm", 6)
    };
    assert_eq!(receive(6_000, 2, draining.clone()), (Handling::Forward, vec![]));
    let still_draining = Announcement {
        sequence: 7,
        ..draining
    };
    assert_eq!(
        receive(7_200, 2, still_draining),
        (Handling::Forward, vec![]),
        "only the leader acknowledges that a VM shuts down"
    );
}

#[test]
fn a_relay_passes_on_a_gateways_renewals_of_heartbeats_that_the_leader_has() {
    let mut relay = relay("a");
    relay.step(ms(0), Input::Overview(ms(0), overview(1, 1)));
    beat(&mut relay, 10, heartbeat("vm", 1));
    let mut with_renewals = report("g", (1, 1), 0);
    let renewal = |id: &str, incarnation, sequence| Renewal {
        id: id.to_owned(),
        incarnation,
        sequence,
    };
    with_renewals.renewed = vec![renewal("vm", 1, 2), renewal("unknown", 1, 2)];
    relay.step(ms(20), Input::Report(1, with_renewals.clone()));
    // The leader does not have the content yet.
    assert_eq!(sequences(&relay.digest(ms(30))), (vec![2], vec![]));
    relay.step(ms(40), Input::Overview(ms(30), overview(1, 1)));
    with_renewals.renewed = vec![renewal("vm", 1, 3), renewal("vm", 0, 9)];
    relay.step(ms(50), Input::Report(2, with_renewals));
    assert_eq!(sequences(&relay.digest(ms(60))), (vec![], vec![3]));
}

/// Guards against a VM whose heartbeats are all acknowledged although neither relay nor leader knows it: a change of
/// leader makes a relay forget VMs that are silent for 1.5 s.
#[test]
fn a_relay_asks_for_the_whole_heartbeat_of_a_vm_that_it_does_not_know() {
    let controller = Some(([127, 0, 0, 1], 1).into());
    let (mut relay, mut gateway) = (relay("a"), Heartbeats::default());
    relay.step(ms(0), Input::Overview(ms(0), overview(1, 1)));
    assert!(beat(&mut relay, 10, heartbeat("vm", 1)));
    gateway.record_acknowledged(ms(10), controller, heartbeat("vm", 1));
    relay.digest(ms(20));
    relay.step(ms(1_600), Input::Overview(ms(1_600), overview(2, 1)));
    assert_eq!(
        gateway.receive(ms(1_700), controller, &heartbeat("vm", 2)),
        Handling::Renew
    );
    let mut with_renewals = report("g", (0, 0), 0);
    with_renewals.renewed = gateway.take_renewals(ms(1_710), controller, ms(10_000));
    let answer = overview_of(relay.step(ms(1_720), Input::Report(1, with_renewals)));
    assert_eq!(answer.unknown, ["vm"]);
    let announcement = gateway.take_unknown("vm").expect("the latest heartbeat");
    assert_eq!(
        gateway.receive(ms(1_730), controller, &heartbeat("vm", 3)),
        Handling::Forward
    );
    assert!(beat(&mut relay, 1_740, announcement));
    assert_eq!(sequences(&relay.digest(ms(1_750))), (vec![2], vec![]));
    let answer = overview_of(relay.step(ms(1_760), Input::Report(2, report("g", (0, 0), 0))));
    assert!(answer.unknown.is_empty());
}

/// Guards against a late call of an earlier start that makes a relay forget a VM which has started again under its
/// identifier.
#[test]
fn a_departure_ends_no_later_start_of_the_vm() {
    let mut relay = relay("a");
    relay.step(ms(0), Input::Overview(ms(0), overview(1, 1)));
    for incarnation in [1, 2] {
        let announcement = Announcement {
            incarnation,
            ..heartbeat("vm", 1)
        };
        assert!(beat(&mut relay, 10, announcement));
    }
    relay.step(ms(20), Input::Departure("vm".to_owned(), Some(1)));
    let incarnations = |digest: Digest| -> Vec<u64> {
        let changed = digest.changed.iter().map(|h| h.announcement.incarnation);
        changed.collect()
    };
    assert_eq!(incarnations(relay.digest(ms(30))), [2]);
    relay.step(ms(40), Input::Departure("vm".to_owned(), None));
    assert!(incarnations(relay.digest(ms(50))).is_empty());
}

/// The same for a leader that does not know a VM whose content a relay has sent.
#[test]
fn a_leader_asks_for_the_whole_heartbeat_of_a_vm_that_it_does_not_know() {
    let (mut core, now) = leader();
    let mut relay = relay("a");
    exchange(&mut core, &mut relay, now);
    assert!(beat(&mut relay, now + 100, heartbeat("vm", 1)));
    // The answer to this digest comes from a leader that has not got it.
    relay.digest(ms(now + 110));
    let revision = relay.digest(ms(now + 110)).targets;
    relay.step(
        ms(now + 120),
        Input::Overview(ms(now + 110), overview(revision.0, revision.1)),
    );
    assert!(beat(&mut relay, now + 200, heartbeat("vm", 2)));
    assert_eq!(sequences(&relay.digest(ms(now + 210))), (vec![], vec![2]));
    exchange(&mut core, &mut relay, now + 300);
    assert_eq!(sequences(&relay.digest(ms(now + 400))), (vec![2], vec![]));
    exchange(&mut core, &mut relay, now + 500);
    assert!(beat(&mut relay, now + 600, heartbeat("vm", 3)));
    exchange(&mut core, &mut relay, now + 700);
    assert_eq!(sequences(&relay.digest(ms(now + 800))), (vec![], vec![]));
}

/// A receiver that has missed changes, or holds targets of an earlier leader, ends with the same targets.
#[test]
fn a_log_of_targets_brings_every_receiver_up_to_date() {
    let all = |ids: &[&str]| ids.iter().map(|id| ((*id).to_owned(), target(id))).collect();
    let mut log = TargetLog::new((3, 0));
    let mut receivers: Vec<TargetLog> = vec![TargetLog::default(), TargetLog::new((2, 7))];
    let steps: [&[&str]; 5] = [&["a", "b"], &["b", "c"], &["a", "c"], &["a", "c", "d"], &["d"]];
    for (i, ids) in steps.iter().enumerate() {
        assert!(log.replace(all(ids)));
        assert!(!log.replace(all(ids)), "a revision without a change");
        receivers.push(receivers[i].clone());
        for (j, receiver) in receivers.iter_mut().enumerate() {
            // Each receiver misses some of the changes.
            if (i + j) % 3 == 0 || i + 1 == steps.len() {
                let update = log.since(receiver.revision()).expect("an update");
                receiver.apply(log.revision(), update);
                assert!(receiver.targets().eq(log.targets()));
            }
        }
    }
    assert!(receivers.iter().all(|r| log.since(r.revision()).is_none()));
    assert!(
        !log.since((3, 1)).unwrap().is_whole,
        "a known revision gets only changes"
    );
    assert_eq!(log.since((3, 5)), None);
    log.advance();
    assert_eq!(log.since((3, 5)), Some(Update::default()));
    for _ in 0..200 {
        log.advance();
    }
    assert!(log.since((3, 1)).unwrap().is_whole);
}

/// All gateways may turn to one controller at the same time. It then holds each report for longer, but not
/// for so long that the gateways give up and turn away.
#[test]
fn reports_of_many_gateways_are_answered_within_their_time_limit() {
    const REPORT_TIMEOUT_MS: u64 = 600;
    let mut relay = relay("a");
    let mut answered_at = Vec::new();
    for now in (0..4_000).step_by(20) {
        let answers = relay.step(ms(now), Input::Overview(ms(now), overview(1, 1)));
        answered_at.extend(answers.iter().map(|_| now));
        if now == 1_000 {
            for gateway in 0..300 {
                let report = report(&format!("g{gateway}"), (1, 1), 0);
                let answers = relay.step(ms(now), Input::Report(gateway, report));
                assert!(answers.is_empty(), "a report with current data was not held");
            }
        }
    }
    assert_eq!(answered_at.len(), 300);
    let latest = answered_at.iter().max().unwrap() - 1_000;
    assert!(latest < REPORT_TIMEOUT_MS / 2 + 50, "answered after {latest} ms");
}

/// Report of a gateway that helps others at `helper_address`, if it does.
fn helper_report(gateway: &str, helper_address: Option<&str>, helpers: u64) -> Box<Report> {
    Box::new(Report {
        place: Place {
            zone: "z".to_owned(),
            region: String::new(),
        },
        helper_address: helper_address.map(str::to_owned),
        helpers,
        ..*report(gateway, (0, 0), 0)
    })
}

/// Overview of a leader in `term` with this list of helpers.
fn overview_with(term: u64, helpers: Option<Helpers>) -> Box<Overview> {
    Box::new(Overview {
        helpers,
        ..*overview(term, 1)
    })
}

fn helper(address: &str) -> Helper {
    Helper {
        address: address.to_owned(),
        zone: "z".to_owned(),
        region: String::new(),
    }
}

#[test]
fn helpers_go_up_when_they_change_and_again_to_a_new_leader() {
    let mut relay = relay("c1");
    relay.step(
        ms(0),
        Input::Report(1, helper_report("g1", Some("10.0.0.1:1"), 0)),
    );
    assert_eq!(relay.digest(ms(10)).own_helpers, Some(vec![helper("10.0.0.1:1")]));
    relay.step(ms(20), Input::Overview(ms(10), overview_with(1, None)));
    assert_eq!(relay.digest(ms(30)).own_helpers, None, "the leader has them");
    relay.step(ms(40), Input::Overview(ms(30), overview_with(2, None)));
    assert_eq!(
        relay.digest(ms(50)).own_helpers,
        Some(vec![helper("10.0.0.1:1")]),
        "a new leader"
    );
    relay.step(ms(60), Input::DigestLost);
    assert_eq!(
        relay.digest(ms(70)).own_helpers,
        Some(vec![helper("10.0.0.1:1")]),
        "a lost digest"
    );
    relay.step(ms(80), Input::Overview(ms(70), overview_with(2, None)));
    // The gateway is partitioned now.
    relay.step(ms(90), Input::Report(2, helper_report("g1", None, 0)));
    assert_eq!(relay.digest(ms(100)).own_helpers, Some(Vec::new()));
}

#[test]
fn a_silent_gateway_is_no_helper() {
    let mut relay = relay("c1");
    relay.step(
        ms(0),
        Input::Report(1, helper_report("g1", Some("10.0.0.1:1"), 0)),
    );
    relay.digest(ms(10));
    relay.step(ms(20), Input::Overview(ms(10), overview_with(1, None)));
    assert_eq!(relay.digest(ms(2_000)).own_helpers, Some(Vec::new()));
}

#[test]
fn a_gateway_gets_other_helpers_when_the_list_has_changed() {
    let mut relay = relay("c1");
    let helpers = Helpers::new([helper("10.0.0.1:1"), helper("10.0.0.2:1")]);
    relay.step(
        ms(0),
        Input::Overview(ms(0), overview_with(1, Some(helpers.clone()))),
    );
    let own = Some("10.0.0.1:1");
    let answers = relay.step(ms(1), Input::Report(1, helper_report("g1", own, 0)));
    let Some((_, Answer::Overview(answer))) = answers.into_iter().next() else {
        panic!("no overview");
    };
    let named = answer.helpers.unwrap();
    assert_eq!(named.revision, helpers.revision);
    assert_eq!(named.list, [helper("10.0.0.2:1")]);
    let answers = relay.step(
        ms(200),
        Input::Report(2, helper_report("g1", own, helpers.revision)),
    );
    let Some((_, Answer::Overview(answer))) = answers.into_iter().next() else {
        panic!("no overview");
    };
    assert_eq!(answer.helpers, None);
}

#[test]
fn messages_of_the_version_before_helpers_are_read() {
    let without = |mut value: serde_json::Value, names: &[&str]| {
        let fields = value.as_object_mut().unwrap();
        names.iter().for_each(|name| drop(fields.remove(*name)));
        value
    };
    let report = serde_json::to_value(Report::default()).unwrap();
    let report = without(report, &["place", "helper_address", "helpers"]);
    let report: Report = serde_json::from_value(report).unwrap();
    assert_eq!((report.helper_address, report.helpers), (None, 0));
    let digest = serde_json::to_value(Digest::default()).unwrap();
    let digest = without(digest, &["own_helpers", "helpers"]);
    let digest: Digest = serde_json::from_value(digest).unwrap();
    assert_eq!((digest.own_helpers, digest.helpers), (None, 0));
    let overview = serde_json::to_value(Overview::default()).unwrap();
    assert!(!overview.as_object().unwrap().contains_key("helpers"));
    let overview: Overview = serde_json::from_value(overview).unwrap();
    assert_eq!(overview.helpers, None);
}
