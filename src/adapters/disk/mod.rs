//! Durable storage of the replicated log in one data folder.
//!
//! | file | content |
//! |---|---|
//! | `identity` | identity of this voter, written when the folder is created |
//! | `hard` | hard state: term and vote |
//! | `snapshot` | last snapshot |
//! | `log` | records after the snapshot; after a crash between the two replacements also older ones, until the next save |
//!
//! Every stored item is framed by its length and CRC-32. A file is replaced by writing
//! a new one, syncing it, renaming it over the old one and syncing the folder; only
//! `log` is also appended to. Opening truncates a torn last record of `log`. An invalid
//! record before others is an error, since it may have been acknowledged.

mod error;
mod file;
mod folder;
mod frame;

pub use error::Error;
pub use file::Files;
pub use file::Filesystem;
pub use folder::Folder;
