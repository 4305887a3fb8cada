//! Decisions of the fleet controllers, free of I/O.
//!
//! The replicated log holds the catalog, the availability zones that are out of service
//! and the groups of VMs. The leader discovers VMs through their heartbeats, forms and
//! repairs groups, and sends the gateways the targets for their requests.
//!
//! A group is a set of VMs in one fabric domain that serve one model together; its first member, the
//! head, accepts the requests. A spare is a free VM whose host has the weights of a model, or loads
//! them.
//!
//! Gateways call the controller in their availability zone, and VMs a gateway there. Heartbeats with new
//! content are passed on at once, the others as renewals with the gateway's next report. The relay of each
//! controller passes on what it has heard in one digest for all of them, so the leader's work grows with
//! what changes and with the number of controllers, not with the number of gateways.
//!
//! Formation and dissolution of a group are committed before any order that depends on
//! them. The log index of the formation is the group's epoch, so a late order of a
//! former leader never matches a newer group.

mod announcement;
mod attachment;
mod call;
mod callers;
mod confirmation;
mod contact;
mod core;
mod digests;
mod effect;
mod event;
mod fate;
mod groups;
mod heard;
mod heartbeats;
mod helper;
mod intake;
mod leave;
mod lifecycle;
pub mod log_membership;
mod opening;
mod order;
mod pacing;
mod permits;
mod plan;
mod proof;
mod quarantine;
mod reconciliation;
mod registry;
mod relay;
mod replication;
mod reports;
mod routing;
mod state;
mod target_log;
mod timing;
mod version;
mod view;

pub use announcement::Announcement;
pub use announcement::Membership;
pub use announcement::Stage;
pub use attachment::Attachment;
pub use attachment::Choice;
pub use attachment::Outcome;
pub use attachment::Verdict;
pub use attachment::is_path_dead;
pub use call::Answer;
pub use call::Call;
pub use call::Digest;
pub use call::Heard;
pub use call::Place;
pub use call::Renewal;
pub use call::Report;
pub use confirmation::Confirmation;
pub use contact::Contact;
pub use contact::Probe;
pub use contact::Reply;
pub use core::Core;
pub use effect::Phase;
pub use event::Action;
pub use event::Event;
pub use event::Telemetry;
pub use event::Ticket;
pub use heartbeats::Handling;
pub use heartbeats::Heartbeats;
pub use helper::Helper;
pub use helper::Helpers;
pub use intake::Admission;
pub use intake::Arrival;
pub use intake::Intake;
pub use intake::Limits as IntakeLimits;
pub use intake::Reason;
pub use order::Order;
pub use order::Task;
pub use plan::Candidate;
pub use plan::Decision;
pub use plan::Supply;
pub use plan::next_decision;
pub use registry::Predecessor;
pub use registry::Registry;
pub use registry::Vm;
pub use relay::Input;
pub use relay::Relay;
pub use routing::Controller;
pub use routing::Overview;
pub use routing::Table;
pub use routing::Target;
pub use routing::share;
pub use state::Command;
pub use state::Document;
pub use state::Group;
pub use state::Member;
pub use state::State;
pub use target_log::TargetLog;
pub use target_log::Update;
pub use timing::Timing;
pub use view::Loss;
