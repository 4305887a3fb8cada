//! Numbered log events.
//!
//! Every line that a daemon logs belongs to an [`Event`]; docs/LOG-EVENTS.md lists
//! them. The environment variable `RUST_LOG` sets the level.

mod catalogue;
mod event;
mod json;
mod queue;
mod timeline;

pub use catalogue::*;
pub use event::Event;
pub use event::optional;
pub use json::start_json;
pub use queue::Queue;
pub use timeline::Line;
pub use timeline::timeline;

/// Starts logging to standard error, as lines of text.
pub fn start_text() {
    let environment = env_logger::Env::default().default_filter_or("info");
    let _ = env_logger::Builder::from_env(environment)
        .format_timestamp_millis()
        .try_init();
}
