//! Rate limits that targets name in their answers, each for the requests of all gateways together.
//!
//! A gateway reports a limit that the leader does not list yet, and the leader lists it with the target. The
//! relay of each controller has a part of each limit by the demand of its gateways, and issues permits for it:
//! one permit is one request. A permit that is not used in time is returned. So the requests of all gateways
//! keep to the limit however many gateways there are, and the gateways that need permits get them.
//!
//! A gateway without a relay, or whose relay does not list the limit yet, keeps to its own part of it.

mod issuer;
mod notice;
mod quotas;
mod rate;
mod register;

pub use issuer::Issuer;
pub use notice::Ask;
pub use notice::Notice;
pub use quotas::Quotas;
pub use rate::Invalid;
pub use rate::Limit;
pub use rate::Rate;
pub use register::Register;
