//! Environment documents: schema, parsing and validation.
//!
//! Operators write documents as JSON with comments. A document is validated as a whole
//! before it is accepted; an error names the path of the invalid field.

mod document;
mod error;
mod validate;

pub use document::ClientAccount;
pub use document::Document;
pub use document::Kind;
pub use document::Limits;
pub use document::Weights;
pub use error::Error;
pub use validate::digest_key;
pub use validate::parse;
