//! Durable storage of the replicated log in one data folder.
//!
//! | file | content |
//! |---|---|
//! | `identity` | identity of this voter, made once with the folder |
//! | `hard` | term and vote |
//! | `snapshot` | last snapshot |
//! | `log` | records after the snapshot |
//!
//! Every stored item is framed by its length and CRC-32. Small files are replaced
//! by writing a new one, syncing it, renaming it and syncing the folder. A torn
//! last record of `log` is cut off on opening; a bad record before others is an
//! error, since it may have been acknowledged.

mod error;
mod file;
mod folder;
mod frame;

pub use error::Error;
pub use file::Files;
pub use file::OsFiles;
pub use folder::Folder;
