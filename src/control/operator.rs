//! Authentication of operators and validation of their changes.

use serde::Deserialize;
use serde::Serialize;
use subtle::ConstantTimeEq;

use crate::domain::environment;
use crate::domain::state::Change;
use crate::domain::state::Command;
use crate::settings::Control;

/// Longest request identifier, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Change as an operator sends it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Identifier of the request; a resend with the same one gets the first reply.
    pub request: String,
    /// Change to the configuration or to an availability zone.
    pub change: Change,
}

/// Name of the operator with `key`; all digests are compared in constant time.
pub(super) fn authenticate<'a>(settings: &'a Control, key: &str) -> Option<&'a str> {
    let digest = environment::digest_key(key);
    let mut found = None;
    for operator in &settings.operators {
        let stored_digest = operator.key_digest.to_ascii_lowercase();
        if bool::from(stored_digest.as_bytes().ct_eq(digest.as_bytes())) {
            found = Some(operator.name.as_str());
        }
    }
    found
}

/// Validates a change and returns the command that applies it.
///
/// # Errors
///
/// Text for the operator: the path of the first invalid field and the reason.
pub(super) fn validate(settings: &Control, operator: &str, request: Request) -> Result<Command, String> {
    if request.request.is_empty() || request.request.len() > MAX_REQUEST_ID_BYTES {
        return Err(format!("request: must be 1 to {MAX_REQUEST_ID_BYTES} bytes"));
    }
    let zones = &settings.availability_zones;
    match &request.change {
        Change::Submit {
            environment, text, ..
        } => {
            let document = environment::parse(text, zones).map_err(|e| e.to_string())?;
            if document.environment != *environment {
                return Err(format!("environment: is not {environment}"));
            }
        }
        Change::SetZone { zone, .. } if !zones.contains(zone) => {
            let known = zones.join(", ");
            return Err(format!("zone: unknown availability zone {zone}; known: {known}"));
        }
        _ => {}
    }
    Ok(Command::Operate {
        operator: operator.to_owned(),
        request: request.request,
        change: request.change,
    })
}
