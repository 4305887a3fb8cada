//! Memory that callers make a process hold: how much of it, and who is refused when it runs short.

mod budget;

pub use budget::Budget;
pub use budget::Change;
pub use budget::Id;
pub use budget::Kind;
pub use budget::SMALL;
pub use budget::Verdict;
