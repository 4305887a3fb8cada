//! Parsers of external input: no input makes them panic, and they reject invalid input.
//!
//! Also checks the example files and the catalogue of log events.

use std::borrow::Cow;

use heatherramp::adapters::wire;
use heatherramp::domain::environment;
use heatherramp::domain::membership::Announcement;
use heatherramp::domain::membership::Raw;
use heatherramp::domain::state::Command;
use heatherramp::logging;
use heatherramp::platform::header;
use heatherramp::settings::Control;
use heatherramp::settings::Entry;
use heatherramp::settings::jsonc;
use http::HeaderMap;
use http::HeaderValue;
use proptest::prelude::*;
use prost::Message;
use serde_json::json;

fn zones() -> Vec<String> {
    vec!["north".to_owned()]
}

/// Random sequences of JSON tokens, among them keys of real documents.
fn json_like_text() -> impl Strategy<Value = String> {
    let token = prop_oneof![
        Just("{".to_owned()),
        Just("}".to_owned()),
        Just("[".to_owned()),
        Just("]".to_owned()),
        Just(",".to_owned()),
        Just(":".to_owned()),
        Just("// x\n".to_owned()),
        Just("\"environment\"".to_owned()),
        Just("\"limits\"".to_owned()),
        Just("\"client_accounts\"".to_owned()),
        Just("\"vm\"".to_owned()),
        Just("\"report\"".to_owned()),
        any::<i64>().prop_map(|n| n.to_string()),
        "\\PC{0,6}".prop_map(|s| format!("{s:?}")),
    ];
    proptest::collection::vec(token, 0..40).prop_map(|tokens| tokens.concat())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(9), ..ProptestConfig::default() })]

    #[test]
    fn parsing_documents_and_settings_does_not_panic(text in json_like_text()) {
        let _ = environment::parse(&text, &zones());
        let _ = jsonc::parse::<Control>(&text);
        let _ = jsonc::parse::<Entry>(&text);
        let _ = serde_json::from_str::<Command>(&text);
        if let Ok(raw) = serde_json::from_str::<Raw>(&text) {
            let _ = Announcement::try_from(raw);
        }
    }

    #[test]
    fn decoding_frames_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = wire::Request::decode(bytes.as_slice());
        let _ = wire::Reply::decode(bytes.as_slice());
        let _ = wire::Frame::decode(bytes.as_slice());
    }

    #[test]
    fn prompt_parts_are_all_read_and_short(value in "[0-9A-Fg:, ]{0,400}") {
        let entries: Vec<&str> = value.trim_end_matches([',', ' ']).split(',').collect();
        let id = |entry: &str| entry.split(':').next().unwrap().trim().to_ascii_lowercase();
        let is_part = |id: &String| !id.is_empty() && id.bytes().all(|b| b.is_ascii_hexdigit());
        let expected: Vec<String> = entries[..entries.len() - 1].iter().map(|e| id(e)).filter(is_part).collect();
        let parts = parse_prompt_parts(&value);
        prop_assert_eq!(parts.len(), expected.len());
        for (part, expected) in parts.iter().zip(&expected) {
            prop_assert!((1..=64).contains(&part.len()) && part.bytes().all(|b| b.is_ascii_hexdigit()));
            prop_assert!(part == expected || expected.len() > 64);
        }
    }

    #[test]
    fn accepted_announcements_name_a_vm_in_at_most_128_bytes(vm in "\\PC{0,200}", address in "\\PC{0,40}", incarnation in any::<u64>()) {
        let raw: Raw = serde_json::from_value(json!({
            "vm": vm, "address": address, "availability_zone": "north", "fabric_domain": "rack",
            "report": {"incarnation": incarnation},
        })).unwrap();
        if let Ok(announcement) = Announcement::try_from(raw) {
            prop_assert!(!announcement.vm.is_empty() && announcement.vm.len() <= 128);
        }
    }
}

#[test]
fn example_settings_and_documents_are_valid() {
    for entry in std::fs::read_dir("examples").unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        let text = std::fs::read_to_string(&path).unwrap();
        if name.starts_with("control") {
            let settings: Control = jsonc::parse(&text).unwrap_or_else(|e| panic!("{name}: {e}"));
            settings.check().unwrap();
        } else if name.starts_with("entry") {
            let settings: Entry = jsonc::parse(&text).unwrap_or_else(|e| panic!("{name}: {e}"));
            settings.check().unwrap();
        } else {
            let control = std::fs::read_to_string("examples/control.json").unwrap();
            let mut zones = jsonc::parse::<Control>(&control).unwrap().availability_zones;
            // Example documents also name zones that `control.json` does not list.
            zones.extend(["johannesburg-1", "johannesburg-2", "johannesburg-3"].map(str::to_owned));
            environment::parse(&text, &zones).unwrap_or_else(|e| panic!("{name}: {e}"));
        }
    }
}

#[test]
fn the_catalogue_of_log_events_is_complete() {
    let page = std::fs::read_to_string("docs/LOG-EVENTS.md").unwrap();
    for event in logging::ALL {
        let row = format!(
            "| E{} | {} | `{}` |",
            event.code,
            event.level.as_str().to_lowercase(),
            event.name
        );
        assert!(page.contains(&row), "{row}");
    }
    assert_eq!(page.matches("| E").count(), logging::ALL.len());
}

#[test]
fn the_last_prompt_part_is_left_out() {
    let parse = |value: &str| parse_prompt_parts(value).join(" ");
    assert_eq!(
        parse("5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
        "5c1e07a2 91bd3f06"
    );
    assert_eq!(
        parse("5C1E07A2:800, 91bd3f06:410 ,e4402b7d:250,"),
        "5c1e07a2 91bd3f06"
    );
    assert_eq!(parse("e4402b7d:250"), "");
    assert_eq!(parse(""), "");
}

#[test]
fn prompt_parts_without_a_valid_identifier_are_ignored() {
    let value = "5c1e07a2:800,part:1,:7,,91bd3f06,e4402b7d:250";
    assert_eq!(parse_prompt_parts(value), ["5c1e07a2", "91bd3f06"]);
}

/// Guards against parts that are ignored for their place in the prompt or their length, so that no crash with them is
/// ever counted.
#[test]
fn all_prompt_parts_of_a_head_are_read() {
    let many: String = (0..1_260).map(|i| format!("{i:08x}:1,")).collect();
    let parts = parse_prompt_parts(&many);
    // The last one belongs to the request alone.
    assert_eq!(parts.len(), 1_259);
    assert_eq!(parts[1_258], format!("{:08x}", 1_258));
    assert_eq!(header::parse_prompt(&many).len(), 1_260);
    let long = ["a".repeat(65), "A".repeat(65), "a".repeat(66)].map(|id| format!("{id}:1"));
    let parts = parse_prompt_parts(&format!("{},b:1", long.join(",")));
    assert_eq!(parts.len(), 3);
    assert!(parts.iter().all(|id| id.len() <= 64));
    assert_eq!(parts[0], parts[1], "another spelling is another part");
    assert_ne!(parts[0], parts[2]);
}

#[test]
fn a_prompt_in_several_headers_is_one_list() {
    let mut headers = HeaderMap::new();
    assert_eq!(header::prompt(&headers), None);
    for value in ["5c1e07a2:800,91bd3f06:410", "e4402b7d:250"] {
        headers.append(header::PROMPT_PARTS, HeaderValue::from_static(value));
    }
    let prompt = header::prompt(&headers).unwrap();
    assert_eq!(parse_prompt_parts(&prompt), ["5c1e07a2", "91bd3f06"]);
}

fn parse_prompt_parts(value: &str) -> Vec<String> {
    header::prompt_parts(value).map(Cow::into_owned).collect()
}
