//! Rate that a target names, and the limit that follows from it.

use std::error::Error;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Lowest rate at which requests go to a target, in requests per second.
const MIN_PER_S: f64 = 0.1;
/// Highest rate that is told apart from no limit, in requests per second.
const MAX_PER_S: f64 = 1e9;

/// Rate of requests, in thousandths of a request per second.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Rate(u64);

impl Rate {
    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1_000.0
    }

    /// Requests per second that go to a target with this limit: without any, it could not name another one.
    pub fn allowed_per_second(self) -> f64 {
        self.per_second().max(MIN_PER_S)
    }
}

/// Number that is no rate: negative, infinite or not a number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Invalid;

impl fmt::Display for Invalid {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("not a rate of requests")
    }
}

impl Error for Invalid {}

/// Takes requests per second.
impl TryFrom<f64> for Rate {
    type Error = Invalid;

    fn try_from(per_second: f64) -> Result<Self, Invalid> {
        if !per_second.is_finite() || per_second < 0.0 {
            return Err(Invalid);
        }
        Ok(Rate((per_second.min(MAX_PER_S) * 1_000.0) as u64))
    }
}

/// Limit of one target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Limit {
    /// The target names no limit.
    Unlimited,
    /// The target takes at most this rate from all gateways together.
    AtMost(Rate),
}

impl Limit {
    /// Rate of the limit, if there is one.
    pub fn rate(self) -> Option<Rate> {
        match self {
            Limit::Unlimited => None,
            Limit::AtMost(rate) => Some(rate),
        }
    }
}
