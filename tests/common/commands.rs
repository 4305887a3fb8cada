//! Commands that tests and benchmarks apply to a replicated state directly, without a log.

use heatherramp::domain::state::Change;
use heatherramp::domain::state::Command;
use heatherramp::domain::state::State;
use serde_json::Value;

/// Submits an environment document as its first version and promotes it.
pub fn submit_and_promote(state: &mut State, document: &Value) {
    submit_and_promote_above(state, document, 0);
}

/// Submits an environment document as its second version and promotes it.
#[allow(dead_code)]
pub fn submit_and_promote_next(state: &mut State, document: &Value) {
    submit_and_promote_above(state, document, 1);
}

fn submit_and_promote_above(state: &mut State, document: &Value, base: u64) {
    let environment = document["environment"].as_str().expect("a name").to_owned();
    let submit = Change::Submit {
        environment: environment.clone(),
        base,
        text: document.to_string(),
    };
    let promote = Change::Promote {
        environment,
        version: base + 1,
        base,
    };
    for (request, change) in [("submit", submit), ("promote", promote)] {
        let command = Command::Operate {
            operator: "test".to_owned(),
            request: format!("{request}-{base}"),
            change,
        };
        let index = state.index + 1;
        state.apply(index, &command);
    }
}
