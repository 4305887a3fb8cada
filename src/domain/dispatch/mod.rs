//! Dispatch of calls to replicas.
//!
//! Each replica has one owner, an entry. The owner tracks the exact number of calls in
//! flight at the replica, its concurrency limit and the queue of calls that wait for it
//! ([`Owner`]). Other entries choose an owner ([`Router`]) and forward calls to it.

mod admission;
mod budget;
mod call;
mod event;
mod health;
mod owner;
mod pool;
mod queue;
mod ramp;
mod replica;
mod router;
mod selection;
mod timing;

pub use budget::Budget;
pub use call::Call;
pub use call::Refusal;
pub use event::Action;
pub use event::Completion;
pub use event::Event;
pub use owner::Owner;
pub use pool::Latency;
pub use queue::Queue;
pub use ramp::Ramp;
pub use replica::Replica;
pub use router::Criteria;
pub use router::Load;
pub use router::Router;
pub use timing::Timing;
