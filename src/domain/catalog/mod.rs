//! Configuration of a deployment by its operators: routes, services, client accounts and limits.
//!
//! A [`Catalog`] is built from a [`Definition`], which is validated as a whole first. The rest of
//! the system can rely on it: every route has a service, and every key belongs to one account.

mod compressed;
mod definition;
mod difference;
mod engine;
mod error;
mod lookup;
mod review;
mod validate;

pub use compressed::Compressed;
pub use definition::Account;
pub use definition::Definition;
pub use definition::Limits;
pub use definition::Repeat;
pub use definition::Route;
pub use definition::Service;
pub use definition::Share;
pub use difference::Difference;
pub use difference::differences;
pub use engine::Engine;
pub use engine::Model;
pub use error::Error;
pub use lookup::Access;
pub use lookup::Catalog;
pub use review::Finding;
pub use review::Kind;
pub use review::review;
pub use validate::check_hosts;
