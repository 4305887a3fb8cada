//! Membership: which VMs are present, what they report, and which are slow.
//!
//! A VM announces itself to the leader of the replicated log, whose [`Registry`] serves
//! placement. The entry that owns a group probes its members and holds a [`Lease`] for each.

mod announcement;
mod lease;
mod registry;
mod straggler;

pub use announcement::Announcement;
pub use announcement::Error;
pub use announcement::Raw;
pub use announcement::Report;
pub use lease::Lease;
pub use registry::Registry;
pub use registry::Timing;
pub use registry::Vm;
pub use straggler::Straggler;
