//! Decisions of the fleet controllers.
//!
//! A controller keeps the configuration, the availability zones that are out of service
//! and the groups of VMs in the replicated log. The leader learns the VMs from their
//! heartbeats, forms and repairs groups, and tells the gateways where to send requests.
//! Formation and dissolution of a group are committed before any order that depends on
//! them, and the log index of the formation is the group's epoch, so a deposed leader's
//! late orders never match a newer group.

mod announcement;
mod call;
mod core;
mod event;
mod forming;
pub mod log_membership;
mod order;
mod place;
mod plan;
mod registry;
mod reports;
mod state;
mod table;
mod timing;

pub use announcement::Announcement;
pub use announcement::Membership;
pub use announcement::Stage;
pub use call::Answer;
pub use call::Call;
pub use call::Report;
pub use core::Core;
pub use event::Action;
pub use event::Event;
pub use event::Note;
pub use event::Ticket;
pub use forming::Loss;
pub use order::Order;
pub use order::Task;
pub use plan::Candidate;
pub use plan::Draft;
pub use plan::Supply;
pub use plan::draft;
pub use registry::Registry;
pub use registry::Vm;
pub use state::Command;
pub use state::Document;
pub use state::Group;
pub use state::Member;
pub use state::State;
pub use table::Table;
pub use table::Target;
pub use timing::Timing;
