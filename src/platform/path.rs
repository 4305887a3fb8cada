//! Paths of the calls that the system serves to upstreams and operators.

use http::Method;

/// Call of an upstream or an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call<'a> {
    /// Heartbeat of the upstream with this identifier.
    Heartbeat(&'a str),
    /// Removal of the upstream with this identifier.
    Leave(&'a str),
    /// Upload of a new configuration.
    Adopt,
    /// Read of the current configuration.
    Read,
    /// Withdrawal of the availability zone with this name from service.
    ZoneOut(&'a str),
    /// Return of the availability zone with this name to service.
    ZoneIn(&'a str),
    /// No known call has this method and path.
    Unknown,
}

/// Identifies a call by its method and path.
pub fn parse<'a>(method: &Method, path: &'a str) -> Call<'a> {
    if path == "/configuration" {
        return match *method {
            Method::PUT => Call::Adopt,
            Method::GET => Call::Read,
            _ => Call::Unknown,
        };
    }
    if let Some(id) = path.strip_prefix("/replicas/") {
        return match *method {
            Method::PUT => Call::Heartbeat(id),
            Method::DELETE => Call::Leave(id),
            _ => Call::Unknown,
        };
    }
    if let Some(zone) = path.strip_prefix("/evacuations/") {
        return match *method {
            Method::POST => Call::ZoneOut(zone),
            Method::DELETE => Call::ZoneIn(zone),
            _ => Call::Unknown,
        };
    }
    Call::Unknown
}
