//! Validation of a catalog definition.

use std::collections::HashMap;
use std::collections::HashSet;

use super::Catalog;
use super::Definition;
use super::Error;

impl TryFrom<Definition> for Catalog {
    type Error = Error;

    fn try_from(definition: Definition) -> Result<Self, Error> {
        check_routes(&definition)?;
        check_keys(&definition)?;
        Ok(Catalog::new(definition))
    }
}

/// Checks that each route has known services, a weight and a timeout, and a host and prefix of its own.
fn check_routes(definition: &Definition) -> Result<(), Error> {
    let services: HashSet<&str> = definition.services.iter().map(|s| s.name.as_str()).collect();
    let mut locations: HashMap<(&str, &str), &str> = HashMap::new();
    for route in &definition.routes {
        if let Some(share) = route
            .shares
            .iter()
            .find(|s| !services.contains(s.service.as_str()))
        {
            return Err(Error::UnknownService {
                route: route.name.clone(),
                service: share.service.clone(),
            });
        }
        if route.shares.iter().all(|s| s.weight == 0) {
            return Err(Error::ZeroWeight(route.name.clone()));
        }
        if route.timeout_ms == 0 {
            return Err(Error::ZeroTimeout(route.name.clone()));
        }
        if let Some(first) = locations.insert((&route.host, &route.prefix), &route.name) {
            return Err(Error::DuplicateRoute {
                first: first.to_owned(),
                second: route.name.clone(),
            });
        }
    }
    Ok(())
}

/// Checks that no key belongs to two accounts.
fn check_keys(definition: &Definition) -> Result<(), Error> {
    let mut owners: HashMap<&str, &str> = HashMap::new();
    for account in &definition.accounts {
        for key in &account.keys {
            let previous_owner = owners.insert(key, &account.name);
            if let Some(first) = previous_owner.filter(|name| *name != account.name) {
                return Err(Error::SharedKey {
                    first: first.to_owned(),
                    second: account.name.clone(),
                });
            }
        }
    }
    Ok(())
}
