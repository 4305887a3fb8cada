//! Configuration of a deployment by its operators: routes, services, client accounts and limits.
//!
//! A [`Catalog`] is built from a [`Definition`], which is validated as a whole first. The rest of
//! the system can rely on it: every route has a service, and every key belongs to one account.

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
pub use lookup::Access;
pub use lookup::Catalog;
