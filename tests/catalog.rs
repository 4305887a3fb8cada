//! Catalogs: decoding of the operator's document, validation, routes and keys.

use heatherramp::domain::catalog::Access;
use heatherramp::domain::catalog::Catalog;
use heatherramp::domain::catalog::Definition;
use heatherramp::domain::catalog::Error;
use heatherramp::domain::catalog::Repeat;
use heatherramp::platform::configuration;
use proptest::prelude::*;
use serde_json::Value;
use serde_json::json;

fn document() -> Value {
    json!({
        "version": 7,
        "routes": [
            {"name": "notes", "host": "a.example", "path-prefix": "/x/", "type": "streaming",
             "timeout-ms": 8000, "target-latency-ms": 500, "priority": 1, "max-attempts": 2,
             "traffic-split": [{"service": "engine", "weight": 90}, {"service": "desk", "weight": 10}],
             "stream-resume": true, "target-gap-ms": 300},
            {"name": "orders", "host": "a.example", "path-prefix": "/x/orders/", "type": "non_idempotent",
             "timeout-ms": 1200, "service": "desk"},
            {"name": "open", "host": "a.example", "path-prefix": "/open/", "type": "idempotent",
             "timeout-ms": 1000, "service": "desk", "public": true}
        ],
        "services": [
            {"name": "engine", "health-path": "/h", "max-connections": 9, "cold-start-s": 3.0, "cold-per-s": 36.0},
            {"name": "desk", "health-path": "/h"}
        ],
        "tenants": [
            {"name": "one", "api-keys": ["k1", "k2"], "priority": 0},
            {"name": "two", "api-keys": ["k3"]}
        ]
    })
}

fn decode(document: &Value) -> Result<Definition, String> {
    configuration::decode(document.to_string().as_bytes())
}

/// Catalog built from a document, or why the document is invalid.
fn build(document: &Value) -> Result<Catalog, Error> {
    Catalog::try_from(decode(document).unwrap())
}

#[test]
fn the_route_with_the_longest_prefix_of_the_host_is_chosen() {
    let catalog = build(&document()).unwrap();
    let route_name = |host: &str, path: &str| catalog.route(host, path).map(|r| r.name.clone());
    assert_eq!(route_name("a.example", "/x/1").as_deref(), Some("notes"));
    assert_eq!(
        route_name("A.example:80", "/x/orders/1").as_deref(),
        Some("orders")
    );
    assert_eq!(route_name("a.example", "/x").as_deref(), None);
    assert_eq!(route_name("b.example", "/x/1").as_deref(), None);
}

#[test]
fn only_idempotent_routes_and_resumable_streams_allow_repeats() {
    let catalog = build(&document()).unwrap();
    let repeat = |path: &str| catalog.route("a.example", path).unwrap().repeat;
    assert_eq!(repeat("/x/1"), Repeat::Resumable);
    assert_eq!(repeat("/x/orders/1"), Repeat::Once);
    assert_eq!(repeat("/open/1"), Repeat::Idempotent);
    let mut not_resumable = document();
    not_resumable["routes"][0]["stream-resume"] = json!(false);
    let catalog = build(&not_resumable).unwrap();
    assert_eq!(catalog.route("a.example", "/x/1").unwrap().repeat, Repeat::Once);
}

#[test]
fn a_key_gives_access_as_its_account() {
    let catalog = build(&document()).unwrap();
    let notes = catalog.route("a.example", "/x/1").unwrap();
    let open = catalog.route("a.example", "/open/1").unwrap();
    let account_or_refusal = |access: Access| match access {
        Access::Account(account) => account.name.clone(),
        other => format!("{other:?}"),
    };
    assert_eq!(account_or_refusal(catalog.authorize(notes, Some("k3"))), "two");
    assert_eq!(account_or_refusal(catalog.authorize(notes, Some("k4"))), "Denied");
    assert_eq!(account_or_refusal(catalog.authorize(notes, None)), "Denied");
    assert_eq!(account_or_refusal(catalog.authorize(open, None)), "Public");
    assert_eq!(account_or_refusal(catalog.authorize(open, Some("k1"))), "one");
}

/// Guards against a configuration that locks all callers out but is taken for one that needs no keys.
#[test]
fn an_empty_list_of_accounts_admits_nobody() {
    let stored = |definition: &Definition| serde_json::to_string(definition).unwrap();
    let access = |definition: Definition, path: &str, key| {
        let catalog = Catalog::try_from(definition).unwrap();
        let route = catalog.route("a.example", path).unwrap();
        format!("{:?}", catalog.authorize(route, key))
    };
    let mut changed = document();
    changed["tenants"] = json!([]);
    let empty = decode(&changed).unwrap();
    changed.as_object_mut().unwrap().remove("tenants");
    let absent = decode(&changed).unwrap();
    for restore in [false, true] {
        let restored = |d: &Definition| match restore {
            true => serde_json::from_str(&stored(d)).unwrap(),
            false => d.clone(),
        };
        for key in [Some("k1"), Some("k4"), None] {
            assert_eq!(access(restored(&empty), "/x/1", key), "Denied");
            assert_eq!(access(restored(&empty), "/open/1", key), "Public");
            assert_eq!(access(restored(&absent), "/x/1", key), "Public");
        }
    }
    // Gateways and controllers of earlier versions read these two fields.
    assert!(stored(&empty).contains(r#""accounts":[],"needs_keys":true"#));
    assert!(stored(&absent).contains(r#""accounts":[],"needs_keys":false"#));
    changed["tenants"] = Value::Null;
    assert!(decode(&changed).unwrap_err().contains("tenants"));
}

#[test]
fn an_invalid_document_is_rejected_with_its_reason() {
    let error_after = |change: &dyn Fn(&mut Value)| {
        let mut changed = document();
        change(&mut changed);
        build(&changed).unwrap_err()
    };
    let unknown = error_after(&|d| d["routes"][1]["service"] = json!("none"));
    assert!(matches!(unknown, Error::UnknownService { .. }));
    let duplicate = error_after(&|d| d["routes"][1]["path-prefix"] = json!("/x/"));
    assert!(matches!(duplicate, Error::DuplicateRoute { .. }));
    let weight =
        error_after(&|d| d["routes"][0]["traffic-split"] = json!([{"service": "desk", "weight": 0}]));
    assert_eq!(weight, Error::ZeroWeight("notes".to_owned()));
    let timeout = error_after(&|d| d["routes"][0]["timeout-ms"] = json!(0));
    assert_eq!(timeout, Error::ZeroTimeout("notes".to_owned()));
    let key = error_after(&|d| d["tenants"][1]["api-keys"] = json!(["k1"]));
    assert!(matches!(key, Error::SharedKey { .. }));
}

/// Guards against a configuration that names an unknown service and is acknowledged, as a valid split stands beside it.
#[test]
fn an_unknown_service_beside_a_split_is_rejected() {
    let mut document = document();
    document["routes"][0]["service"] = json!("missing");
    let error = configuration::check(document.to_string().as_bytes()).unwrap_err();
    assert!(error.contains("missing"), "{error}");
    document["routes"][0]["service"] = json!("desk");
    let definition = configuration::check(document.to_string().as_bytes()).unwrap();
    let weights: Vec<u64> = definition.routes[0].shares.iter().map(|s| s.weight).collect();
    assert_eq!(
        weights,
        [90_000, 10_000, 0],
        "the service beside the split gets requests"
    );
}

/// Guards against a route that is adopted and gets no request: host names have no letter case.
#[test]
fn two_routes_whose_hosts_differ_in_letter_case_only_are_rejected() {
    let mut document = document();
    document["routes"][2]["host"] = json!("A.Example");
    document["routes"][2]["path-prefix"] = json!("/x/");
    let check = |document: &Value| configuration::check(document.to_string().as_bytes());
    let reason = check(&document).expect_err("refused");
    assert!(reason.contains("notes") && reason.contains("open"), "{reason}");
    // Earlier versions have put such catalogs in force, and gateways must still take them.
    assert!(build(&document).is_ok());
    document["routes"][2]["host"] = json!("b.example");
    assert!(check(&document).is_ok());
}

#[test]
fn a_malformed_document_is_rejected_with_the_path_of_the_fault() {
    let text = document().to_string();
    for end in [1, text.len() / 2, text.len() - 1] {
        assert!(configuration::decode(&text.as_bytes()[..end]).is_err());
    }
    let mut wrong = document();
    wrong["routes"][0]["timeout-ms"] = json!("soon");
    let reason = decode(&wrong).unwrap_err();
    assert!(reason.contains("routes[0]"), "{reason}");
    // Weights that add up to 0 all the same are invalid, too.
    wrong["routes"][0]["timeout-ms"] = json!(8000);
    wrong["routes"][0]["traffic-split"][1]["weight"] = json!(-90);
    let reason = decode(&wrong).unwrap_err();
    assert!(
        reason.contains("route notes") && reason.contains("-90"),
        "{reason}"
    );
    let mut extra = text.clone();
    extra.push_str("{}");
    assert!(configuration::decode(extra.as_bytes()).is_err());
}

#[test]
fn a_definition_survives_serialization() {
    let definition = decode(&document()).unwrap();
    let text = serde_json::to_string(&definition).unwrap();
    assert_eq!(serde_json::from_str::<Definition>(&text).unwrap(), definition);
}

proptest! {
    #[test]
    fn the_decoders_do_not_panic_on_arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = configuration::decode(&bytes);
        let _ = heatherramp::platform::heartbeat::decode("vm", &bytes);
    }
}

/// With such figures no time can be calculated, and requests of the engine would end without an answer.
#[test]
fn figures_of_an_engine_that_give_no_duration_are_rejected() {
    let with = |figure: &str, value: f64| {
        let mut document = document();
        document["services"][0]["inference-engine"] = json!({
            "slots": 8, "stride": 5, "step_ms": 6.0, "per_seq_ms": 0.2, "read_per_s": 46000.0,
            "loads-per-s": 4.0, "loads_at_once": 6, "usual": {"prompt": 100, "answer": 50},
            "model-list": [{"name": "model", "size": 2, "traffic-share": 1.0, "pace": 1.0,
                            "load-time-s": 1.0, "warmup-s": 0.1}]});
        document["services"][0]["inference-engine"][figure] = json!(value);
        Catalog::try_from(decode(&document).unwrap()).map(|_| ())
    };
    assert_eq!(with("step_ms", 6.0), Ok(()));
    for (figure, value) in [
        ("step_ms", -1_000.0),
        ("step_ms", 1e300),
        ("per_seq_ms", -0.1),
        ("read_per_s", -1.0),
    ] {
        let rejected = matches!(with(figure, value), Err(Error::InvalidFigure { .. }));
        assert!(rejected, "{figure} {value} is accepted");
    }
}
