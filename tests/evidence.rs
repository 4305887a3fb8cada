//! Evidence against prompt parts, as a gateway collects it, a relay sums it up and the leader keeps it.
//!
//! Each failure that is tested here would lose crashes that a bad part has caused, or let the evidence
//! grow without limit.

mod incidents;

use std::collections::BTreeMap;

use heatherramp::domain::quarantine::Attribution;
use heatherramp::domain::quarantine::Crash;
use heatherramp::domain::quarantine::Evidence;
use heatherramp::domain::quarantine::Observations;

use incidents::attribution_after;
use incidents::crash;
use incidents::crashes;
use incidents::ms;
use incidents::sound;
use incidents::strings;

#[test]
fn crashes_that_different_gateways_saw_add_up() {
    let mut observations = [
        Observations::default(),
        Observations::default(),
        Observations::default(),
    ];
    let mut attribution = Attribution::default();
    for (i, observations) in observations.iter_mut().enumerate() {
        let at = ms(i as u64 * 500);
        observations.record_crash(at, at, &format!("t{i}"), 1, &strings(&["first", "bad"]));
    }
    let evidence: Vec<Evidence> = observations.iter().map(|w| w.evidence(ms(1_500), &[])).collect();
    let merged = Evidence::merged(evidence.iter().map(|e| (e, ms(20))));
    attribution.record(ms(9_020), &merged);
    assert_eq!(attribution.culprits(ms(9_520)), ["bad"]);
    assert_eq!(attribution.latest_crash("bad"), Some(ms(8_500)));
}

#[test]
fn merged_evidence_has_the_time_since_reports_arrived_and_the_latest_sound_run() {
    let evidence = |crash_age_ms, sound_age_ms| Evidence {
        crashes: vec![Crash {
            age_ms: crash_age_ms,
            ..crash("t", 1, &["first"])
        }],
        sound: BTreeMap::from([("first".to_owned(), sound_age_ms)]),
        ..Evidence::default()
    };
    let (one, two, stale) = (evidence(100, 900), evidence(300, 50), evidence(4_900, 5_000));
    let merged = Evidence::merged([(&one, ms(10)), (&two, ms(200)), (&stale, ms(101))]);
    assert_eq!(merged, evidence(500, 250));
    let merged = Evidence::merged([(&two, ms(200)), (&one, ms(10))]);
    assert_eq!(merged, evidence(500, 250), "the last report replaces the others");
}

#[test]
fn merged_evidence_of_many_crashes_keeps_the_youngest() {
    let crashed = (0..1_000u64).map(|i| Crash {
        age_ms: i,
        ..crash(&format!("t{i}"), 1, &["first"])
    });
    let evidence = crashes(crashed.collect());
    let merged = Evidence::merged([(&evidence, ms(0))]);
    assert_eq!(merged.crashes.len(), 512);
    assert!(merged.crashes.iter().all(|c| c.age_ms < 512));
}

#[test]
fn a_gateway_reports_a_crash_for_five_seconds_with_its_age() {
    let mut observations = Observations::default();
    observations.record_crash(ms(1_000), ms(1_000), "t", 7, &strings(&["first", "bad"]));
    observations.record_crash(ms(1_100), ms(1_100), "t", 7, &strings(&["first"]));
    let evidence = observations.evidence(ms(3_000), &[]);
    let expected = Crash {
        age_ms: 2_000,
        sent_age_ms: Some(2_000),
        ..crash("t", 7, &["first", "bad"])
    };
    assert_eq!(evidence.crashes, [expected]);
    assert_eq!(observations.evidence(ms(6_000), &[]).crashes.len(), 1);
    assert!(observations.evidence(ms(6_001), &[]).crashes.is_empty());
}

#[test]
fn a_gateway_reports_sound_runs_only_of_the_parts_that_it_is_asked_about() {
    let mut observations = Observations::default();
    observations.record_sound(ms(1_000), strings(&["first", "other"]));
    observations.record_sound(ms(1_500), strings(&["first"]));
    let evidence = observations.evidence(ms(2_000), &strings(&["first", "unknown"]));
    assert_eq!(evidence.sound, BTreeMap::from([("first".to_owned(), 500)]));
}

#[test]
fn a_gateway_keeps_the_parts_that_ran_last_and_a_bounded_number() {
    let mut observations = Observations::default();
    let all: Vec<String> = (0..200_000).map(|i| format!("p{i}")).collect();
    for (i, part) in all.iter().enumerate() {
        let parts = ["first".to_owned(), part.clone()];
        observations.record_sound(ms(i as u64), &parts);
    }
    let known = observations.evidence(ms(200_000), &all).sound;
    assert!((32_000..=65_536).contains(&known.len()), "{} parts", known.len());
    assert!(all[168_000..].iter().all(|part| known.contains_key(part)));
    assert_eq!(
        observations.evidence(ms(200_000), &strings(&["first"])).sound["first"],
        1
    );
}

#[test]
fn a_crash_with_many_requests_does_not_displace_the_crashes_of_other_targets() {
    let mut observations = Observations::default();
    observations.record_crash(ms(0), ms(0), "one", 1, &strings(&["first", "bad"]));
    for i in 0..200 {
        observations.record_crash(ms(10), ms(10), "many", 1, &["first".to_owned(), format!("p{i}")]);
    }
    observations.record_crash(ms(20), ms(20), "two", 1, &strings(&["first", "bad"]));
    let evidence = observations.evidence(ms(20), &[]);
    assert_eq!(evidence.crashes.len(), 64);
    for target in ["one", "two"] {
        let count = evidence.crashes.iter().filter(|c| c.target == target).count();
        assert_eq!(count, 1, "the crash of {target}");
    }
}

#[test]
fn crashes_expire_after_five_minutes() {
    let bad: &[&[&str]] = &[&["first", "bad"]];
    let mut attribution = attribution_after(&[(0, bad), (1_000, bad), (2_000, bad)]);
    attribution.expire(ms(300_000));
    assert_eq!(attribution.culprits(ms(300_000)), ["bad"]);
    attribution.expire(ms(300_001));
    assert!(attribution.culprits(ms(300_001)).is_empty());
    let ancient = Crash {
        age_ms: 300_001,
        ..crash("t9", 1, &["bad"])
    };
    attribution.record(ms(300_001), &crashes(vec![ancient]));
    assert!(
        attribution.culprits(ms(301_000)).is_empty(),
        "an expired crash came back"
    );
    attribution.expire(ms(400_000));
    assert!(attribution.is_empty());
}

#[test]
fn the_leader_keeps_the_latest_incidents_and_asks_about_few_parts() {
    let mut attribution = Attribution::default();
    for i in 0..2_000u64 {
        let parts: Vec<String> = (0..64).map(|p| format!("p{p}-{i}")).collect();
        let mut crashed = crash(&format!("t{i}"), 1, &[]);
        crashed.parts = parts;
        attribution.record(ms(i * 10), &crashes(vec![crashed]));
    }
    let known = |i: u64| !attribution.targets(&format!("p0-{i}")).is_empty();
    assert!(known(1_999) && known(1_488) && !known(1_487));
    assert_eq!(attribution.targets("p63-1999"), ["t1999"], "a part is left out");
    assert_eq!(attribution.suspects(ms(20_000)).len(), 32);
    assert!(attribution.culprits(ms(30_000)).is_empty());
}

#[test]
fn the_leader_keeps_a_bounded_number_of_marks() {
    let mut attribution = Attribution::default();
    for i in 0..100u64 {
        let mut crashed = crash(&format!("t{i}"), 1, &[]);
        crashed.parts = (0..4_000).map(|p| format!("p{p}-{i}")).collect();
        attribution.record(ms(i * 1_000), &crashes(vec![crashed]));
    }
    assert!(attribution.marks() <= 32_768, "{} marks", attribution.marks());
    assert_eq!(attribution.targets("p3999-99"), ["t99"], "the latest is dropped");
    let mut observations = Observations::default();
    for i in 0..60u64 {
        let parts: Vec<String> = (0..4_000).map(|p| format!("p{p}-{i}")).collect();
        observations.record_crash(ms(i), ms(i), &format!("t{i}"), 1, &parts);
    }
    let reported = observations.evidence(ms(100), &[]).crashes;
    let marks: usize = reported.iter().map(|c| c.parts.len()).sum();
    assert!((1..=16_384).contains(&marks), "{marks} marks");
    assert_eq!(reported.last().map(|c| c.target.as_str()), Some("t59"));
}

/// Plays crashes of targets by requests whose prompts hold `parts` parts beside the bad one, while requests with the
/// same parts run soundly; gateways answer what they are asked about. Returns the number of crashes until there is a
/// culprit, and checks which one it is.
fn crashes_until_found(parts: usize) -> usize {
    let shared: Vec<String> = (0..parts).map(|i| format!("c{i:04}")).collect();
    let mut prompt = shared.clone();
    prompt.insert(parts * 7 / 8, "bad".to_owned());
    let mut attribution = Attribution::default();
    let mut asked = Vec::new();
    let mut now = 0;
    for crashed in 1..=12 {
        let target = format!("t{crashed}");
        let crash = Crash {
            parts: prompt.clone(),
            ..crash(&target, 1, &[])
        };
        attribution.record(ms(now), &crashes(vec![crash]));
        for _ in 0..40 {
            now += 50;
            let answered = asked.iter().filter(|part: &&String| *part != "bad");
            let answered: Vec<&str> = answered.map(String::as_str).collect();
            attribution.record(ms(now), &sound(&answered));
            let culprits = attribution.culprits(ms(now));
            if !culprits.is_empty() {
                assert_eq!(culprits, ["bad"], "{parts} parts");
                return crashed;
            }
            asked = attribution.suspects(ms(now));
            assert!(asked.len() <= 128, "{} suspects", asked.len());
        }
    }
    panic!("no culprit among {parts} parts");
}

/// Guards against parts behind the first ones of long prompts, which were not read, not kept or not asked about.
#[test]
fn a_bad_part_is_found_among_many_parts() {
    for parts in [4, 40, 127, 128, 300, 1_200] {
        let crashes = crashes_until_found(parts);
        assert!(crashes <= 5, "{crashes} crashes, {parts} parts");
    }
}

#[test]
fn the_parts_in_most_crashes_are_asked_about_first() {
    let mut attribution = Attribution::default();
    for i in 0..40u64 {
        let own = format!("a{i}");
        attribution.record(
            ms(i * 1_000),
            &crashes(vec![crash(&format!("t{i}"), 1, &["first", &own, "z-bad"])]),
        );
    }
    assert_eq!(attribution.suspects(ms(40_000))[..2], ["first", "z-bad"]);
    attribution.record(ms(41_000), &sound(&["first"]));
    let suspects = attribution.suspects(ms(41_000));
    assert_eq!(suspects[0], "z-bad");
    assert!(
        !suspects.contains(&"first".to_owned()),
        "an cleared part is asked about"
    );
}

#[test]
fn a_crash_that_another_gateway_saw_earlier_counts_from_then() {
    let mut attribution = Attribution::default();
    attribution.record(ms(5_000), &crashes(vec![crash("t", 1, &["first"])]));
    let earlier = Crash {
        age_ms: 400,
        ..crash("t", 1, &["first"])
    };
    assert!(
        attribution.record(ms(5_200), &crashes(vec![earlier])),
        "not taken for new evidence"
    );
    assert_eq!(attribution.latest_crash("first"), Some(ms(4_800)));
}
