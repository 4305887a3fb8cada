//! Story of one request from the logs of several processes.
//!
//! A request's lines name the targets that it was sent to. The story holds the request's own
//! lines and, close in time, what the other processes came to believe about those targets.

use std::collections::BTreeSet;

use serde_json::Map;
use serde_json::Value;

/// Time before the first and after the last line of a request that belongs to its story.
const AROUND_MS: u64 = 5_000;
/// Fields that name a target or one of its members.
const TARGET_FIELDS: [&str; 2] = ["target", "vm"];
/// Fields that every line has, printed before the others.
const HEAD_FIELDS: [&str; 4] = ["at_ms", "process", "event", "code"];

/// One line of a story.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Time of the line, Unix milliseconds by its process.
    pub at_ms: u64,
    /// Process that wrote it.
    pub process: String,
    /// Name of the event.
    pub event: String,
    /// The other fields, as `name=value`.
    pub fields: String,
}

/// Lines that tell what became of `request`, in order of time.
///
/// Text before the first brace of a line is skipped, and so are lines without an object.
pub fn timeline<'a>(request: &str, lines: impl Iterator<Item = &'a str>) -> Vec<Line> {
    let objects: Vec<Map<String, Value>> = lines.filter_map(object).collect();
    let own: Vec<&Map<String, Value>> = objects
        .iter()
        .filter(|o| text(o, "request") == Some(request))
        .collect();
    let times = own.iter().map(|o| at(o));
    let (Some(first), Some(last)) = (times.clone().min(), times.max()) else {
        return Vec::new();
    };
    let mut targets: BTreeSet<&str> = own.iter().filter_map(|o| text(o, "target")).collect();
    let span = first.saturating_sub(AROUND_MS)..=last + AROUND_MS;
    let near = |o: &&Map<String, Value>| span.contains(&at(o));
    // A group's head is the target; its loss is reported for whichever member is gone.
    let groups: BTreeSet<u64> = objects
        .iter()
        .filter(|o| text(o, "vm").is_some_and(|vm| targets.contains(vm)))
        .filter_map(|o| o.get("group")?.as_u64())
        .collect();
    targets.remove("");
    let concerns = |o: &&Map<String, Value>| {
        let is_own = text(o, "request") == Some(request);
        let names_target = TARGET_FIELDS
            .iter()
            .any(|f| text(o, f).is_some_and(|v| targets.contains(v)));
        let names_group = o
            .get("group")
            .and_then(Value::as_u64)
            .is_some_and(|g| g > 0 && groups.contains(&g));
        let is_other = o.contains_key("request") && !is_own;
        is_own || (!is_other && (names_target || names_group))
    };
    let mut story: Vec<Line> = objects.iter().filter(near).filter(concerns).map(line).collect();
    story.sort_by_key(|l| l.at_ms);
    story
}

fn object(line: &str) -> Option<Map<String, Value>> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

fn text<'a>(object: &'a Map<String, Value>, field: &str) -> Option<&'a str> {
    object.get(field)?.as_str()
}

fn at(object: &Map<String, Value>) -> u64 {
    object.get("at_ms").and_then(Value::as_u64).unwrap_or(0)
}

fn line(object: &Map<String, Value>) -> Line {
    let rest = object
        .iter()
        .filter(|(name, _)| !HEAD_FIELDS.contains(&name.as_str()) && *name != "level");
    let fields: Vec<String> = rest
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        })
        .collect();
    Line {
        at_ms: at(object),
        process: text(object, "process").unwrap_or_default().to_owned(),
        event: text(object, "event").unwrap_or_default().to_owned(),
        fields: fields.join(" "),
    }
}
