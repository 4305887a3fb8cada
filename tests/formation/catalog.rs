//! Catalog of the simulation.

use heatherramp::domain::catalog::Definition;
use heatherramp::domain::catalog::Engine;
use heatherramp::domain::catalog::Limits;
use heatherramp::domain::catalog::Model;
use heatherramp::domain::catalog::Service;

pub fn catalog() -> Definition {
    let model = |name: &str, size, share, load_ms| Model {
        name: name.to_owned(),
        size,
        share,
        pace: 1.0,
        load_ms,
        warm_ms: 1_600,
    };
    let engine = Engine {
        slots: 26,
        models: vec![model("large", 4, 0.67, 5_000), model("small", 2, 0.33, 4_000)],
        step_ms: 6.0,
        step_request_ms: 0.25,
        steps_per_pass: 5,
        read_per_s: 46_000.0,
        loads_per_s: 4.0,
        loads_at_once: 6,
        open_ms: 300,
        mean_prompt: 1_076.0,
        mean_answer: 116.0,
        memory_tokens: None,
    };
    Definition {
        version: 1,
        routes: Vec::new(),
        services: vec![Service {
            name: "engine".to_owned(),
            health_path: "/".to_owned(),
            max_connections: 100,
            cold_ms: 0,
            cold_rate: 0.0,
            engine: Some(engine),
        }],
        limits: Limits::default(),
        accounts: None,
    }
}
