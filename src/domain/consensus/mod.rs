//! Raft, as a state machine without I/O.
//!
//! [`Node::step`] takes the current time and one event and returns the actions
//! that the driver must execute in order. [`Action::SaveHardState`],
//! [`Action::SaveRecords`] and [`Action::SaveSnapshot`] precede every message that
//! depends on them, so a driver that syncs each write before it goes on never
//! acknowledges anything that a crash could undo.
//!
//! The protocol follows Ongaro, "Consensus: Bridging Theory and Practice" (2014),
//! with these extensions, by section: pre-vote (9.6), check quorum (6.2), leader
//! lease (6.4.1), leadership transfer (3.10) and single-server membership changes
//! (4.1).

mod election;
mod invariant;
mod journal;
mod message;
mod node;
mod record;
mod replication;
mod timing;

pub use journal::Journal;
pub use message::Message;
pub use node::Action;
pub use node::Event;
pub use node::Node;
pub use node::Recovery;
pub use node::Role;
pub use record::HardState;
pub use record::Payload;
pub use record::Record;
pub use record::Snapshot;
pub use timing::Timing;
