//! Valid catalog with its indexes.

use std::collections::HashMap;

use super::Account;
use super::Definition;
use super::Route;
use super::Service;

/// Valid catalog.
#[derive(Clone, Debug)]
pub struct Catalog {
    definition: Definition,
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
    pub(super) fn new(definition: Definition) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in definition.routes.iter().enumerate() {
            hosts
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .push(index);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|i| std::cmp::Reverse(definition.routes[*i].prefix.len()));
        }
        let mut keys = HashMap::new();
        for (index, account) in definition.accounts.iter().enumerate() {
            keys.extend(account.keys.iter().map(|key| (key.clone(), index)));
        }
        Catalog {
            definition,
            hosts,
            keys,
        }
    }

    /// Document from which the catalog was built.
    pub fn definition(&self) -> &Definition {
        &self.definition
    }

    /// Version.
    pub fn version(&self) -> u64 {
        self.definition.version
    }

    /// Service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.definition.services.iter().find(|s| s.name == name)
    }

    /// Route with the longest prefix of `path` at `host`; a port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let routes = self.hosts.get(&name)?;
        let routes = routes.iter().map(|i| &self.definition.routes[*i]);
        routes.into_iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// Whether `key` may call `route`.
    pub fn grant(&self, route: &Route, key: Option<&str>) -> Grant<'_> {
        let known = key
            .and_then(|k| self.keys.get(k))
            .map(|i| &self.definition.accounts[*i]);
        if let Some(account) = known {
            return Grant::Account(account);
        }
        if route.public || !self.definition.needs_keys {
            return Grant::Public;
        }
        Grant::Denied
    }
}
