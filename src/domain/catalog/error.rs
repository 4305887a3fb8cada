//! Why a catalog is refused.

use std::fmt;

/// First fault of a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// A route sends requests to a service that is not listed.
    UnknownService {
        /// Route.
        route: String,
        /// Service that it names.
        service: String,
    },
    /// Two routes have the same host and prefix.
    SamePlace {
        /// The first route.
        first: String,
        /// The second route.
        second: String,
    },
    /// The weights of a route add up to 0.
    NoWeight(String),
    /// A route's timeout is 0.
    NoTimeout(String),
    /// Two client accounts share a key.
    SharedKey {
        /// The first account.
        first: String,
        /// The second account.
        second: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::UnknownService { route, service } => {
                write!(f, "route {route}: no service {service}")
            }
            Error::SamePlace { first, second } => {
                write!(f, "routes {first} and {second} have the same host and prefix")
            }
            Error::NoWeight(route) => write!(f, "route {route}: weights add up to 0"),
            Error::NoTimeout(route) => write!(f, "route {route}: timeout is 0"),
            Error::SharedKey { first, second } => {
                write!(f, "client accounts {first} and {second} share a key")
            }
        }
    }
}

impl std::error::Error for Error {}
