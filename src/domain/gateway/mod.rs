//! Decisions of a gateway: where a request goes, when it is refused, when it is repeated.

mod balance;
mod budget;
mod demand;
mod events;
mod patience;
mod settings;
mod slot;

pub use balance::Balancer;
pub use balance::Choice;
pub use balance::Need;
pub use balance::Outcome;
pub use budget::Budget;
pub use demand::Demand;
pub use demand::work;
pub use events::Event;
pub use events::Splitter;
pub use patience::Patience;
pub use patience::come_back;
pub use patience::patience;
pub use settings::Settings;
