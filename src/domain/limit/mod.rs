//! Rate limits that targets name in their answers, each for the requests of all gateways together.

mod quotas;
mod rate;

pub use quotas::Quotas;
pub use rate::Invalid;
pub use rate::Limit;
pub use rate::Rate;
