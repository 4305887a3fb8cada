//! Prompt parts that end every upstream that answers them.
//!
//! Gateways witness crashes of targets and sound runs of prompt parts; the leader weighs the evidence of
//! all of them. A part is guilty when it explains several crashes that nothing else explains better, and
//! has not run soundly since. Requests of many callers share parts and targets, so a part is never
//! blamed for being in a crash once.

mod blame;
mod report;
mod witness;

pub use blame::Blame;
pub use report::Crash;
pub use report::Evidence;
pub use witness::Witness;
