//! Evidence against requests, by their fingerprints, and the decision on it.

mod incidents;

use std::time::Duration;

use heatherramp::domain::fleet::Command;
use heatherramp::domain::quarantine::Attribution;
use heatherramp::domain::quarantine::Crash;
use heatherramp::domain::quarantine::Evidence;
use heatherramp::domain::quarantine::Observations;
use heatherramp::domain::quarantine::fingerprint;
use heatherramp::domain::quarantine::is_fingerprint;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use incidents::crash;
use incidents::crashes;
use incidents::ms;
use incidents::strings;

/// Time after which gateways have been asked for sound runs, with room for reports.
const ASKED: Duration = Duration::from_millis(600);

fn bad() -> String {
    fingerprint("/lookup/bad", Some("account"), b"body")
}

fn bystander(number: u64) -> String {
    fingerprint(&format!("/lookup/{number}"), Some("account"), b"body")
}

/// Crash at `at` of a target with these requests in progress, each with its time of sending.
fn record(attribution: &mut Attribution, at: u64, target: &str, requests: &[(&str, u64)]) {
    let crashed = requests.iter().map(|(mark, sent)| Crash {
        sent_age_ms: Some(at - sent),
        ..crash(target, 1, &[mark])
    });
    attribution.record(ms(at), &crashes(crashed.collect()));
}

#[test]
fn a_fingerprint_tells_path_account_and_body_apart() {
    let all = [
        fingerprint("/a/b", Some("account"), b"body"),
        fingerprint("/a/c", Some("account"), b"body"),
        fingerprint("/a/b", Some("other"), b"body"),
        fingerprint("/a/b", None, b"body"),
        fingerprint("/a/b", Some("account"), b""),
        fingerprint("/a/bacc", Some("ount"), b"body"),
        fingerprint("/a/b", Some("accountbo"), b"dy"),
    ];
    for (i, one) in all.iter().enumerate() {
        assert!(is_fingerprint(one));
        assert!(
            !all[i + 1..].contains(one),
            "two requests have the same fingerprint"
        );
    }
    assert_eq!(all[0], fingerprint("/a/b", Some("account"), b"body"));
    assert!(!is_fingerprint("5c1e07a2"));
}

#[test]
fn a_request_that_crashes_three_targets_within_a_moment_one_after_the_other_is_a_culprit() {
    let (bad, mut attribution) = (bad(), Attribution::default());
    for (target, at) in [("a", 1_000), ("b", 1_080), ("c", 1_160)] {
        record(&mut attribution, at, target, &[(&bad, at - 70)]);
    }
    assert_eq!(attribution.culprits(ms(1_160) + ASKED), [bad]);
}

#[test]
fn a_request_in_progress_at_all_targets_of_one_outage_is_no_culprit() {
    let (hot, mut attribution) = (bad(), Attribution::default());
    for (i, target) in ["a", "b", "c", "d"].iter().enumerate() {
        let at = 1_000 + 20 * i as u64;
        record(&mut attribution, at, target, &[(&hot, 950)]);
    }
    assert!(attribution.culprits(ms(1_100) + ASKED).is_empty());
}

#[test]
fn a_request_that_runs_soundly_in_between_is_no_culprit() {
    let (hot, mut attribution) = (bad(), Attribution::default());
    for (target, at) in [("a", 1_000), ("b", 2_000), ("c", 3_000), ("d", 4_000)] {
        record(&mut attribution, at, target, &[(&hot, at - 10)]);
        attribution.record(ms(at + 100), &incidents::sound(&[&hot]));
    }
    assert!(attribution.culprits(ms(5_000) + ASKED).is_empty());
}

#[test]
fn a_bystander_that_was_taken_for_the_culprit_is_exonerated_by_the_next_crash() {
    let (bad, bystander, mut attribution) = (bad(), bystander(1), Attribution::default());
    for (target, at) in [("a", 1_000), ("b", 2_000), ("c", 3_000)] {
        record(
            &mut attribution,
            at,
            target,
            &[(&bad, at - 50), (&bystander, at - 40)],
        );
    }
    assert_eq!(
        attribution.culprits(ms(3_000) + ASKED).len(),
        1,
        "one explains all"
    );
    record(&mut attribution, 4_000, "d", &[(&bad, 3_950)]);
    let culprits = attribution.culprits(ms(4_000) + ASKED);
    assert_eq!(culprits, std::slice::from_ref(&bad));
    assert!(attribution.is_exonerated(&bystander, &culprits));
    assert!(!attribution.is_exonerated(&bad, &culprits));
    let unknown = fingerprint("/unknown", None, b"");
    assert!(
        !attribution.is_exonerated(&unknown, &culprits),
        "a new leader, which has no evidence, exonerates nothing"
    );
}

/// Gateways learn of a new incarnation at different times, so a crash may be reported for two incarnations, and the
/// culprit be missing in one of them. A bystander that is refused never runs, so nothing else would release it.
#[test]
fn a_bystander_is_exonerated_although_one_of_its_crashes_was_reported_without_the_culprit() {
    let (bad, bystander, mut attribution) = (bad(), bystander(1), Attribution::default());
    for (target, at) in [("a", 1_000), ("b", 2_000)] {
        let both = [(bad.as_str(), at - 50), (bystander.as_str(), at - 40)];
        record(&mut attribution, at, target, &both);
    }
    record(&mut attribution, 3_000, "c", &[(&bystander, 2_960)]);
    assert_eq!(
        attribution.culprits(ms(3_000) + ASKED),
        std::slice::from_ref(&bystander)
    );
    for (target, at) in [("d", 4_000), ("e", 5_000)] {
        record(&mut attribution, at, target, &[(&bad, at - 50)]);
    }
    let culprits = attribution.culprits(ms(5_000) + ASKED);
    assert_eq!(culprits, std::slice::from_ref(&bad));
    assert!(attribution.is_exonerated(&bystander, &culprits));
}

#[test]
fn two_requests_that_crash_targets_by_themselves_do_not_exonerate_each_other() {
    let (bad, other, mut attribution) = (bad(), bystander(1), Attribution::default());
    for (target, at) in [("a", 1_000), ("b", 2_000), ("c", 3_000), ("d", 4_000)] {
        record(&mut attribution, at, target, &[(&bad, at - 50)]);
    }
    for (target, at) in [("e", 5_000), ("f", 6_000), ("g", 7_000)] {
        record(&mut attribution, at, target, &[(&other, at - 50)]);
    }
    record(&mut attribution, 8_000, "h", &[(&bad, 7_950), (&other, 7_960)]);
    let culprits = attribution.culprits(ms(8_000) + ASKED);
    assert!(culprits.contains(&bad) && culprits.contains(&other));
    assert!(!attribution.is_exonerated(&bad, std::slice::from_ref(&other)));
    assert!(!attribution.is_exonerated(&other, std::slice::from_ref(&bad)));
}

#[test]
fn evidence_of_an_earlier_version_without_times_of_sending_counts() {
    let json = r#"{"crashes":[{"target":"t","incarnation":1,"parts":["bad"],"age_ms":5}],"sound":{}}"#;
    let evidence: Evidence = serde_json::from_str(json).unwrap();
    assert_eq!(evidence.crashes[0].sent_age_ms, None);
}

#[test]
fn fingerprints_of_many_requests_do_not_displace_sound_runs_of_prompt_parts() {
    let mut observations = Observations::default();
    observations.record_sound(ms(0), strings(&["part"]));
    for number in 0..10_000 {
        observations.record_sound(ms(number), &[bystander(number)]);
    }
    let evidence = observations.evidence(ms(10_000), &strings(&["part"]));
    assert_eq!(evidence.sound["part"], 10_000);
    let all: Vec<String> = (0..10_000).map(bystander).collect();
    assert!(observations.evidence(ms(10_000), &all).sound.len() <= 4_096);
}

#[test]
fn a_gateway_reports_a_crash_at_once_and_then_now_and_then() {
    let mut observations = Observations::default();
    observations.record_crash(ms(1_000), ms(900), "t", 1, &[bad()]);
    let reported = |observations: &mut Observations, at| observations.report(ms(at), &[]).crashes.len();
    assert_eq!(reported(&mut observations, 1_010), 1);
    assert_eq!(reported(&mut observations, 1_050), 0);
    observations.record_crash(ms(1_060), ms(900), "u", 1, &[bad()]);
    assert_eq!(reported(&mut observations, 1_090), 2);
    assert_eq!(reported(&mut observations, 1_500), 0);
    assert_eq!(reported(&mut observations, 1_590), 2, "reported again");
    assert_eq!(reported(&mut observations, 7_000), 0, "too old");
}

/// Draws of ordinary crashes, with callers that repeat what has failed: a request is sent to up to two targets in
/// an attempt, and its caller makes two attempts.
fn ordinary_crashes(seed: u64, mean_ms: f64, targets: usize) -> (usize, Vec<String>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut attribution = Attribution::default();
    let mut condemned = Vec::new();
    // End of the run, time of sending, target, sends left, number.
    let mut running: Vec<(u64, u64, usize, u32, u64)> = Vec::new();
    let (mut number, mut crashed) = (0, 0);
    for now in (0..120_000).step_by(10) {
        let ended: Vec<_> = running.extract_if(.., |r| r.0 <= now).collect();
        let marks: Vec<String> = ended.iter().map(|r| bystander(r.4)).collect();
        let sound: Vec<&str> = marks.iter().map(String::as_str).collect();
        if !sound.is_empty() {
            attribution.record(ms(now), &incidents::sound(&sound));
        }
        if rng.random_bool(0.2) {
            number += 1;
            let end = now + rng.random_range(20..300);
            running.push((end, now, rng.random_range(0..targets), 3, number));
        }
        if rng.random_bool(10.0 / mean_ms) {
            crashed += 1;
            let target = rng.random_range(0..targets);
            let lost: Vec<_> = running.extract_if(.., |r| r.2 == target).collect();
            let marks: Vec<(String, u64)> = lost.iter().map(|r| (bystander(r.4), r.1)).collect();
            let requests: Vec<(&str, u64)> = marks.iter().map(|(m, sent)| (m.as_str(), *sent)).collect();
            record(&mut attribution, now, &format!("t{crashed}"), &requests);
            for (_, _, _, left, number) in lost.into_iter().filter(|r| r.3 > 0) {
                let end = now + rng.random_range(20..300);
                running.push((end, now, rng.random_range(0..targets), left - 1, number));
            }
        }
        if now % 500 == 0 {
            attribution.expire(ms(now));
            condemned.extend(attribution.culprits(ms(now)));
        }
    }
    (crashed, condemned)
}

#[test]
fn ordinary_crashes_among_repeated_requests_condemn_none() {
    for seed in 1..=5 {
        let (crashes, condemned) = ordinary_crashes(seed, 900.0, 12);
        assert!(crashes > 100, "{crashes} crashes only");
        assert!(condemned.is_empty(), "seed {seed}: {condemned:?}");
    }
}

#[test]
fn the_quarantine_of_a_request_is_a_command_that_the_version_before_can_decode() {
    let command = Command::Quarantine { part: bad() };
    let json = serde_json::to_value(&command).unwrap();
    assert_eq!(json, serde_json::json!({"Quarantine": {"part": bad()}}));
}
