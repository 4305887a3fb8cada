//! Validation of a catalog definition.

use std::collections::HashMap;
use std::collections::HashSet;

use super::Catalog;
use super::Definition;
use super::Error;
use super::Service;

/// Largest figure of a service that is accepted, in the figure's own unit.
const MAX_FIGURE: f64 = 1e9;

impl TryFrom<Definition> for Catalog {
    type Error = Error;

    fn try_from(definition: Definition) -> Result<Self, Error> {
        check_routes(&definition)?;
        check_keys(&definition)?;
        definition.services.iter().try_for_each(check_figures)?;
        Ok(Catalog::new(definition))
    }
}

/// Checks that each route has known services, a weight and a timeout, and a host and prefix of its own.
fn check_routes(definition: &Definition) -> Result<(), Error> {
    let services: HashSet<&str> = definition.services.iter().map(|s| s.name.as_str()).collect();
    let mut route_names: HashMap<(&str, &str), &str> = HashMap::new();
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
        if let Some(first) = route_names.insert((&route.host, &route.prefix), &route.name) {
            return Err(Error::DuplicateRoute {
                first: first.to_owned(),
                second: route.name.clone(),
            });
        }
    }
    Ok(())
}

/// Checks that no two routes have the same prefix and hosts that differ in letter case only.
///
/// Apart from the conversion to a [`Catalog`], since earlier versions have put such definitions in force.
///
/// # Errors
///
/// The first two such routes.
pub fn check_hosts(definition: &Definition) -> Result<(), Error> {
    let mut route_names: HashMap<(String, &str), &str> = HashMap::new();
    for route in &definition.routes {
        let key = (route.host.to_ascii_lowercase(), route.prefix.as_str());
        if let Some(first) = route_names.insert(key, &route.name) {
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
    for account in definition.accounts.iter().flatten() {
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

/// Checks the figures from which durations and rates are calculated.
fn check_figures(service: &Service) -> Result<(), Error> {
    let invalid = |figure| {
        Err(Error::InvalidFigure {
            service: service.name.clone(),
            figure,
        })
    };
    let is_amount = |value: f64| (0.0..=MAX_FIGURE).contains(&value);
    if !is_amount(service.cold_rate) {
        return invalid("cold rate");
    }
    let Some(engine) = &service.engine else {
        return Ok(());
    };
    if engine.slots == 0 {
        return invalid("slots");
    }
    let figures = [
        ("time of a step", engine.step_ms),
        ("time of a step for each request", engine.step_request_ms),
        ("prefill rate", engine.read_per_s),
        ("load rate", engine.loads_per_s),
        ("mean prompt", engine.mean_prompt),
        ("mean answer", engine.mean_answer),
    ];
    if let Some((figure, _)) = figures.into_iter().find(|(_, value)| !is_amount(*value)) {
        return invalid(figure);
    }
    if engine
        .models
        .iter()
        .any(|m| !is_amount(m.pace) || !is_amount(m.share))
    {
        return invalid("pace or share of a model");
    }
    Ok(())
}
