//! Heads of answers.

use http::StatusCode;

/// Whether a final answer can have this status; 101 is one only for a caller that has asked for it.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
