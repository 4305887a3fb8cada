//! Replicated log of the Raft family, as a pure state machine.
//!
//! [`Node::step`] takes the time and one event and returns the actions that the
//! driver must carry out in order. A `Persist` action precedes every message that
//! depends on it, so a driver that syncs before it sends never acknowledges
//! anything that a crash could take back.
//!
//! Source of the protocol: Ongaro, "Consensus: Bridging Theory and Practice"
//! (2014), with pre-vote (9.6), check quorum (6.2), leader lease (6.4.1),
//! leadership transfer (3.10) and single-server membership changes (4.1).

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
