//! Paths of the calls that the system serves to upstreams and operators.

use http::Method;

/// Call of an upstream or an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call<'a> {
    /// Heartbeat of the upstream with this identifier.
    Heartbeat(&'a str),
    /// An upstream is gone.
    Leave(&'a str),
    /// A new configuration.
    Adopt,
    /// Read of the configuration.
    Read,
    /// An availability zone goes out of service.
    ZoneOut(&'a str),
    /// An availability zone comes back.
    ZoneIn(&'a str),
    /// No such call.
    Unknown,
}

/// Call that a method and path name.
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
