//! The data folder of one voter.

use std::path::Path;
use std::path::PathBuf;

use error_stack::Report;
use error_stack::ResultExt;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Error;
use super::Files;
use super::frame;
use super::frame::Item;
use crate::domain::consensus::HardState;
use crate::domain::consensus::Record;
use crate::domain::consensus::Recovery;
use crate::domain::consensus::Snapshot;

/// Open data folder.
#[derive(Debug)]
pub struct Folder<F> {
    files: F,
    path: PathBuf,
    /// Index and end position in the file of each record in `log`.
    ends: Vec<(u64, u64)>,
    base: u64,
    /// Whether a failed write may have left bytes behind the last record.
    is_dirty: bool,
}

impl<F: Files> Folder<F> {
    /// Writes the identity and the first members of a new voter.
    ///
    /// `voters` is empty for a voter that joins an existing group as a learner.
    ///
    /// # Errors
    ///
    /// `Exists` when the folder is in use, `Write` when it cannot be written.
    pub fn create(files: F, path: &Path, identity: &str, voters: &[String]) -> Result<(), Report<Error>> {
        let existing = files.read(&path.join("identity")).change_context(Error::Read)?;
        if existing.is_some() {
            return Err(Report::new(Error::Exists));
        }
        let snapshot = Snapshot {
            index: 0,
            term: 0,
            voters: voters.to_vec(),
            learners: Vec::new(),
            state: String::new(),
        };
        let mut folder = Folder {
            files,
            path: path.to_owned(),
            ends: Vec::new(),
            base: 0,
            is_dirty: false,
        };
        folder.replace("snapshot", &snapshot)?;
        folder.replace("hard", &HardState::default())?;
        // The identity comes last: with it the folder counts as complete.
        folder.replace("identity", &identity.to_owned())
    }

    /// Opens a folder and reads what a node restarts from.
    ///
    /// # Errors
    ///
    /// `Empty` without an identity, `Damaged` for bad items, `Read` and `Write` for
    /// failures of the file system.
    pub fn open(files: F, path: &Path) -> Result<(Self, String, Recovery), Report<Error>> {
        let mut folder = Folder {
            files,
            path: path.to_owned(),
            ends: Vec::new(),
            base: 0,
            is_dirty: false,
        };
        let identity: String = folder.load("identity")?;
        let hard = folder.load("hard")?;
        let snapshot: Snapshot = folder.load("snapshot")?;
        folder.base = snapshot.index;
        let records = folder.load_records(&snapshot)?;
        let restart = Recovery {
            hard_state: hard,
            snapshot,
            records,
        };
        Ok((folder, identity, restart))
    }

    /// Makes term and vote durable.
    ///
    /// # Errors
    ///
    /// `Write`: the voter must stop.
    pub fn save_hard_state(&mut self, hard: &HardState) -> Result<(), Report<Error>> {
        self.replace("hard", hard)
    }

    /// Makes records durable after dropping those from the first one's index on.
    ///
    /// # Errors
    ///
    /// `Write`: the voter must stop, or repeat the call until it succeeds.
    pub fn save_records(&mut self, records: &[Record]) -> Result<(), Report<Error>> {
        let Some(first) = records.first() else {
            return Ok(());
        };
        let path = self.path.join("log");
        self.cut(first.index)?;
        let mut position = self.ends.last().map_or(0, |(_, end)| *end);
        if self.is_dirty {
            self.files
                .truncate(&path, position)
                .change_context(Error::Write)?;
        }
        let is_new = position == 0;
        let mut bytes = Vec::new();
        let mut ends = Vec::new();
        for record in records {
            let before = bytes.len();
            frame::encode(&mut bytes, &encode(record));
            position += (bytes.len() - before) as u64;
            ends.push((record.index, position));
        }
        self.is_dirty = true;
        self.files.append(&path, &bytes).change_context(Error::Write)?;
        self.files.sync(&path).change_context(Error::Write)?;
        if is_new {
            self.files.sync_folder(&self.path).change_context(Error::Write)?;
        }
        self.is_dirty = false;
        self.ends.extend(ends);
        Ok(())
    }

    /// Makes a snapshot durable and drops the records before it.
    ///
    /// # Errors
    ///
    /// `Write`: the voter must stop.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot, rest: &[Record]) -> Result<(), Report<Error>> {
        self.replace("snapshot", snapshot)?;
        self.base = snapshot.index;
        // A crash from here on leaves old records, which opening passes over.
        let mut ends = Vec::new();
        let mut bytes = Vec::new();
        for record in rest {
            frame::encode(&mut bytes, &encode(record));
            ends.push((record.index, bytes.len() as u64));
        }
        self.replace_bytes("log", &bytes)?;
        self.ends = ends;
        self.is_dirty = false;
        Ok(())
    }

    fn cut(&mut self, index: u64) -> Result<(), Report<Error>> {
        let kept = self.ends.iter().take_while(|(i, _)| *i < index).count();
        if kept == self.ends.len() {
            return Ok(());
        }
        let length = kept.checked_sub(1).map_or(0, |last| self.ends[last].1);
        let path = self.path.join("log");
        self.files.truncate(&path, length).change_context(Error::Write)?;
        self.files.sync(&path).change_context(Error::Write)?;
        self.ends.truncate(kept);
        Ok(())
    }

    fn load_records(&mut self, snapshot: &Snapshot) -> Result<Vec<Record>, Report<Error>> {
        let path = self.path.join("log");
        let bytes = self
            .files
            .read(&path)
            .change_context(Error::Read)?
            .unwrap_or_default();
        let mut rest = bytes.as_slice();
        let mut records: Vec<Record> = Vec::new();
        loop {
            match frame::decode(rest) {
                Item::End => break,
                Item::Torn => {
                    let end = self.ends.last().map_or(0, |(_, end)| *end);
                    refuse_hidden_records(rest)?;
                    self.files.truncate(&path, end).change_context(Error::Write)?;
                    self.files.sync(&path).change_context(Error::Write)?;
                    break;
                }
                Item::Whole(item, after) => {
                    rest = after;
                    let record: Record = decode(item)?;
                    self.ends.push((record.index, (bytes.len() - rest.len()) as u64));
                    records.push(record);
                }
            }
        }
        let follows = records.windows(2).all(|w| w[1].index == w[0].index + 1);
        let starts = records.first().is_none_or(|r| r.index <= snapshot.index + 1);
        if !follows || !starts {
            return Err(Report::new(Error::Damaged).attach("log has a gap"));
        }
        Ok(records)
    }

    fn load<T: DeserializeOwned>(&self, name: &str) -> Result<T, Report<Error>> {
        let bytes = self
            .files
            .read(&self.path.join(name))
            .change_context(Error::Read)?;
        let Some(bytes) = bytes else {
            let missing = if name == "identity" {
                Error::Empty
            } else {
                Error::Damaged
            };
            return Err(Report::new(missing).attach(format!("no file {name}")));
        };
        match frame::decode(&bytes) {
            Item::Whole(item, _) => decode(item),
            _ => Err(Report::new(Error::Damaged).attach(format!("file {name}"))),
        }
    }

    fn replace<T: Serialize>(&mut self, name: &str, value: &T) -> Result<(), Report<Error>> {
        let mut bytes = Vec::new();
        frame::encode(&mut bytes, &encode(value));
        self.replace_bytes(name, &bytes)
    }

    fn replace_bytes(&mut self, name: &str, bytes: &[u8]) -> Result<(), Report<Error>> {
        let path = self.path.join(name);
        let fresh = self.path.join(format!("{name}.new"));
        self.files.write(&fresh, bytes).change_context(Error::Write)?;
        self.files.sync(&fresh).change_context(Error::Write)?;
        self.files.rename(&fresh, &path).change_context(Error::Write)?;
        self.files.sync_folder(&self.path).change_context(Error::Write)
    }
}

/// Refuses a torn item that whole ones follow: it was not the last write.
fn refuse_hidden_records(torn: &[u8]) -> Result<(), Report<Error>> {
    let Some(head) = torn.first_chunk::<4>() else {
        return Ok(());
    };
    let length = u32::from_le_bytes(*head) as usize;
    let after = torn.get(8 + length..).unwrap_or_default();
    if matches!(frame::decode(after), Item::Whole(..)) {
        return Err(Report::new(Error::Damaged).attach("a record before the last one of the log"));
    }
    Ok(())
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("domain types have string keys")
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Report<Error>> {
    serde_json::from_slice(bytes).change_context(Error::Damaged)
}
