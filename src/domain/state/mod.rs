//! Replicated state machine: environments, availability zones, entries, replica
//! groups and the ledger of non-repeatable calls.
//!
//! [`State::apply`] is deterministic, so every control process that applies the
//! same log holds the same state. Entries hold a copy without the ledger.

mod command;
mod configuration;
mod entry;
mod group;
mod ledger;
mod machine;
mod reply;

pub use command::Change;
pub use command::Command;
pub use configuration::Configuration;
pub use configuration::Stage;
pub use configuration::Version;
pub use entry::Entry;
pub use group::Group;
pub use group::Member;
pub use ledger::Call;
pub use ledger::Ledger;
pub use ledger::Outcome;
pub use ledger::Verdict;
pub use machine::State;
pub use machine::Zone;
pub use reply::Reply;
