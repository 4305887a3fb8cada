//! The operator command `heatherramp` and its subcommands.

mod client;
mod command;
mod configuration;
mod demo;
mod environment;
mod error;
mod explain;
mod keys;
mod site;
mod standin;
mod status;
mod wait;
mod zone;

pub use command::command;
pub use command::run;
pub use error::Error;
pub use site::Site;
