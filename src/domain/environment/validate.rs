//! Parsing and validation of a document.

use std::collections::BTreeSet;

use sha2::Digest;
use sha2::Sha256;

use super::ClientAccount;
use super::Document;
use super::Error;
use super::Kind;
use crate::settings::jsonc;

/// Largest size of a document's text.
const MAX_TEXT_BYTES: usize = 256 * 1024;
/// Largest number of VMs in one replica.
const MAX_MEMBERS: usize = 64;
/// Largest number of replicas in one availability zone.
const MAX_REPLICAS: usize = 10_000;
/// Largest number of client accounts in one document.
const MAX_CLIENT_ACCOUNTS: usize = 10_000;
/// Longest name of an environment, model or client account.
const MAX_NAME_BYTES: usize = 64;

/// Parses `text` and validates every field; zones must be among `availability_zones`.
///
/// # Errors
///
/// The path of the first field that is unknown, malformed or out of range, and the reason.
pub fn parse(text: &str, availability_zones: &[String]) -> Result<Document, Error> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(Error::new("$", format!("longer than {MAX_TEXT_BYTES} bytes")));
    }
    let document: Document = jsonc::parse(text).map_err(|e| Error::new(e.path, e.reason))?;
    check_name("environment", &document.environment)?;
    check_name("model", &document.model)?;
    check_replicas(&document, availability_zones)?;
    check_client_accounts(&document.client_accounts)?;
    check_limits(&document)?;
    check_paths(&document)?;
    Ok(document)
}

/// SHA-256 of a key, as 64 lower-case hexadecimal digits.
pub fn digest_key(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|b| format!("{b:02x}")).collect()
}

fn check_name(path: &str, name: &str) -> Result<(), Error> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(is_allowed) {
        let reason = format!("must be 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'");
        return Err(Error::new(path, reason));
    }
    Ok(())
}

fn check_range(path: &str, value: usize, low: usize, high: usize) -> Result<(), Error> {
    if value < low || value > high {
        return Err(Error::new(path, format!("must be {low} to {high}, is {value}")));
    }
    Ok(())
}

fn check_replicas(document: &Document, zones: &[String]) -> Result<(), Error> {
    check_range(
        "members_per_replica",
        document.members_per_replica,
        1,
        MAX_MEMBERS,
    )?;
    if document.kind == Kind::Service && document.members_per_replica != 1 {
        return Err(Error::new("members_per_replica", "must be 1 for a service"));
    }
    check_range("trial_replicas", document.trial_replicas, 0, MAX_REPLICAS)?;
    for (zone, count) in &document.replicas_per_availability_zone {
        let path = format!("replicas_per_availability_zone.{zone}");
        if !zones.contains(zone) {
            let reason = format!("unknown availability zone; known: {}", zones.join(", "));
            return Err(Error::new(path, reason));
        }
        check_range(&path, *count, 0, MAX_REPLICAS)?;
    }
    Ok(())
}

fn check_client_accounts(client_accounts: &[ClientAccount]) -> Result<(), Error> {
    check_range("client_accounts", client_accounts.len(), 1, MAX_CLIENT_ACCOUNTS)?;
    let mut names = BTreeSet::new();
    let mut digests = BTreeSet::new();
    for (i, account) in client_accounts.iter().enumerate() {
        let path = |field: &str| format!("client_accounts[{i}].{field}");
        check_name(&path("name"), &account.name)?;
        if !names.insert(&account.name) {
            return Err(Error::new(path("name"), "is not unique"));
        }
        let is_hexadecimal = account.key_digest.chars().all(|c| c.is_ascii_hexdigit());
        if account.key_digest.len() != 64 || !is_hexadecimal {
            return Err(Error::new(path("key_digest"), "must be 64 hexadecimal digits"));
        }
        if !digests.insert(account.key_digest.to_ascii_lowercase()) {
            return Err(Error::new(
                path("key_digest"),
                "is used by another client account",
            ));
        }
        check_range(&path("share"), account.share as usize, 1, 1000)?;
        check_range(&path("max_queued"), account.max_queued, 1, 100_000)?;
    }
    Ok(())
}

fn check_limits(document: &Document) -> Result<(), Error> {
    let limits = &document.limits;
    check_range(
        "limits.in_flight_per_replica",
        limits.in_flight_per_replica,
        1,
        4096,
    )?;
    let warm = limits.in_flight_per_replica;
    check_range("limits.in_flight_cold", limits.in_flight_cold, 1, warm)?;
    check_range("limits.warmup_calls", limits.warmup_calls as usize, 0, 10_000)?;
    check_range("limits.queue", limits.queue, 1, 100_000)?;
    check_range("limits.queue_ms", limits.queue_ms as usize, 1, 600_000)?;
    check_range("limits.request_ms", limits.request_ms as usize, 100, 3_600_000)?;
    check_range("limits.stall_ms", limits.stall_ms as usize, 50, 600_000)?;
    check_range("limits.body_bytes", limits.body_bytes, 1, 16 << 20)
}

fn check_paths(document: &Document) -> Result<(), Error> {
    for (i, path) in document.non_repeatable_paths.iter().enumerate() {
        if !path.starts_with('/') {
            let field = format!("non_repeatable_paths[{i}]");
            return Err(Error::new(field, "must start with '/'"));
        }
    }
    Ok(())
}
