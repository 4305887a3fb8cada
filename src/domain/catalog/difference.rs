//! Differences between two definitions, field by field.

use std::collections::BTreeMap;

use serde_json::Value;

use super::Definition;

/// Field that differs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Difference {
    /// Where the field is; elements of lists go by their names, such as `routes[notes].timeout_ms`.
    pub path: String,
    /// Value before, as JSON without keys; none for a field that was added.
    pub before: Option<String>,
    /// Value after, as JSON without keys; none for a field that was removed.
    pub after: Option<String>,
}

/// Fields in which `after` differs from `before`; keys of accounts are only counted.
pub fn differences(before: &Definition, after: &Definition) -> Vec<Difference> {
    let mut differences = Vec::new();
    let [before, after] = [before, after].map(to_value);
    compare("", Some(&before), Some(&after), &mut differences);
    differences
}

/// JSON of a definition, without keys.
fn to_value(definition: &Definition) -> Value {
    let mut definition = definition.clone();
    for account in definition.accounts.iter_mut().flatten() {
        for key in &mut account.keys {
            // Equal keys must stay equal, but must not be read from a report.
            *key = format!("{:016x}", xxhash_rust::xxh3::xxh3_64(key.as_bytes()));
        }
        account.keys.sort();
    }
    serde_json::to_value(definition).unwrap_or_default()
}

fn compare(path: &str, before: Option<&Value>, after: Option<&Value>, differences: &mut Vec<Difference>) {
    if before == after {
        return;
    }
    let children = before.and_then(children).zip(after.and_then(children));
    if let Some((before, after)) = children {
        let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
        names.sort();
        names.dedup();
        for name in names {
            let path = format!("{path}{name}");
            let path = path.trim_start_matches('.');
            compare(
                path,
                before.get(name).copied(),
                after.get(name).copied(),
                differences,
            );
        }
        return;
    }
    let text = |value: &Value, other: Option<&Value>| match value.as_array() {
        Some(keys) if path.ends_with(".keys") => {
            let others = other.and_then(Value::as_array);
            let unshared = keys.iter().filter(|k| !others.is_some_and(|o| o.contains(k)));
            format!("{} keys, {} of them only here", keys.len(), unshared.count())
        }
        _ => without_keys(value).to_string(),
    };
    differences.push(Difference {
        path: path.to_owned(),
        before: before.map(|value| text(value, after)),
        after: after.map(|value| text(value, before)),
    });
}

/// Elements of an object or of a list whose elements have names, by the end of their path.
fn children(value: &Value) -> Option<BTreeMap<String, &Value>> {
    if let Some(object) = value.as_object() {
        return Some(object.iter().map(|(k, v)| (format!(".{k}"), v)).collect());
    }
    let elements = value.as_array()?;
    let named = elements.iter().map(|element| {
        let name = element.get("name").or_else(|| element.get("service"))?.as_str()?;
        Some((format!("[{name}]"), element))
    });
    let named: BTreeMap<String, &Value> = named.collect::<Option<_>>()?;
    (named.len() == elements.len()).then_some(named)
}

/// Copy of a value in which the keys of accounts are replaced by their number.
fn without_keys(value: &Value) -> Value {
    if let Some(elements) = value.as_array() {
        return elements.iter().map(without_keys).collect();
    }
    let mut value = value.clone();
    if let Some(keys) = value.get_mut("keys") {
        *keys = keys.as_array().map_or(0, Vec::len).into();
    }
    value
}
