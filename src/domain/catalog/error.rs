//! Reasons for which a catalog definition is rejected.

use std::fmt;

/// First fault found in a catalog definition.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// A route refers to a service that is not defined.
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the missing service.
        service: String,
    },
    /// Two routes have the same host and prefix.
    DuplicateRoute {
        /// Name of the first route.
        first: String,
        /// Name of the second route.
        second: String,
    },
    /// The weights of the named route add up to 0.
    ZeroWeight(String),
    /// The timeout of the named route is 0.
    ZeroTimeout(String),
    /// A figure of a service or its engine is negative or too large, or the engine has no slots.
    InvalidFigure {
        /// Name of the service.
        service: String,
        /// Name of the figure.
        figure: &'static str,
    },
    /// Two client accounts share a key.
    SharedKey {
        /// Name of the first account.
        first: String,
        /// Name of the second account.
        second: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::UnknownService { route, service } => {
                write!(f, "route {route}: no service {service}")
            }
            Error::DuplicateRoute { first, second } => {
                write!(f, "routes {first} and {second} have the same host and prefix")
            }
            Error::ZeroWeight(route) => write!(f, "route {route}: weights add up to 0"),
            Error::ZeroTimeout(route) => write!(f, "route {route}: timeout is 0"),
            Error::InvalidFigure { service, figure } => {
                write!(f, "service {service}: invalid value of {figure}")
            }
            Error::SharedKey { first, second } => {
                write!(f, "client accounts {first} and {second} share a key")
            }
        }
    }
}

impl std::error::Error for Error {}
