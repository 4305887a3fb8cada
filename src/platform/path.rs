//! Paths of the calls that the system serves to upstreams and operators.
//!
//! A name in a path is percent-encoded where it has other characters than a path may have; it is decoded here, so that
//! all spellings of a name are the same.

use std::borrow::Cow;

use http::Method;
use percent_encoding::percent_decode_str;

/// Call of an upstream or an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call<'a> {
    /// Heartbeat of the upstream with this identifier.
    Heartbeat(Cow<'a, str>),
    /// Removal of the upstream with this identifier.
    Leave(Cow<'a, str>),
    /// Upload of a new configuration.
    Adopt,
    /// Read of the current configuration.
    Read,
    /// Withdrawal of the availability zone with this name from service.
    ZoneOut(Cow<'a, str>),
    /// Return of the availability zone with this name to service.
    ZoneIn(Cow<'a, str>),
    /// A call whose name cannot be decoded, and why.
    Invalid(&'static str),
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
            Method::PUT => with_name(id, Call::Heartbeat),
            Method::DELETE => with_name(id, Call::Leave),
            _ => Call::Unknown,
        };
    }
    if let Some(zone) = path.strip_prefix("/evacuations/") {
        return match *method {
            Method::POST => with_name(zone, Call::ZoneOut),
            Method::DELETE => with_name(zone, Call::ZoneIn),
            _ => Call::Unknown,
        };
    }
    Call::Unknown
}

/// Call with the decoded name.
fn with_name<'a>(text: &'a str, call: impl FnOnce(Cow<'a, str>) -> Call<'a>) -> Call<'a> {
    if text.is_empty() {
        return Call::Invalid("the name in the path is empty");
    }
    if !has_whole_escapes(text) {
        return Call::Invalid("the name in the path has an invalid escape");
    }
    match percent_decode_str(text).decode_utf8() {
        Ok(name) => call(name),
        Err(_) => Call::Invalid("the name in the path is not UTF-8"),
    }
}

/// Whether two hexadecimal digits follow each percent sign; the decoder leaves others as they stand.
fn has_whole_escapes(text: &str) -> bool {
    let mut escapes = text.split('%').skip(1);
    escapes.all(|rest| {
        let digits = rest.as_bytes().first_chunk::<2>();
        digits.is_some_and(|digits| digits.iter().all(u8::is_ascii_hexdigit))
    })
}
