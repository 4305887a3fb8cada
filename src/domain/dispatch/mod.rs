//! Dispatch of calls to replicas.
//!
//! One entry owns each replica and holds its exact number of calls in flight, its
//! ramp and the queue before it ([`Owner`]). Other entries choose an owner
//! ([`Router`]) and forward to it.

mod budget;
mod call;
mod event;
mod intake;
mod owner;
mod pick;
mod pool;
mod progress;
mod queue;
mod ramp;
mod replica;
mod router;
mod timing;

pub use budget::Budget;
pub use call::Call;
pub use call::Refusal;
pub use event::Action;
pub use event::Completion;
pub use event::Event;
pub use owner::Owner;
pub use pool::Pace;
pub use queue::Queue;
pub use ramp::Ramp;
pub use replica::Replica;
pub use router::Criteria;
pub use router::Load;
pub use router::Router;
pub use timing::Timing;
