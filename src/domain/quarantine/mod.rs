//! Prompt parts that end every upstream that answers them.
//!
//! Gateways observe crashes of targets and sound runs of prompt parts; the leader weighs the evidence of
//! all of them. A part is a culprit when it explains several crashes that nothing else explains better, and
//! has not run soundly since. Requests of many callers share parts and targets, so a part is never
//! a culprit for being in a crash once.

mod attribution;
mod fingerprint;
mod observations;
mod report;
mod undecided;

pub use attribution::Attribution;
pub use fingerprint::fingerprint;
pub use fingerprint::is_fingerprint;
pub use observations::Observations;
pub use report::Crash;
pub use report::Evidence;
pub use undecided::Fate;
pub use undecided::Undecided;
