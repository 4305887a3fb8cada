//! Heartbeats of another writer among those of the VMs: each costs itself only.

mod paused;

use std::time::Duration;

use heatherramp::domain::fleet::Announcement;
use heatherramp::domain::fleet::Call;
use heatherramp::domain::fleet::Controller;
use heatherramp::domain::fleet::Input;
use heatherramp::domain::fleet::Registry;
use heatherramp::domain::fleet::Relay;
use heatherramp::domain::fleet::Renewal;
use heatherramp::domain::fleet::Report;
use heatherramp::domain::fleet::Timing;
use heatherramp::platform::heartbeat;
use serde_json::Value;
use serde_json::json;

use paused::System;

fn fields() -> Value {
    json!({"service": "engine", "address": "127.0.0.1:1000", "zone": "z", "slots": 26, "phase": "ready",
           "cold-remaining-ms": 0.0, "sequence": 7, "born": 1_700_000_000_000_u64, "domain": 3,
           "preloaded": ["large"], "group": {"name": "g1", "epoch": 1, "rank": 0, "phase": "open"}})
}

fn with(field: &str, value: Value) -> Vec<u8> {
    let mut fields = fields();
    fields[field] = value;
    fields.to_string().into_bytes()
}

#[test]
fn a_valid_heartbeat_is_taken() {
    let announcement = heartbeat::decode("vm0", fields().to_string().as_bytes()).expect("taken");
    assert_eq!((announcement.slots, announcement.domain.as_str()), (26, "3"));
}

/// Guards against processes that end, or frames that grow beyond their limit, by one field of one heartbeat.
#[test]
fn a_heartbeat_with_an_invalid_field_is_refused() {
    let long = "x".repeat(1 << 20);
    let invalid = [
        ("service", json!(long)),
        ("service", json!("")),
        ("zone", json!(long)),
        ("domain", json!(long)),
        ("domain", json!({"name": long})),
        ("preloaded", json!([long])),
        ("preloaded", json!(vec!["m"; 100_000])),
        ("group", json!({"name": long, "epoch": 1, "phase": "open"})),
        ("group", json!({"name": "g", "epoch": 1, "phase": "asleep"})),
        ("group", json!({"name": "g", "epoch": -1, "phase": "open"})),
        ("address", json!("127.0.0.1:70000")),
        ("address", json!("127.0.0.1:0")),
        ("address", json!("0.0.0.0:1000")),
        ("address", json!("224.0.0.1:1000")),
        ("address", json!("host.example:1000")),
        ("slots", json!(4_000_000_000_u32)),
        ("slots", json!(-1)),
        ("slots", json!(1e300)),
        ("cold-remaining-ms", json!(1e300)),
        ("cold-remaining-ms", json!(-1.0)),
        ("sequence", json!(u64::MAX)),
        ("born", json!(u64::MAX)),
        ("born", json!(9_000_000_000_000_000_u64)),
        ("phase", json!("asleep")),
    ];
    for (field, value) in invalid {
        let text = value.to_string();
        let result = heartbeat::decode("vm0", &with(field, value));
        let short: String = text.chars().take(60).collect();
        let reason = result.expect_err(&format!("{field}: {short} is taken"));
        assert!(reason.len() < 300, "{field}: a reason of {} bytes", reason.len());
    }
    for id in [long.as_str(), "", "a b", "ü", "a\u{7f}"] {
        let result = heartbeat::decode(id, fields().to_string().as_bytes());
        assert!(result.is_err(), "an identifier of {} bytes", id.len());
    }
}

#[test]
fn bytes_that_are_no_heartbeat_are_refused() {
    let deep = |open: &str, close: &str| format!("{}1{}", open.repeat(200_000), close.repeat(200_000));
    let nested = deep("[", "]");
    let whole = fields().to_string();
    let texts = [
        nested.clone(),
        deep("{\"a\":", "}"),
        whole.replace("\"domain\":3", &format!("\"domain\":{nested}")),
        whole.replace("\"sequence\":7", "\"sequence\":1e999"),
        whole.replace("\"sequence\":7", "\"sequence\":7777777777777777777777777"),
        whole.replace("\"slots\":26", "\"slots\":\"many\""),
        whole[..whole.len() / 2].to_owned(),
        String::new(),
        "\u{feff}{}".to_owned(),
    ];
    for text in texts {
        let short: String = text.chars().take(40).collect();
        assert!(heartbeat::decode("vm0", text.as_bytes()).is_err(), "{short}");
    }
    assert!(heartbeat::decode("vm0", &[0xff, 0xfe, 0x00]).is_err());
    // Fields that are not named here are ignored, whatever they hold.
    let with_unknown_field = whole.replace("\"domain\":3", &format!("\"other\":{nested}"));
    assert!(heartbeat::decode("vm0", with_unknown_field.as_bytes()).is_ok());
}

fn announcement(id: &str, incarnation: u64, sequence: u64) -> Announcement {
    Announcement {
        id: id.to_owned(),
        incarnation,
        sequence,
        service: "engine".to_owned(),
        address: "127.0.0.1:1000".to_owned(),
        zone: "z".to_owned(),
        domain: "d".to_owned(),
        slots: 26,
        draining: false,
        cold_ms: 0,
        staged: Vec::new(),
        membership: None,
    }
}

/// Within one incarnation a VM keeps its service, address, zone and domain.
#[test]
fn a_heartbeat_that_contradicts_the_incarnation_is_ignored() {
    let now = Duration::from_secs(1);
    let mut registry = Registry::default();
    registry.record_heartbeat(now, Duration::ZERO, announcement("a", 1, 1));
    let change: [fn(&mut Announcement); 4] = [
        |a| a.service = "other".to_owned(),
        |a| a.address = "127.0.0.1:2000".to_owned(),
        |a| a.zone = "other".to_owned(),
        |a| a.domain = "other".to_owned(),
    ];
    for change in change {
        let mut other = announcement("a", 1, 1_000);
        change(&mut other);
        assert!(!registry.record_heartbeat(now, Duration::ZERO, other));
        let vm = registry.get("a").expect("known");
        assert_eq!(vm.announcement, announcement("a", 1, 1));
    }
    assert_eq!(registry.conflicts(), 4);
    registry.record_heartbeat(now, Duration::ZERO, announcement("a", 1, 2));
    assert_eq!(registry.get("a").expect("known").announcement.sequence, 2);
}

/// The number of identifiers is bounded; VMs that are known stay so.
#[test]
fn heartbeats_of_vms_beyond_the_bound_are_ignored() {
    let now = Duration::from_secs(1);
    let mut registry = Registry::default();
    for i in 0..70_000_u32 {
        let mut other = announcement(&format!("vm{i}"), 1, 1);
        other.address = format!("127.{}.{}.{}:1000", i >> 16, (i >> 8) & 255, i & 255);
        registry.record_heartbeat(now, Duration::ZERO, other);
    }
    assert_eq!(registry.len(), 65_536);
    assert!(registry.get("vm0").is_some());
}

/// A heartbeat whose service no configuration names is no VM to use, and takes nothing from one that is.
#[test]
fn a_heartbeat_of_an_unknown_service_takes_neither_identifier_nor_address_of_a_vm_in_use() {
    for (id, incarnation) in [("vm0", 1), ("vm0", 2), ("stranger", 2)] {
        let mut system = System::with_open_group();
        let other = Announcement {
            service: "other".to_owned(),
            ..announcement(id, incarnation, 1_000)
        };
        system.call(Call::Announce(Box::new(other)));
        system.advance_to(system.now + 5_000);
        assert_eq!(system.lost_at, None, "{id}, incarnation {incarnation}");
    }
}

/// Guards against a VM that falls silent for the leader because another writer's heartbeat hides its heartbeats at a relay.
#[test]
fn heartbeats_of_a_vm_reach_the_leader_beside_another_writers_with_its_identifier() {
    let mut relay = Relay::new(Controller::default(), Timing::default());
    let now = |step: u64| Duration::from_millis(100 * step);
    relay.step(now(1), Input::Overview(now(1), Box::default()));
    relay.step(now(2), Input::Heartbeat(1, Box::new(announcement("a", 1, 1))));
    let _ = relay.digest(now(2));
    relay.step(now(3), Input::Overview(now(2), Box::default()));
    for other in [(9, 1_000), (1, 1_000)] {
        let other = Announcement {
            zone: "other".to_owned(),
            ..announcement("a", other.0, other.1)
        };
        relay.step(now(4), Input::Heartbeat(2, Box::new(other)));
    }
    let renewal = Renewal {
        id: "a".to_owned(),
        incarnation: 1,
        sequence: 2,
    };
    let report = Report {
        renewed: vec![renewal],
        ..Report::default()
    };
    relay.step(now(5), Input::Report(3, Box::new(report)));
    let digest = relay.digest(now(5));
    let renewed: Vec<(u64, u64)> = digest
        .renewed
        .iter()
        .map(|r| (r.incarnation, r.sequence))
        .collect();
    assert_eq!(renewed, [(1, 2)]);
    relay.step(now(6), Input::Heartbeat(4, Box::new(announcement("a", 1, 4))));
    let digest = relay.digest(now(6));
    let own = |incarnation: u64| incarnation == 1;
    assert!(digest.changed.iter().any(|h| own(h.announcement.incarnation)));
}
