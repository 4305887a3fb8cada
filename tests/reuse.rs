//! Reuse of prompts: what targets hold, what is learned of engines, and when a holder is preferred.

use std::time::Duration;

use heatherramp::bench::LOADS;
use heatherramp::bench::MEMORY_TOKENS;
use heatherramp::bench::Scenario;
use heatherramp::bench::figures;
use heatherramp::bench::simulate;
use heatherramp::domain::catalog::Route;
use heatherramp::domain::reuse::Candidate;
use heatherramp::domain::reuse::Estimate;
use heatherramp::domain::reuse::Gain;
use heatherramp::domain::reuse::Measurement;
use heatherramp::domain::reuse::Part;
use heatherramp::domain::reuse::Plan;
use heatherramp::domain::reuse::Prefix;
use heatherramp::domain::reuse::Reason;
use heatherramp::domain::reuse::Steering;
use heatherramp::domain::reuse::Summary;
use heatherramp::platform::configuration;
use heatherramp::platform::header;
use heatherramp::standin::BLOCK_TOKENS;
use heatherramp::standin::Cache;
use proptest::prelude::*;

fn parts(ids: &[(&str, u64)]) -> Vec<Part> {
    let part = |(id, tokens): &(&str, u64)| Part {
        id: (*id).to_owned(),
        tokens: *tokens,
    };
    ids.iter().map(part).collect()
}

fn prefix(ids: &[(&str, u64)]) -> Prefix {
    Prefix::new("engine", "large", &parts(ids))
}

fn seconds(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn held(summary: &Summary, now: Duration, prefix: &Prefix) -> u64 {
    summary.holders(now, prefix).get("t").map_or(0, |(_, n)| *n)
}

/// Sends one request for each first-token time to target `t`, and returns the state after it. The first request
/// finds nothing there.
fn learned(prompt: &Prefix, first_ms: impl IntoIterator<Item = f64>) -> Steering {
    let (figures, mut steering) = (figures(), Steering::default());
    for (i, first_ms) in first_ms.into_iter().enumerate() {
        let (now, other) = (Duration::from_millis(i as u64), format!("{i:x}"));
        // Every second request has a prompt of its own.
        let own = prefix(&[(other.as_str(), prompt.tokens())]);
        let prompt = if i % 2 == 0 { prompt } else { &own };
        let plan = steering.plan(now, "e", &figures, prompt, (prompt.tokens(), 100), 0);
        let measurement = Measurement {
            target: "t",
            incarnation: 1,
            load: 0,
            gateways: 1,
            first_token: Some(Duration::from_secs_f64(first_ms / 1_000.0)),
        };
        steering.record(now, "e", &plan, prompt, &measurement);
    }
    steering
}

fn plan(steering: &Steering, prompt: &Prefix) -> Plan {
    let tokens = (prompt.tokens(), 100);
    steering.plan(seconds(1), "e", &figures(), prompt, tokens, 1)
}

fn candidates(holder: u32, others: [u32; 3]) -> Vec<Candidate<'static>> {
    let loads = [holder, others[0], others[1], others[2]];
    let ids = ["t", "a", "b", "c"];
    let pairs = ids.into_iter().zip(loads);
    let to_candidate = |(id, load)| Candidate {
        id,
        incarnation: 1,
        load,
        slots: 26,
    };
    pairs.map(to_candidate).collect()
}

/// Prompts of conversations are read again at each turn if only the load decides, although some engine holds them.
#[test]
fn with_engines_that_retain_prompts_less_is_read_and_answers_begin_sooner() {
    for sessions_per_s in LOADS {
        let [off, on] = [false, true].map(|prompt_reuse| {
            simulate(Scenario {
                seed: 1,
                sessions_per_s,
                retains: true,
                prompt_reuse,
            })
        });
        assert!(on.mean_read() < 0.8 * off.mean_read());
        assert!(on.mean_first_ms() < 0.9 * off.mean_first_ms());
        assert!(on.expected_tokens > off.expected_tokens && on.refused <= off.refused);
    }
}

/// Steering by prompts that are gone would only make the loads uneven.
#[test]
fn with_engines_that_retain_nothing_the_load_decides() {
    let [off, on] = [false, true].map(|prompt_reuse| {
        simulate(Scenario {
            seed: 2,
            sessions_per_s: 8.0,
            retains: false,
            prompt_reuse,
        })
    });
    assert!(
        on.estimates.iter().all(|e| *e == Estimate::Nothing),
        "{:?}",
        on.estimates
    );
    assert!(on.mean_first_ms() < 1.1 * off.mean_first_ms());
    let prompt = prefix(&[("a", 2_000)]);
    let noise = |i: u32| 43.5 + f64::from(i * 7_919 % 13);
    let steering = learned(&prompt, (0..200).map(noise));
    assert_eq!(steering.estimate("e"), Estimate::Nothing);
    let plan = plan(&steering, &prompt);
    assert_eq!(plan.held("t", 1), 2_000);
    assert_eq!(plan.choose(&candidates(0, [0, 0, 0]), 1, 1), 1);
    assert_eq!(plan.reason("t", 1), Reason::Load);
}

/// A holder with more requests may answer later than a target that has to read the prompt.
#[test]
fn a_holder_is_preferred_only_while_the_saving_exceeds_the_wait() {
    let prompt = prefix(&[("a", 512), ("b", 1_500)]);
    let full_ms = figures().prefill_ms(2_012.0);
    let times = (0..100).map(|i| if i % 2 == 0 && i > 0 { 0.0 } else { full_ms });
    let steering = learned(&prompt, times);
    assert!(matches!(steering.estimate("e"), Estimate::Part(part) if part > 0.9));
    let plan = plan(&steering, &prompt);
    assert_eq!(plan.choose(&candidates(1, [1, 0, 1]), 2, 1), 0);
    assert_eq!(plan.reason("t", 1), Reason::Reuse);
    assert_eq!(plan.reason("a", 1), Reason::Wait);
    // Costs by the figures decide first, then the load in comparison with the mean.
    assert_eq!(plan.choose(&candidates(6, [0, 0, 0]), 1, 1), 1);
    assert_eq!(plan.choose(&candidates(20, [12, 13, 12]), 1, 1), 1);
    // A later incarnation has lost its prompts.
    assert_eq!(plan.held("t", 2), 0);
    // A short prompt is not worth the wait for one more request.
    let short = prefix(&[("a", 40)]);
    let plan = Plan::clone(&steering.plan(seconds(1), "e", &figures(), &short, (40, 100), 1));
    assert_eq!(plan.choose(&candidates(1, [0, 0, 0]), 1, 1), 1);
}

/// Each gateway would otherwise send all requests with a shared part to the first target that has read it.
#[test]
fn a_prefix_in_demand_is_spread_before_its_holder_is_overloaded() {
    let prompt = prefix(&[("a", 20_000)]);
    let full_ms = figures().prefill_ms(20_000.0);
    let times = (0..100).map(|i| if i % 2 == 0 && i > 0 { 0.0 } else { full_ms });
    let plan = plan(&learned(&prompt, times), &prompt);
    let mut loads = [0; 4];
    for sent in 1..=80 {
        let candidates = candidates(loads[0], [loads[1], loads[2], loads[3]]);
        let least_loaded = (0..4).min_by_key(|i| loads[*i]).unwrap();
        loads[plan.choose(&candidates, least_loaded, sent)] += 1;
        assert!(
            f64::from(loads[0]) <= (f64::from(sent as u32 + 4) / 4.0 * 1.25).max(6.5),
            "{loads:?}"
        );
    }
    assert!(loads[0] > 20, "{loads:?}");
}

/// Long prompts have more to be reused. If an engine reads twice as fast as its figures say, they are early, too,
/// without any reuse.
#[test]
fn an_engine_that_is_faster_than_its_figures_does_not_seem_to_reuse() {
    let mut gain = Gain::default();
    for i in 0..400 {
        let prefill_ms = f64::from(i * 37 % 100);
        let saving_ms = if i % 3 == 0 { prefill_ms * 0.9 } else { 0.0 };
        gain.record(
            saving_ms,
            prefill_ms,
            -prefill_ms / 2.0 + f64::from(i * 7_919 % 11),
        );
    }
    assert_eq!(gain.estimate(), Estimate::Nothing);
}

/// A prefix that a target has evicted, or that a restart has lost, is read again there.
#[test]
fn a_summary_forgets_what_targets_evict() {
    let mut summary = Summary::default();
    let (first, second) = (prefix(&[("a", 100), ("b", 50)]), prefix(&[("a", 100), ("c", 70)]));
    summary.record(seconds(0), ("t", 1), &first, 10, 1_000);
    assert_eq!(held(&summary, seconds(1), &first), 150);
    assert_eq!(held(&summary, seconds(1), &second), 100);
    let other_weights = Prefix::new("engine", "small", &parts(&[("a", 100)]));
    assert_eq!(held(&summary, seconds(1), &other_weights), 0);
    // 240 tokens with the answers, of which the least recently used 60 are evicted.
    summary.record(seconds(1), ("t", 1), &second, 10, 180);
    assert_eq!(held(&summary, seconds(1), &first), 100);
    assert_eq!(held(&summary, seconds(1), &second), 170);
    assert_eq!(held(&summary, seconds(400), &second), 0);
    summary.record(seconds(2), ("t", 2), &prefix(&[("d", 5)]), 10, 1_000);
    assert_eq!(held(&summary, seconds(2), &second), 0);
    for i in 0..40_000 {
        let id = format!("{i:x}");
        summary.record(
            seconds(3),
            (&id[id.len() - 1..], 1),
            &prefix(&[(&id, 1)]),
            1,
            u64::MAX,
        );
    }
    assert!(summary.entries() <= 16_384);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(21), ..ProptestConfig::default() })]

    /// Running requests whose blocks were evicted would compute wrong answers, and an engine whose retained
    /// prompts are not evicted would admit nothing any more.
    #[test]
    fn blocks_of_running_requests_stay_and_all_others_give_way(
        requests in prop::collection::vec((0..6u64, 1..200usize, 0..60usize, 0..4usize), 1..60),
    ) {
        let mut cache = Cache::new(40 * BLOCK_TOKENS);
        let mut running = Vec::new();
        for (family, length, answer, ended) in requests {
            let prompt: Vec<u64> = (0..length as u64).map(|i| family << 32 | i).collect();
            let text: Vec<u64> = (0..(length + answer) as u64).map(|i| family << 32 | i).collect();
            match cache.admit(&prompt, answer) {
                Some(admission) => {
                    prop_assert!(admission.cached_tokens < length);
                    running.push((admission, text));
                }
                None => prop_assert!(!running.is_empty()),
            }
            prop_assert!(cache.tokens() <= 40 * BLOCK_TOKENS);
            for _ in 0..ended.min(running.len()) {
                let (admission, text) = running.remove(0);
                cache.release(admission, &text);
            }
            if let Some((_, text)) = running.last() {
                let blocks = cache.admit(&text[..1], 0).map(|a| cache.release(a, &[]));
                prop_assert!(blocks.is_some() || cache.tokens() == 40 * BLOCK_TOKENS);
            }
        }
    }

    /// The header comes from callers; no value of it may stop a gateway.
    #[test]
    fn any_prompt_header_is_parsed(value in "[0-9a-f:, x-]{0,200}") {
        let parsed = header::parse_prompt(&value);
        Prefix::new("s", "m", &parsed).tokens();
    }
}

#[test]
fn prompts_are_read_up_to_the_first_part_that_is_not_valid() {
    let parsed = header::parse_prompt("0A:40, b:674");
    assert_eq!(parsed, parts(&[("0a", 40), ("b", 674)]));
    assert_eq!(header::parse_prompt("a:40,b,c:5"), parts(&[("a", 40)]));
    assert_eq!(header::parse_prompt("a:40,zz:7,c:5"), parts(&[("a", 40)]));
    let huge = format!("a:{0},b:{0}", u64::MAX);
    assert_eq!(prefix(&[("a", u64::MAX), ("b", u64::MAX)]).tokens(), 2 << 24);
    assert_eq!(header::parse_prompt(&huge).len(), 2);
    // Quarantine goes by the same identifiers as before.
    let ids: Vec<_> = header::prompt_parts("0A:40, b:674").collect();
    assert_eq!(ids, ["0a"]);
    assert_eq!(
        header::parse_prompt("a:40,,b:5").len(),
        2,
        "an empty entry ends the prompt"
    );
}

/// Controllers and gateways of two builds exchange catalogs during an update.
#[test]
fn routes_of_older_and_newer_builds_read_each_other() {
    let decode = |flag: &str| {
        let document = format!(
            r#"{{"version": 1, "services": [], "routes": [{{"name": "r", "host": "h", "path-prefix": "/",
            "type": "streaming", "timeout-ms": 9, "service": "s"{flag}}}]}}"#
        );
        configuration::decode(document.as_bytes())
            .unwrap()
            .routes
            .remove(0)
    };
    for (flag, is_set) in [
        ("", false),
        ("false", false),
        ("null", false),
        ("true", true),
        ("\"id\"", true),
    ] {
        let field = if flag.is_empty() {
            String::new()
        } else {
            format!(r#", "session-affinity": {flag}"#)
        };
        assert_eq!(decode(&field).session_affinity, is_set, "{flag}");
    }
    let older = serde_json::to_value(decode("")).unwrap();
    assert!(older.get("session_affinity").is_none());
    assert!(!serde_json::from_value::<Route>(older).unwrap().session_affinity);
    let newer = serde_json::to_value(decode(r#", "session-affinity": true"#)).unwrap();
    assert!(serde_json::from_value::<Route>(newer).unwrap().session_affinity);
    assert_eq!(figures().retained_tokens(0, 1), MEMORY_TOKENS);
    assert_eq!(figures().retained_tokens(10, 4), (MEMORY_TOKENS - 10 * 2_316) / 4);
}
