//! Decisions of a gateway: load balancing, admission and retries.

mod admission;
mod balance;
mod budget;
mod demand;
mod events;
mod limits;
mod links;
mod locality;
mod pacing;
mod reach;
mod refusals;
mod settings;
mod steer;
mod tracker;

pub use admission::Admission;
pub use admission::admission_limits;
pub use admission::retry_after;
pub use balance::Balancer;
pub use balance::Choice;
pub use balance::Criteria;
pub use balance::Notice;
pub use balance::Outcome;
pub use budget::Budget;
pub use demand::Demand;
pub use demand::group_time;
pub use events::Event;
pub use events::Splitter;
pub use links::DIAL_TIME;
pub use locality::Place;
pub use reach::Change;
pub use reach::Reach;
pub use reach::Way;
pub use refusals::Refusals;
pub use settings::Settings;
