//! Rate of requests at targets that may be cold, shared by all gateways.
//!
//! An upstream tolerates few requests while it is cold, and may turn cold at any moment. So in any second the
//! requests of all gateways to one target stay within what a cold one bears. With few gateways each has a fixed
//! part of that rate. With many, a fixed part is rarely free when a request comes: a gateway then asks the relay
//! of its controller for a permit, one for each request. Each relay issues permits in proportion to the demand of
//! the gateways that report to it, counted over a sliding window, so the sum holds without messages between
//! relays. An ask may wait for a permit; asks are served by priority and arrival, each third permit goes by arrival
//! alone, and the accounts of one priority share evenly (`order`).
//!
//! Where permits run short, the relay calls the target's health check, whose answer tells whether the target is cold.
//! Requests that had arrived when a warm target received the check cannot count against it, so the count begins
//! anew. A target that has turned cold since the last check has got no more than a cold one bears.

mod ask;
mod order;
mod pacer;
mod window;

pub use ask::Ask;
pub use pacer::Check;
pub use pacer::Pacer;
pub use window::PERMIT_VALIDITY;
pub use window::WINDOW;
