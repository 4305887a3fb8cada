//! Placement: which VMs form the groups that serve as replicas, which entry owns each
//! group, and the orders that tell VMs their group.

mod demand;
mod orders;
mod ownership;
mod plan;
mod rollout;
mod supply;

pub use demand::Demand;
pub use orders::Order;
pub use orders::Orders;
pub use ownership::assign_owners;
pub use plan::Context;
pub use plan::Plan;
pub use plan::Settings;
pub use plan::plan;
pub use supply::Supply;
