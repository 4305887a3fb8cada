//! Commands that tests and benchmarks apply to a replicated state directly, without a log.

use heatherramp::domain::state::Change;
use heatherramp::domain::state::Command;
use heatherramp::domain::state::State;
use serde_json::Value;

/// Submits an environment document as its first version and promotes it.
pub fn submit_and_promote(state: &mut State, document: &Value) {
    let environment = document["environment"].as_str().expect("a name").to_owned();
    let submit = Change::Submit {
        environment: environment.clone(),
        base: 0,
        text: document.to_string(),
    };
    let promote = Change::Promote {
        environment,
        version: 1,
        base: 0,
    };
    for (request, change) in [("submit", submit), ("promote", promote)] {
        let command = Command::Operate {
            operator: "test".to_owned(),
            request: request.to_owned(),
            change,
        };
        let index = state.index + 1;
        state.apply(index, &command);
    }
}
