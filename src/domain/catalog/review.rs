//! Review of a valid definition: what the validation accepts, but hardly anybody can have meant.
//!
//! Routes are judged as [`Catalog::route`](super::Catalog::route) looks them up.

use std::collections::HashMap;
use std::collections::HashSet;

use super::Account;
use super::Definition;
use super::Limits;
use super::Repeat;
use super::Route;
use super::Service;

/// Least urgent priority that engines know.
const MAX_RANK: u8 = 9;
/// VMs of the largest deployment that the system is built for.
const MAX_VMS: usize = 6_800;
/// Characters that no path of a request contains.
const NOT_IN_PATHS: [char; 3] = ['?', '#', ' '];
/// Characters that no host name of a request contains; a port is cut off before the comparison.
const NOT_IN_HOSTS: [char; 5] = [':', '/', '*', '@', ' '];

/// Size from which gateways refuse a request head whatever the catalog allows.
const MAX_HEAD_BYTES: usize = 1_000_000;

/// Kind of a finding.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// No request reaches the route.
    Unreachable,
    /// Nobody can use the account, or one of its keys.
    Key,
    /// A figure contradicts another one or has no effect.
    Limit,
}

impl Kind {
    /// Name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Unreachable => "unreachable",
            Kind::Key => "key",
            Kind::Limit => "limit",
        }
    }
}

/// Something that is probably not meant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Kind.
    pub kind: Kind,
    /// What it is about, such as `route notes`.
    pub path: String,
    /// What is wrong with it.
    pub reason: String,
}

/// Findings on a definition that was validated, in the order of the definition.
pub fn review(definition: &Definition) -> Vec<Finding> {
    let mut findings = Vec::new();
    review_reach(&definition.routes, &mut findings);
    for route in &definition.routes {
        let path = format!("route {}", route.name);
        findings.extend(limit_reasons(route, &definition.services).map(|r| finding(Kind::Limit, &path, r)));
    }
    for account in definition.accounts.iter().flatten() {
        let path = format!("account {}", account.name);
        findings.extend(key_reason(account).map(|r| finding(Kind::Key, &path, r.to_owned())));
        let rank = account.rank.and_then(rank_reason);
        findings.extend(rank.map(|r| finding(Kind::Limit, &path, r)));
    }
    findings.extend(size_reasons(&definition.limits).map(|r| finding(Kind::Limit, "limits", r.to_owned())));
    findings
}

fn finding(kind: Kind, path: &str, reason: String) -> Finding {
    Finding {
        kind,
        path: path.to_owned(),
        reason,
    }
}

/// Finds the routes that no request reaches.
fn review_reach(routes: &[Route], findings: &mut Vec<Finding>) {
    // The first of several routes with the same host, in any letter case, and prefix is found.
    let mut first_routes: HashMap<(String, &str), &str> = HashMap::new();
    for route in routes {
        let key = (route.host.to_ascii_lowercase(), route.prefix.as_str());
        first_routes.entry(key).or_insert(&route.name);
    }
    let mut seen: HashSet<(String, &str)> = HashSet::new();
    for route in routes {
        let host = route.host.to_ascii_lowercase();
        let reason = if let Some(c) = route.host.chars().find(|c| NOT_IN_HOSTS.contains(c)) {
            Some(format!("never matches: no host name contains '{c}'"))
        } else if let Some(c) = route.prefix.chars().find(|c| NOT_IN_PATHS.contains(c)) {
            Some(format!("never matches: no path contains '{c}'"))
        } else if !route.prefix.is_empty() && !route.prefix.starts_with('/') {
            Some("never matches: all paths start with '/'".to_owned())
        } else if !seen.insert((host.clone(), &route.prefix)) {
            let first = first_routes[&(host, route.prefix.as_str())];
            Some(format!(
                "is shadowed by route {first}, with the same host and prefix"
            ))
        } else if route.prefix.is_empty() {
            let root = first_routes.get(&(host, "/"));
            root.map(|first| format!("is shadowed by route {first}: its prefix '/' matches all paths"))
        } else {
            None
        };
        let path = format!("route {}", route.name);
        findings.extend(reason.map(|r| finding(Kind::Unreachable, &path, r)));
    }
}

/// Contradictions among the figures of a route.
fn limit_reasons<'a>(route: &'a Route, services: &'a [Service]) -> impl Iterator<Item = String> + use<'a> {
    let timeout_ms = route.timeout_ms;
    let above_timeout = |name: &str, ms: u64| {
        (ms > timeout_ms).then(|| format!("{name} of {ms} ms is above the timeout of {timeout_ms} ms"))
    };
    let most_targets = most_targets(route, services);
    let sends = match (route.max_sends, route.repeat) {
        (0, _) => Some("no send is allowed, which counts as one".to_owned()),
        (2.., Repeat::Once) => Some(format!(
            "{} sends are allowed, but its requests run at most once",
            route.max_sends
        )),
        (1, Repeat::Resumable) => Some("its streams resume, but only one send is allowed".to_owned()),
        (sends, _) if sends as usize > most_targets => Some(format!(
            "{sends} sends are allowed, but at most {most_targets} targets can exist"
        )),
        _ => None,
    };
    let reasons = [
        above_timeout("the latency objective", route.goal_ms),
        route
            .gap_ms
            .and_then(|ms| above_timeout("the objective for pauses", ms)),
        sends,
        rank_reason(route.rank),
    ];
    reasons.into_iter().flatten()
}

/// Most targets that can exist for a route: the largest deployment's VMs, in groups if an engine serves it.
fn most_targets(route: &Route, services: &[Service]) -> usize {
    let shares = route.shares.iter().filter(|s| s.weight > 0);
    let services = shares.filter_map(|share| services.iter().find(|s| s.name == share.service));
    let group_size = |service: &Service| {
        let engine = service.engine.as_ref();
        let smallest = engine.and_then(|e| e.models.iter().map(|m| m.size).min());
        smallest.unwrap_or(1).max(1)
    };
    MAX_VMS / services.map(group_size).min().unwrap_or(1)
}

fn rank_reason(rank: u8) -> Option<String> {
    (rank > MAX_RANK).then(|| format!("priority {rank} is out of range: 0 to {MAX_RANK}"))
}

/// Why some of an account's keys are of no use. A presented key is compared without white space around it.
fn key_reason(account: &Account) -> Option<&'static str> {
    if account.keys.is_empty() {
        return Some("has no key, so that no caller belongs to it");
    }
    let is_presentable = |key: &String| {
        let is_text = key.bytes().all(|b| (b' '..=b'~').contains(&b));
        is_text && !key.is_empty() && key.trim() == key
    };
    let reason = "has a key that no caller can present: empty, with spaces around it or not of visible ASCII";
    (!account.keys.iter().all(is_presentable)).then_some(reason)
}

fn size_reasons(limits: &Limits) -> impl Iterator<Item = &'static str> + use<> {
    let head = match limits.head_bytes {
        0 => Some("no request head is small enough"),
        MAX_HEAD_BYTES.. => Some("request heads of a million bytes are refused all the same"),
        _ => None,
    };
    let body = (limits.body_bytes == 0).then_some("every request with a body is refused");
    head.into_iter().chain(body)
}
