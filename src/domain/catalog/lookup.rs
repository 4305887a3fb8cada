//! Validated catalog with indexes for routes and keys.

use std::collections::HashMap;

use super::Account;
use super::Definition;
use super::Route;
use super::Service;

/// Validated catalog.
#[derive(Clone, Debug)]
pub struct Catalog {
    definition: Definition,
    /// Positions of the routes by host name in lower case, longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    /// Position of the account that holds each key.
    keys: HashMap<String, usize>,
}

/// Result of authorizing a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Access<'a> {
    /// The key belongs to this account.
    Account(&'a Account),
    /// No known key was presented and the route requires none.
    Public,
    /// The route requires a key, and the caller's is missing or unknown.
    Denied,
}

impl Catalog {
    /// Builds the indexes of a definition that was validated.
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
        for (index, account) in definition.accounts.iter().flatten().enumerate() {
            keys.extend(account.keys.iter().map(|key| (key.clone(), index)));
        }
        Catalog {
            definition,
            hosts,
            keys,
        }
    }

    /// Definition from which the catalog was built.
    pub fn definition(&self) -> &Definition {
        &self.definition
    }

    /// Version of the definition.
    pub fn version(&self) -> u64 {
        self.definition.version
    }

    /// Service named `name`, if it is defined.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.definition.services.iter().find(|s| s.name == name)
    }

    /// Route with the longest prefix that matches `path` at `host`.
    ///
    /// Letter case and a port in `host` are ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let hostname = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let routes = self.hosts.get(&hostname)?;
        let routes = routes.iter().map(|i| &self.definition.routes[*i]);
        routes.into_iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// Checks whether a caller that presents `key` may use `route`.
    pub fn authorize(&self, route: &Route, key: Option<&str>) -> Access<'_> {
        let index = key.and_then(|k| self.keys.get(k));
        match &self.definition.accounts {
            None => Access::Public,
            Some(accounts) => match index {
                Some(index) => Access::Account(&accounts[*index]),
                None if route.public => Access::Public,
                None => Access::Denied,
            },
        }
    }
}
