//! Evidence against prompt parts and the decision on it.
//!
//! Each failure that is tested here would either let a bad part go on ending upstreams, or refuse the
//! sound requests of many callers for a part that ended none.

mod incidents;

use std::collections::BTreeMap;

use heatherramp::domain::quarantine::Attribution;
use heatherramp::domain::quarantine::Crash;
use heatherramp::domain::quarantine::Evidence;
use proptest::prelude::*;

use incidents::attribution_after;
use incidents::crash;
use incidents::crashes;
use incidents::ms;
use incidents::sound;

/// Time after which all gateways have answered what the leader asked about the latest crash.
const ANSWERED_MS: u64 = 500;

fn sorted(mut parts: Vec<String>) -> Vec<String> {
    parts.sort();
    parts
}

#[test]
fn a_part_is_a_culprit_from_three_crashes_on_and_not_before() {
    let bad: &[&[&str]] = &[&["first", "bad"]];
    let two = attribution_after(&[(0, bad), (1_000, bad)]);
    assert!(
        two.culprits(ms(5_000)).is_empty(),
        "quarantined after two crashes"
    );
    let three = attribution_after(&[(0, bad), (1_000, bad), (2_000, bad)]);
    assert_eq!(three.culprits(ms(2_000)), ["bad"]);
}

#[test]
fn the_first_part_of_all_prompts_is_not_quarantined_with_the_bad_one_when_it_runs_soundly_in_between() {
    let mut attribution = Attribution::default();
    for i in 0..20u64 {
        let target = format!("t{i}");
        attribution.record(
            ms(i * 600),
            &crashes(vec![crash(&target, 1, &["first", "bad", "rest"])]),
        );
        attribution.record(ms(i * 600 + 100), &sound(&["first", "rest"]));
    }
    assert_eq!(attribution.culprits(ms(20_000)), ["bad"]);
}

#[test]
fn the_first_part_of_all_prompts_is_not_quarantined_when_its_last_sound_run_was_before_the_crashes() {
    let mut attribution = Attribution::default();
    attribution.record(ms(0), &sound(&["first"]));
    for i in 1..=4u64 {
        attribution.record(
            ms(i * 1_000),
            &crashes(vec![crash(&format!("t{i}"), 1, &["first", "a-bad"])]),
        );
    }
    assert_eq!(attribution.culprits(ms(9_000)), ["a-bad"]);
}

#[test]
fn the_first_part_of_all_prompts_is_not_quarantined_after_a_restart_of_everything_without_sound_runs() {
    let request: &[&[&str]] = &[&["first", "z-bad"], &["first"], &["first", "other"]];
    let attribution = attribution_after(&[(0, request), (700, request), (1_400, &[&["first", "z-bad"]])]);
    assert_eq!(attribution.culprits(ms(5_000)), ["z-bad"]);
}

#[test]
fn the_bad_part_may_be_the_first_one() {
    let attribution = attribution_after(&[
        (0, &[&["bad", "x"]]),
        (1_000, &[&["bad", "y"]]),
        (2_000, &[&["bad", "z"]]),
    ]);
    assert_eq!(attribution.culprits(ms(5_000)), ["bad"]);
}

#[test]
fn of_parts_in_the_same_crashes_the_one_that_ran_soundly_last_is_not_quarantined() {
    let mut attribution = Attribution::default();
    let evidence = Evidence {
        sound: BTreeMap::from([("bad".to_owned(), 30_000), ("another".to_owned(), 100)]),
        ..Evidence::default()
    };
    attribution.record(ms(60_000), &evidence);
    for i in 0..3u64 {
        let crashed = crash(&format!("t{i}"), 1, &["bad", "another"]);
        attribution.record(ms(61_000 + i * 600), &crashes(vec![crashed]));
    }
    assert_eq!(attribution.culprits(ms(65_000)), ["bad"]);
}

#[test]
fn bystanders_in_many_crashes_are_not_quarantined_with_the_bad_part() {
    // The bystander is in five of the six crashes, and never runs to its first events.
    let both: &[&[&str]] = &[&["first", "bad"], &["first", "a-bystander"]];
    let attribution = attribution_after(&[
        (0, both),
        (1_000, both),
        (2_000, &[&["first", "bad"]]),
        (3_000, both),
        (4_000, both),
        (5_000, both),
    ]);
    assert_eq!(attribution.culprits(ms(9_000)), ["bad"]);
}

#[test]
fn the_asked_sound_run_of_a_bystander_decides_between_it_and_the_bad_part() {
    // In the same crashes, at the same place and with the lower name: only sound runs tell them apart.
    let both: &[&[&str]] = &[&["first", "bad"], &["first", "another"]];
    let mut attribution = attribution_after(&[(0, both), (300, both)]);
    assert_eq!(attribution.suspects(ms(400)), ["another", "bad", "first"]);
    attribution.record(ms(450), &sound(&["another", "first"]));
    attribution.record(ms(600), &crashes(vec![crash("t9", 1, &["first", "bad"])]));
    attribution.record(ms(600), &crashes(vec![crash("t9", 1, &["first", "another"])]));
    assert_eq!(attribution.culprits(ms(5_000)), ["bad"]);
}

#[test]
fn one_outage_of_an_availability_zone_quarantines_nothing() {
    let mut attribution = Attribution::default();
    for i in 0..40u64 {
        let evidence = crashes(vec![crash(&format!("t{i}"), 1, &["first", "hot", "hotter"])]);
        attribution.record(ms(10_000 + i * 6), &evidence);
    }
    for now in [10_300, 11_000, 15_000] {
        assert!(
            attribution.culprits(ms(now)).is_empty(),
            "an outage quarantined a part"
        );
    }
}

#[test]
fn crashes_at_a_steady_rate_are_not_taken_for_one_outage() {
    let mut attribution = Attribution::default();
    for i in 0..8u64 {
        attribution.record(
            ms(i * 100),
            &crashes(vec![crash(&format!("t{i}"), 1, &["first", "bad"])]),
        );
    }
    assert_eq!(attribution.culprits(ms(800)), ["bad"]);
}

#[test]
fn nothing_is_quarantined_before_gateways_were_asked_for_sound_runs() {
    // A new leader hears of all the crashes of the last seconds at once.
    let mut attribution = Attribution::default();
    let old = |target: &str, age_ms| Crash {
        age_ms,
        ..crash(target, 1, &["first"])
    };
    attribution.record(
        ms(0),
        &crashes(vec![old("a", 4_000), old("b", 2_500), old("c", 1_000)]),
    );
    assert_eq!(attribution.suspects(ms(0)), ["first"]);
    assert!(
        attribution.culprits(ms(ANSWERED_MS - 1)).is_empty(),
        "quarantined unasked"
    );
    let mut unasked = attribution.clone();
    let evidence = Evidence {
        sound: BTreeMap::from([("first".to_owned(), 500)]),
        ..Evidence::default()
    };
    unasked.record(ms(200), &evidence);
    assert!(
        unasked.culprits(ms(9_000)).is_empty(),
        "quarantined against a sound run"
    );
    assert_eq!(attribution.culprits(ms(ANSWERED_MS)), ["first"]);
}

#[test]
fn a_part_of_one_earlier_crash_that_was_not_asked_about_is_not_quarantined_unasked() {
    let mut attribution = Attribution::default();
    // Parts of the next crash, and only some of them are asked about.
    let many: Vec<String> = (0..40).map(|i| format!("a{i}")).collect();
    let mut crowd = crash("t0", 1, &["z"]);
    crowd.parts.extend(many);
    attribution.record(ms(0), &crashes(vec![crowd]));
    assert!(!attribution.suspects(ms(0)).contains(&"z".to_owned()));
    attribution.record(ms(60_000), &crashes(vec![crash("t1", 1, &["z"])]));
    assert_eq!(attribution.suspects(ms(60_000))[0], "z");
    attribution.record(ms(60_300), &crashes(vec![crash("t2", 1, &["z"])]));
    assert!(attribution.culprits(ms(60_300)).is_empty(), "quarantined unasked");
    assert_eq!(attribution.culprits(ms(60_000 + ANSWERED_MS)), ["z"]);
}

#[test]
fn a_run_before_the_start_of_the_leaders_process_clears_no_later_crash() {
    let mut attribution = Attribution::default();
    let old = |target: &str, age_ms| Crash {
        age_ms,
        ..crash(target, 1, &["first", "bad"])
    };
    attribution.record(
        ms(100),
        &crashes(vec![old("a", 4_000), old("b", 3_000), old("c", 2_000)]),
    );
    let evidence = Evidence {
        sound: BTreeMap::from([("bad".to_owned(), 4_500), ("first".to_owned(), 1_500)]),
        ..Evidence::default()
    };
    attribution.record(ms(100), &evidence);
    assert_eq!(attribution.culprits(ms(900)), ["bad"]);
}

#[test]
fn many_ordinary_crashes_quarantine_no_part_that_also_runs_soundly() {
    let mut attribution = Attribution::default();
    for i in 0..400u64 {
        let (at, own) = (i * 350, format!("p{}", i % 7));
        let parts = ["first", "second", own.as_str()];
        attribution.record(ms(at), &crashes(vec![crash(&format!("t{}", i % 6), i, &parts)]));
        attribution.record(ms(at + 90), &sound(&parts));
        assert!(
            attribution.culprits(ms(at + 90)).is_empty(),
            "quarantined at crash {i}"
        );
        attribution.expire(ms(at));
    }
}

#[test]
fn a_sound_run_after_the_quarantine_releases_the_part() {
    let bad: &[&[&str]] = &[&["first", "bad"]];
    let mut attribution = attribution_after(&[(0, bad), (1_000, bad), (2_000, bad)]);
    assert_eq!(attribution.culprits(ms(3_000)), ["bad"]);
    assert!(!attribution.has_run_since("bad", ms(0)));
    attribution.record(ms(4_000), &sound(&["bad", "first"]));
    assert!(attribution.culprits(ms(4_000)).is_empty());
    assert!(attribution.has_run_since("bad", ms(3_500)));
}

#[test]
fn without_known_crashes_only_a_run_since_the_quarantine_excuses() {
    let mut attribution = Attribution::default();
    attribution.record(ms(4_000), &sound(&["bad"]));
    assert!(!attribution.has_run_since("bad", ms(4_000)));
    assert!(attribution.has_run_since("bad", ms(3_999)));
    assert!(!attribution.has_run_since("unknown", ms(0)));
}

#[test]
fn two_bad_parts_at_the_same_time_are_both_quarantined_and_not_their_common_first_part() {
    let (one, two): (&[&[&str]], &[&[&str]]) = (&[&["first", "bad"]], &[&["first", "worse"]]);
    let mut attribution = Attribution::default();
    attribution.record(ms(0), &sound(&["first"]));
    for (i, requests) in [one, two, one, two, one, two].iter().enumerate() {
        let crashed = requests.iter().map(|parts| crash(&format!("t{i}"), 1, parts));
        attribution.record(ms(400 + 400 * i as u64), &crashes(crashed.collect()));
    }
    assert_eq!(sorted(attribution.culprits(ms(5_000))), ["bad", "worse"]);
}

#[test]
fn two_bad_parts_after_a_restart_are_both_quarantined_once_their_common_first_part_has_run() {
    let (one, two): (&[&[&str]], &[&[&str]]) = (&[&["first", "bad"]], &[&["first", "worse"]]);
    let mut attribution = attribution_after(&[
        (0, one),
        (400, two),
        (800, one),
        (1_200, two),
        (1_600, one),
        (2_000, two),
    ]);
    attribution.record(ms(2_100), &sound(&["first"]));
    assert_eq!(sorted(attribution.culprits(ms(2_100))), ["bad", "worse"]);
}

#[test]
fn a_crash_that_is_reported_many_times_and_by_several_gateways_counts_once() {
    let mut attribution = Attribution::default();
    for report in 0..100u64 {
        let age_ms = report * 40;
        let of_gateway = |extra: &str| Crash {
            age_ms,
            ..crash("t", 1, &["first", "bad", extra])
        };
        let evidence = crashes(vec![of_gateway("x"), of_gateway("y")]);
        let is_new = attribution.record(ms(1_000 + age_ms), &evidence);
        assert_eq!(is_new, report == 0, "a repeated report counts as new evidence");
    }
    assert!(
        attribution.culprits(ms(6_000)).is_empty(),
        "one crash counts several times"
    );
    assert_eq!(attribution.targets("bad"), ["t"]);
}

/// Evidence with the times at which it arrives.
fn arrivals() -> impl Strategy<Value = Vec<(u64, Evidence)>> {
    let part = || (0u8..6).prop_map(|p| format!("p{p}"));
    let crash = (
        0u8..8,
        0u64..2,
        proptest::collection::vec(part(), 1..4),
        0u64..4_000,
    );
    let crash = crash.prop_map(|(target, incarnation, parts, age_ms)| Crash {
        target: format!("t{target}"),
        incarnation,
        parts,
        age_ms,
        sent_age_ms: None,
    });
    let sound = proptest::collection::btree_map(part(), 0u64..4_000, 0..3);
    let evidence = (proptest::collection::vec(crash, 0..3), sound);
    let evidence = evidence.prop_map(|(crashes, sound)| Evidence {
        crashes,
        sound,
        ..Evidence::default()
    });
    proptest::collection::vec((5_000u64..12_000, evidence), 1..25)
}

proptest! {
    #[test]
    fn the_order_in_which_reports_arrive_does_not_matter(
        (reports, shuffled) in arrivals().prop_flat_map(|a| (Just(a.clone()), Just(a).prop_shuffle())),
    ) {
        let attribution_of = |reports: &[(u64, Evidence)]| {
            let mut attribution = Attribution::default();
            for (at, evidence) in reports {
                attribution.record(ms(*at), evidence);
            }
            attribution
        };
        let (mut one, mut two) = (attribution_of(&reports), attribution_of(&shuffled));
        for now in [12_000, 12_300, 13_000] {
            prop_assert_eq!(one.culprits(ms(now)), two.culprits(ms(now)));
            prop_assert_eq!(one.suspects(ms(now)), two.suspects(ms(now)));
        }
    }

    #[test]
    fn a_part_with_a_sound_run_after_its_last_crash_is_never_a_culprit(reports in arrivals(), part in 0u8..6) {
        let part = format!("p{part}");
        let mut attribution = Attribution::default();
        for (at, evidence) in &reports {
            attribution.record(ms(*at), evidence);
        }
        attribution.record(ms(12_001), &sound(&[part.as_str()]));
        prop_assert!(!attribution.culprits(ms(13_000)).contains(&part));
        prop_assert!(!attribution.suspects(ms(13_000)).contains(&part));
        prop_assert!(attribution.has_run_since(&part, ms(0)));
    }

    #[test]
    fn evidence_that_is_not_new_changes_no_decision(reports in arrivals(), now in 12_600u64..14_000) {
        let mut attribution = Attribution::default();
        for (at, evidence) in &reports {
            let before = attribution.culprits(ms(now));
            if !attribution.record(ms(*at), evidence) {
                prop_assert_eq!(attribution.culprits(ms(now)), before);
            }
        }
    }
}
