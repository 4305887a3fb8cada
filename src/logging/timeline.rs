//! Timeline of one request, from the logs of several processes.
//!
//! A request's own log lines name the targets to which it was sent. The timeline holds these
//! lines and those of other processes about the same targets or their groups, close in time.

use std::collections::BTreeSet;

use serde_json::Map;
use serde_json::Value;

/// Time before a request's first line and after its last one that the timeline covers.
const MARGIN_MS: u64 = 5_000;
/// Fields that name a target: as the receiver of a request, or as a VM of the fleet.
const TARGET_FIELDS: [&str; 2] = ["target", "vm"];
/// Fields that [`Line::fields`] omits, beside `level`.
const COMMON_FIELDS: [&str; 4] = ["at_ms", "process", "event", "code"];

/// One line of a timeline.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Time of the line, Unix milliseconds by the clock of its process.
    pub at_ms: u64,
    /// Process that wrote it.
    pub process: String,
    /// Name of the event.
    pub event: String,
    /// The other fields but `code` and `level`, as `name=value`.
    pub fields: String,
}

/// Selects the lines about `request` and about the targets to which it was sent, in order of time.
///
/// Text before the first brace of a line is skipped, as are lines without a JSON object.
pub fn timeline<'a>(request: &str, lines: impl Iterator<Item = &'a str>) -> Vec<Line> {
    let objects: Vec<Map<String, Value>> = lines.filter_map(parse_object).collect();
    let own_lines: Vec<&Map<String, Value>> = objects
        .iter()
        .filter(|o| string_field(o, "request") == Some(request))
        .collect();
    let times = own_lines.iter().map(|o| at_ms(o));
    let (Some(first), Some(last)) = (times.clone().min(), times.max()) else {
        return Vec::new();
    };
    let mut targets: BTreeSet<&str> = own_lines
        .iter()
        .filter_map(|o| string_field(o, "target"))
        .collect();
    let span = first.saturating_sub(MARGIN_MS)..=last + MARGIN_MS;
    let is_near = |o: &&Map<String, Value>| span.contains(&at_ms(o));
    // The target is the head of a group, but the loss of the group names whichever member is gone.
    let groups: BTreeSet<u64> = objects
        .iter()
        .filter(|o| string_field(o, "vm").is_some_and(|vm| targets.contains(vm)))
        .filter_map(|o| o.get("group")?.as_u64())
        .collect();
    targets.remove("");
    let is_related = |o: &&Map<String, Value>| {
        let is_own = string_field(o, "request") == Some(request);
        let names_target = TARGET_FIELDS
            .iter()
            .any(|f| string_field(o, f).is_some_and(|v| targets.contains(v)));
        // Group 0 stands for no group.
        let names_group = o
            .get("group")
            .and_then(Value::as_u64)
            .is_some_and(|g| g > 0 && groups.contains(&g));
        let is_of_other_request = o.contains_key("request") && !is_own;
        is_own || (!is_of_other_request && (names_target || names_group))
    };
    let mut selected: Vec<Line> = objects
        .iter()
        .filter(is_near)
        .filter(is_related)
        .map(to_line)
        .collect();
    selected.sort_by_key(|l| l.at_ms);
    selected
}

fn parse_object(line: &str) -> Option<Map<String, Value>> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

fn string_field<'a>(object: &'a Map<String, Value>, field: &str) -> Option<&'a str> {
    object.get(field)?.as_str()
}

fn at_ms(object: &Map<String, Value>) -> u64 {
    object.get("at_ms").and_then(Value::as_u64).unwrap_or(0)
}

fn to_line(object: &Map<String, Value>) -> Line {
    let other_fields = object
        .iter()
        .filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()) && *name != "level");
    let fields: Vec<String> = other_fields
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        })
        .collect();
    Line {
        at_ms: at_ms(object),
        process: string_field(object, "process").unwrap_or_default().to_owned(),
        event: string_field(object, "event").unwrap_or_default().to_owned(),
        fields: fields.join(" "),
    }
}
