//! Check of configurations before they are sent: `heatherramp config check`.

use std::path::PathBuf;
use std::process::Command;

use heatherramp::domain::catalog::Catalog;
use heatherramp::domain::catalog::Kind;
use heatherramp::domain::catalog::check_hosts;
use heatherramp::domain::catalog::differences;
use heatherramp::domain::catalog::review;
use heatherramp::platform::configuration;
use proptest::prelude::*;
use serde_json::Value;
use serde_json::json;

/// Documents of which some are invalid, and some have routes that nothing reaches.
fn any_document() -> impl Strategy<Value = Value> {
    let hosts = prop::sample::select(vec!["a.example", "A.example", "b.example", "b.example:80", "*"]);
    let prefixes = prop::sample::select(vec!["", "/", "/x/", "/x/y/", "x/", "/x?y", "/z"]);
    let services = prop::sample::select(vec!["s", "s", "s", "s", "missing"]);
    let timeouts = prop::sample::select(vec![json!(0), json!(50), json!(900), json!(900), json!(900)]);
    let sends = 0..4u32;
    let route = (hosts, prefixes, services, timeouts, sends, 0..12u8);
    let keys = prop::collection::vec(prop::sample::select(vec!["k1", "k2", "k3", "", " k"]), 0..3);
    let routes = prop::collection::vec(route, 0..5);
    (routes, prop::collection::vec(keys, 0..3), 1..5u64).prop_map(|(routes, accounts, version)| {
        let routes = routes
            .iter()
            .enumerate()
            .map(|(i, (host, prefix, service, timeout, sends, rank))| {
                json!({"name": format!("r{i}"), "host": host, "path-prefix": prefix, "type": "idempotent",
                "timeout-ms": timeout, "target-latency-ms": 100, "service": service,
                "max-attempts": sends, "priority": rank})
            });
        let accounts = accounts.iter().enumerate();
        let accounts = accounts.map(|(i, keys)| json!({"name": format!("t{i}"), "api-keys": keys}));
        json!({"version": version, "routes": routes.collect::<Vec<_>>(), "services": [{"name": "s"}],
            "tenants": accounts.collect::<Vec<_>>()})
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(31), ..ProptestConfig::default() })]

    /// A check that disagrees with the controllers is worse than none: what it passes must be accepted, what it
    /// calls an error refused, and what it calls unreachable never found.
    #[test]
    fn the_check_agrees_with_the_controllers_and_the_lookup(document in any_document()) {
        let body = document.to_string();
        let decoded = configuration::decode(body.as_bytes());
        let ambiguous = decoded.as_ref().ok().and_then(|d| check_hosts(d).err());
        let ambiguous = ambiguous.map(|e| e.to_string());
        let accepted = decoded.and_then(|d| Catalog::try_from(d).map_err(|e| e.to_string()));
        let checked = configuration::check(body.as_bytes());
        prop_assert_eq!(checked.as_ref().err(), ambiguous.as_ref().or(accepted.as_ref().err()));
        let Ok(catalog) = accepted else { return Ok(()) };
        let findings = review(catalog.definition());
        for route in &catalog.definition().routes {
            let path = format!("route {}", route.name);
            let is_unreachable = findings.iter().any(|f| f.kind == Kind::Unreachable && f.path == path);
            // These requests reach each route of the generator that any request reaches.
            let hosts = ["a.example", "B.example:80"];
            let paths = ["/", "/x/", "/x/y/", "/x/y/1", "/z", "/q"];
            let requests = hosts.iter().flat_map(|host| paths.map(|path| (*host, path)));
            let mut found = requests.filter_map(|(host, path)| catalog.route(host, path));
            prop_assert_eq!(found.any(|r| r.name == route.name), !is_unreachable);
            prop_assert_eq!(findings.iter().any(|f| f.path == path && f.reason.contains("objective")), route.timeout_ms < 100);
        }
        for account in catalog.definition().accounts.as_ref().unwrap() {
            let is_reported = findings.iter().any(|f| f.kind == Kind::Key && f.path == format!("account {}", account.name));
            prop_assert_eq!(is_reported, account.keys.is_empty() || account.keys.iter().any(|k| k.trim() != k || k.is_empty()));
        }
        prop_assert!(differences(catalog.definition(), catalog.definition()).is_empty());
    }
}

fn document() -> Value {
    json!({
        "version": 3, "services": [{"name": "s"}],
        "routes": [{"name": "r", "host": "a.example", "path-prefix": "/x/", "type": "streaming",
                    "timeout-ms": 900, "service": "s", "max-attempts": 2, "stream-resume": true}],
        "tenants": [{"name": "one", "api-keys": ["secret-1", "secret-2"]}]
    })
}

/// Runs the check on documents that are written to files; returns the exit code and the output.
fn check(name: &str, file: &str, against: Option<&Value>, is_json: bool) -> (Option<i32>, String) {
    let folder = std::env::temp_dir().join(format!("heatherramp-check-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let write = |name: &str, text: &str| -> PathBuf {
        std::fs::write(folder.join(name), text).unwrap();
        folder.join(name)
    };
    let mut command = Command::new(env!("CARGO_BIN_EXE_heatherramp"));
    command.args(["config", "check"]).arg(write("new.json", file));
    if let Some(against) = against {
        command
            .arg("--against")
            .arg(write("old.json", &against.to_string()));
    }
    let output = command.args(is_json.then_some("--json")).output().unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    (output.status.code(), String::from_utf8(output.stdout).unwrap())
}

/// Scripts go by the exit code, and a report may be passed around, so it must not contain keys.
#[test]
fn exit_codes_and_reports_tell_errors_warnings_and_differences() {
    let sound = document();
    assert_eq!(
        check("sound", &sound.to_string(), None, false),
        (Some(0), "sound\n".to_owned())
    );

    let mut changed = document();
    changed["version"] = json!(4);
    changed["routes"][0]["timeout-ms"] = json!(800);
    changed["tenants"][0]["api-keys"][1] = json!("secret-3");
    changed["tenants"][0]["priority"] = json!(10);
    let (code, text) = check("changed", &changed.to_string(), Some(&sound), true);
    let report: Value = serde_json::from_str(&text).unwrap();
    assert_eq!((code, &report["errors"]), (Some(1), &json!([])));
    assert_eq!(report["warnings"].as_array().unwrap().len(), 1);
    assert_eq!(report["warnings"][0]["path"], "account one");
    let paths: Vec<&str> = report["differences"]
        .as_array()
        .unwrap()
        .iter()
        .map(|d| d["path"].as_str().unwrap())
        .collect();
    let expected = [
        "accounts[one].keys",
        "accounts[one].rank",
        "routes[r].goal_ms",
        "routes[r].timeout_ms",
        "version",
    ];
    assert_eq!(paths, expected);
    assert_eq!(report["differences"][0]["after"], "2 keys, 1 of them only here");
    assert!(!text.contains("secret"));
    // An added account has no name in the old list, and a list of accounts with the same name no names at all.
    changed["tenants"] =
        json!([{"name": "n", "api-keys": ["secret-4"]}, {"name": "n", "api-keys": ["secret-5"]}]);
    let (_, text) = check("added", &changed.to_string(), Some(&sound), false);
    let has_keys = text.contains("secret") || text.contains("\"keys\":[");
    assert!(text.contains("accounts") && !has_keys, "{text}");
    let (code, text) = check("older", &sound.to_string(), Some(&changed), false);
    assert!(code == Some(1) && text.contains("3 is not above 4"), "{text}");

    let mut invalid = document();
    invalid["routes"][0]["timeout-ms"] = json!("soon");
    let (code, text) = check("invalid", &invalid.to_string(), None, true);
    let report: Value = serde_json::from_str(&text).unwrap();
    let reason = configuration::check(invalid.to_string().as_bytes()).unwrap_err();
    assert_eq!((code, &report["errors"][0]["text"]), (Some(2), &json!(reason)));
    assert_eq!(
        (&report["errors"][0]["path"], &report["errors"][0]["code"]),
        (&json!("routes[0].timeout-ms"), &json!(400))
    );
    assert_eq!(check("cut", "{\"version\": 1", None, false).0, Some(2));
}
