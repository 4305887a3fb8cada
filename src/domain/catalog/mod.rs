//! What operators configure for a deployment: routes, services, client accounts and limits.
//!
//! A [`Catalog`] is built from a [`Definition`] document and is valid as a whole, so that the
//! rest of the system never meets a route without a service or a key with two owners.

mod compressed;
mod document;
mod engine;
mod error;
mod lookup;
mod validate;

pub use compressed::Compressed;
pub use document::Account;
pub use document::Definition;
pub use document::Limits;
pub use document::Repeat;
pub use document::Route;
pub use document::Service;
pub use document::Share;
pub use engine::Engine;
pub use engine::Model;
pub use error::Error;
pub use lookup::Catalog;
pub use lookup::Grant;
