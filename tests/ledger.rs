//! Ledger of non-repeatable calls: bounds, retention and late answers.

use heatherramp::domain::state::Call;
use heatherramp::domain::state::Command;
use heatherramp::domain::state::Outcome;
use heatherramp::domain::state::Reply;
use heatherramp::domain::state::State;
use heatherramp::domain::state::Verdict;

fn call(key: &str, arrived_ms: u64) -> Call {
    Call {
        client_account: "a".to_owned(),
        environment: "orders".to_owned(),
        key: key.to_owned(),
        digest: 1,
        arrived_ms,
    }
}

fn apply(state: &mut State, command: Command) -> Verdict {
    let index = state.index + 1;
    match state.apply(index, &command) {
        Reply::Ledger(verdict) => verdict,
        _ => Verdict::Recorded,
    }
}

fn begin(state: &mut State, call: &Call, attempt: &str) -> Verdict {
    let command = Command::Begin {
        call: call.clone(),
        attempt: attempt.to_owned(),
        session: "e1".to_owned(),
    };
    apply(state, command)
}

fn finish(state: &mut State, call: &Call, attempt: &str, outcome: Outcome) {
    let command = Command::Finish {
        call: call.clone(),
        attempt: attempt.to_owned(),
        outcome,
    };
    apply(state, command);
}

fn answer(body: &str) -> Outcome {
    Outcome::Answer {
        status: 200,
        body: body.to_owned(),
    }
}

#[test]
fn an_abandoned_call_is_unknown_until_its_answer_comes() {
    let mut state = State::default();
    let call = call("k", 1);
    assert_eq!(begin(&mut state, &call, "1"), Verdict::Granted);
    assert_eq!(
        begin(&mut state, &call, "1"),
        Verdict::Granted,
        "asked again after a lost answer"
    );
    assert_eq!(begin(&mut state, &call, "2"), Verdict::Running);
    let leave = Command::Leave {
        session: "e1".to_owned(),
    };
    apply(&mut state, leave);
    assert_eq!(begin(&mut state, &call, "2"), Verdict::Ended(Outcome::Unknown));
    finish(&mut state, &call, "2", answer("of another attempt"));
    finish(&mut state, &call, "1", answer("late"));
    finish(&mut state, &call, "1", Outcome::Unknown);
    assert_eq!(begin(&mut state, &call, "3"), Verdict::Ended(answer("late")));
    let mut other = call.clone();
    other.digest = 2;
    assert_eq!(begin(&mut state, &other, "4"), Verdict::Mismatch);
    other.client_account = "b".to_owned();
    assert_eq!(
        begin(&mut state, &other, "5"),
        Verdict::Granted,
        "another account's key"
    );
}

#[test]
fn a_call_that_did_not_run_frees_its_key() {
    let mut state = State::default();
    let call = call("k", 1);
    begin(&mut state, &call, "1");
    finish(&mut state, &call, "1", Outcome::NotRun);
    assert_eq!(begin(&mut state, &call, "2"), Verdict::Granted);
}

#[test]
fn large_and_old_answers_are_dropped_but_their_keys_never_run_again() {
    let mut state = State::default();
    let large = call("large", 1);
    begin(&mut state, &large, "1");
    // The ledger stores no body of more than 64 KiB.
    finish(&mut state, &large, "1", answer(&"x".repeat(100_000)));
    assert_eq!(
        begin(&mut state, &large, "2"),
        Verdict::Ended(Outcome::Ran { status: 200 })
    );
    // One more answer than the ledger stores with its body, which drops the oldest body.
    for i in 0..=20_000 {
        let call = call(&format!("k{i}"), 1);
        begin(&mut state, &call, "1");
        finish(&mut state, &call, "1", answer("y"));
    }
    let oldest = begin(&mut state, &call("k0", 1), "2");
    assert_eq!(oldest, Verdict::Ended(Outcome::Ran { status: 200 }));
    assert_eq!(
        begin(&mut state, &call("k1", 1), "2"),
        Verdict::Ended(answer("y"))
    );
}

#[test]
fn stored_answers_are_bounded_in_bytes() {
    let mut state = State::default();
    // 12 MB of answers; the ledger stores at most 4 MiB of bodies.
    for i in 0..200 {
        let call = call(&format!("k{i}"), 1);
        begin(&mut state, &call, "1");
        finish(&mut state, &call, "1", answer(&"x".repeat(60_000)));
    }
    let size = serde_json::to_string(&state).unwrap().len();
    assert!(size < 5 << 20, "{size} bytes");
    let oldest = begin(&mut state, &call("k0", 1), "2");
    assert_eq!(oldest, Verdict::Ended(Outcome::Ran { status: 200 }));
    let newest = begin(&mut state, &call("k199", 1), "2");
    assert!(matches!(newest, Verdict::Ended(Outcome::Answer { .. })));
}

#[test]
fn retention_goes_by_the_clock_of_the_control_processes() {
    let mut state = State::default();
    let forget = |now_ms| Command::Forget {
        now_ms,
        retention_ms: 1_000,
    };
    apply(&mut state, forget(10_000));
    // The call arrives by an entry whose clock is far behind; the retention counts from the
    // latest time of a control process.
    let call = call("k", 1);
    begin(&mut state, &call, "1");
    finish(&mut state, &call, "1", answer("z"));
    apply(&mut state, forget(10_900));
    assert_eq!(begin(&mut state, &call, "2"), Verdict::Ended(answer("z")));
    apply(&mut state, forget(11_100));
    assert_eq!(
        begin(&mut state, &call, "3"),
        Verdict::Granted,
        "after the retention"
    );
}
