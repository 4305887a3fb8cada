//! Reuse of prompt prefixes that targets still hold, weighed against waiting time.
//!
//! An engine that retains the prompts it has read answers a request with the same beginning sooner, while it has
//! memory for it. Each gateway remembers which prefixes its own requests left at which target ([`Summary`]) and
//! estimates, in milliseconds, what a request costs at a target ([`Figures`]). A holder is preferred to the least
//! loaded target only if the expected saving exceeds what it costs in waiting time, for this request and for those
//! that run there. Whether an engine retains anything is learned from first-token times ([`Gain`]); where nothing
//! is retained, [`Plan`] leaves the choice to the load.
//!
//! A prefix is exactly known only at the gateway that sent the request. Summaries are not exchanged: one that is
//! lost or wrong costs prefill time and nothing else. Other gateways' prompts evict this one's, which is taken into
//! account by counting only this gateway's share of a target's memory.

mod cost;
mod gain;
mod plan;
mod prefix;
mod steering;
mod summary;

pub use cost::Figures;
pub use gain::Estimate;
pub use gain::Gain;
pub use plan::Candidate;
pub use plan::Plan;
pub use plan::Reason;
pub use prefix::Part;
pub use prefix::Prefix;
pub use steering::Measurement;
pub use steering::Steering;
pub use summary::Summary;
