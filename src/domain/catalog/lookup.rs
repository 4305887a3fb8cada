//! Valid catalog with its indexes.

use std::collections::HashMap;

use super::Account;
use super::Raw;
use super::Route;
use super::Service;

/// Valid catalog.
#[derive(Clone, Debug)]
pub struct Catalog {
    raw: Raw,
    /// Indexes of the routes of each host, longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    /// Index of the account that holds each key.
    keys: HashMap<String, usize>,
}

/// Outcome of the check of a caller's key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Grant<'a> {
    /// The key belongs to this account.
    Account(&'a Account),
    /// The route needs no key.
    Public,
    /// The key is missing or unknown.
    Denied,
}

impl Catalog {
    /// Indexes a document that was checked.
    pub(super) fn new(raw: Raw) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in raw.routes.iter().enumerate() {
            hosts
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .push(index);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|i| std::cmp::Reverse(raw.routes[*i].prefix.len()));
        }
        let mut keys = HashMap::new();
        for (index, account) in raw.accounts.iter().enumerate() {
            keys.extend(account.keys.iter().map(|key| (key.clone(), index)));
        }
        Catalog { raw, hosts, keys }
    }

    /// Document from which the catalog was built.
    pub fn raw(&self) -> &Raw {
        &self.raw
    }

    /// Version.
    pub fn version(&self) -> u64 {
        self.raw.version
    }

    /// Service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.raw.services.iter().find(|s| s.name == name)
    }

    /// Route with the longest prefix of `path` at `host`; a port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let routes = self.hosts.get(&name)?;
        let routes = routes.iter().map(|i| &self.raw.routes[*i]);
        routes.into_iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// Whether `key` may call `route`.
    pub fn grant(&self, route: &Route, key: Option<&str>) -> Grant<'_> {
        let known = key.and_then(|k| self.keys.get(k)).map(|i| &self.raw.accounts[*i]);
        if let Some(account) = known {
            return Grant::Account(account);
        }
        if route.public || !self.raw.needs_keys {
            return Grant::Public;
        }
        Grant::Denied
    }
}
