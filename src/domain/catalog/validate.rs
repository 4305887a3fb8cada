//! Checks of a whole document.

use std::collections::HashMap;
use std::collections::HashSet;

use super::Catalog;
use super::Error;
use super::Raw;

impl TryFrom<Raw> for Catalog {
    type Error = Error;

    fn try_from(raw: Raw) -> Result<Self, Error> {
        check_routes(&raw)?;
        check_keys(&raw)?;
        Ok(Catalog::new(raw))
    }
}

fn check_routes(raw: &Raw) -> Result<(), Error> {
    let services: HashSet<&str> = raw.services.iter().map(|s| s.name.as_str()).collect();
    let mut places: HashMap<(&str, &str), &str> = HashMap::new();
    for route in &raw.routes {
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
            return Err(Error::NoWeight(route.name.clone()));
        }
        if route.timeout_ms == 0 {
            return Err(Error::NoTimeout(route.name.clone()));
        }
        if let Some(first) = places.insert((&route.host, &route.prefix), &route.name) {
            return Err(Error::SamePlace {
                first: first.to_owned(),
                second: route.name.clone(),
            });
        }
    }
    Ok(())
}

fn check_keys(raw: &Raw) -> Result<(), Error> {
    let mut owners: HashMap<&str, &str> = HashMap::new();
    for account in &raw.accounts {
        for key in &account.keys {
            let before = owners.insert(key, &account.name);
            if let Some(first) = before.filter(|name| *name != account.name) {
                return Err(Error::SharedKey {
                    first: first.to_owned(),
                    second: account.name.clone(),
                });
            }
        }
    }
    Ok(())
}
