//! The little JSON that the stand-ins read: values of fields by name.

/// Text between the quotes after `"name":`, at its first place in `json`.
pub fn text(json: &str, name: &str) -> Option<String> {
    let rest = after(json, name)?.strip_prefix('"')?;
    rest.split('"').next().map(str::to_owned)
}

/// Number after `"name":`, at its first place in `json`.
pub fn number(json: &str, name: &str) -> Option<u64> {
    let rest = after(json, name)?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Texts of the list after `"name":`.
pub fn texts(json: &str, name: &str) -> Vec<String> {
    let Some(rest) = after(json, name).and_then(|rest| rest.strip_prefix('[')) else {
        return Vec::new();
    };
    let list = rest.split(']').next().unwrap_or_default();
    list.split(',').map(|item| item.trim().trim_matches('"').to_owned()).collect()
}

fn after<'a>(json: &'a str, name: &str) -> Option<&'a str> {
    let key = format!("\"{name}\":");
    let start = json.find(&key)? + key.len();
    Some(json[start..].trim_start())
}
