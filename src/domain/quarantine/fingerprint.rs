//! Fingerprint of a request: what two attempts of the same request have in common.

use xxhash_rust::xxh3::Xxh3;

/// Beginning of a fingerprint; no prompt part begins like it.
const PREFIX: &str = "request-";

/// Fingerprint of a request by its path with the query, its client account and its body.
///
/// The lengths of the fields keep requests apart whose fields differ only in where one ends.
pub fn fingerprint(path: &str, account: Option<&str>, body: &[u8]) -> String {
    let mut hasher = Xxh3::new();
    for field in [path.as_bytes(), account.unwrap_or_default().as_bytes(), body] {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    format!("{PREFIX}{:032x}", hasher.digest128())
}

/// Whether an identifier is the fingerprint of a request and not a prompt part.
pub fn is_fingerprint(id: &str) -> bool {
    id.starts_with(PREFIX)
}
