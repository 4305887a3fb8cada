//! The data folder of one voter.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::path::Path;
use std::path::PathBuf;

use error_stack::Report;
use error_stack::ResultExt;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Error;
use super::Files;
use super::frame;
use super::frame::Decoded;
use crate::domain::consensus::HardState;
use crate::domain::consensus::Record;
use crate::domain::consensus::Recovery;
use crate::domain::consensus::Snapshot;

/// Open data folder; `F` carries out the file operations.
#[derive(Debug)]
pub struct Folder<F> {
    files: F,
    path: PathBuf,
    /// Index of each record in `log` after the snapshot, and the file offset of its end in bytes.
    record_ends: Vec<(u64, u64)>,
    /// Whether `log` may have bytes after the last of these records: those of a failed append, or records that
    /// the snapshot replaced.
    is_dirty: bool,
}

impl<F: Files> Folder<F> {
    /// Creates the data folder of a new voter with its identity and the initial voters.
    ///
    /// `voters` is empty for a process that joins an existing group, first as a learner.
    ///
    /// # Errors
    ///
    /// `Exists` when the folder already has an identity, `Read` when that cannot be checked,
    /// `Write` when the folder cannot be written.
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
            record_ends: Vec::new(),
            is_dirty: false,
        };
        folder.replace("snapshot", &snapshot)?;
        folder.replace("hard", &HardState::default())?;
        // The identity is written last: `open` takes a folder without it as empty.
        folder.replace("identity", &identity.to_owned())
    }

    /// Opens a folder and returns it with the voter's identity and the state that it restarts from.
    ///
    /// # Errors
    ///
    /// `Empty` without an identity, `Damaged` for missing or invalid items, `Read` and `Write`
    /// for failures of the file system.
    pub fn open(files: F, path: &Path) -> Result<(Self, String, Recovery), Report<Error>> {
        let mut folder = Folder {
            files,
            path: path.to_owned(),
            record_ends: Vec::new(),
            is_dirty: false,
        };
        let identity: String = folder.load("identity")?;
        let hard_state = folder.load("hard")?;
        let snapshot: Snapshot = folder.load("snapshot")?;
        let records = folder.load_records(&snapshot)?;
        let recovery = Recovery {
            hard_state,
            snapshot,
            records,
        };
        Ok((folder, identity, recovery))
    }

    /// Makes term and vote durable.
    ///
    /// # Errors
    ///
    /// `Write`: the voter must stop, or retry the call until it succeeds.
    pub fn save_hard_state(&mut self, hard_state: &HardState) -> Result<(), Report<Error>> {
        self.replace("hard", hard_state)
    }

    /// Removes the stored records from the index of the first new one on, then appends
    /// `records` and makes them durable.
    ///
    /// # Errors
    ///
    /// `Write`: the voter must stop, or retry the call until it succeeds.
    pub fn save_records(&mut self, records: &[Record]) -> Result<(), Report<Error>> {
        let Some(first) = records.first() else {
            return Ok(());
        };
        let path = self.path.join("log");
        self.truncate_records(first.index)?;
        let mut end_offset = self.record_ends.last().map_or(0, |(_, end)| *end);
        if self.is_dirty {
            self.cut_log(end_offset)?;
        }
        let is_new_file = end_offset == 0;
        let mut bytes = Vec::new();
        let mut new_ends = Vec::new();
        for record in records {
            let frame_start = bytes.len();
            frame::encode(&mut bytes, &to_json(record));
            end_offset += (bytes.len() - frame_start) as u64;
            new_ends.push((record.index, end_offset));
        }
        self.is_dirty = true;
        self.files.append(&path, &bytes).change_context(Error::Write)?;
        self.files.sync(&path).change_context(Error::Write)?;
        if is_new_file {
            self.files.sync_folder(&self.path).change_context(Error::Write)?;
        }
        self.is_dirty = false;
        self.record_ends.extend(new_ends);
        Ok(())
    }

    /// Makes a snapshot durable and reduces the log to `later_records`, those after the snapshot.
    ///
    /// # Errors
    ///
    /// `Write`: the voter must stop, or retry the call until it succeeds.
    pub fn save_snapshot(
        &mut self,
        snapshot: &Snapshot,
        later_records: &[Record],
    ) -> Result<(), Report<Error>> {
        self.replace("snapshot", snapshot)?;
        // A crash before the log is replaced leaves records that the snapshot replaces; `open` drops them.
        let mut new_ends = Vec::new();
        let mut bytes = Vec::new();
        for record in later_records {
            frame::encode(&mut bytes, &to_json(record));
            new_ends.push((record.index, bytes.len() as u64));
        }
        self.replace_bytes("log", &bytes)?;
        self.record_ends = new_ends;
        self.is_dirty = false;
        Ok(())
    }

    /// Removes the stored records from `index` on and makes that durable.
    fn truncate_records(&mut self, index: u64) -> Result<(), Report<Error>> {
        let kept = self.record_ends.iter().take_while(|(i, _)| *i < index).count();
        if kept == self.record_ends.len() {
            return Ok(());
        }
        let length = kept.checked_sub(1).map_or(0, |last| self.record_ends[last].1);
        self.cut_log(length)?;
        self.record_ends.truncate(kept);
        Ok(())
    }

    /// Shortens `log` to `length` bytes and makes that durable; a failed append may not even have created it.
    fn cut_log(&mut self, length: u64) -> Result<(), Report<Error>> {
        let path = self.path.join("log");
        match self.files.truncate(&path, length) {
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(()),
            truncated => truncated.change_context(Error::Write)?,
        }
        self.files.sync(&path).change_context(Error::Write)
    }

    /// Reads the records of `log` after the snapshot.
    ///
    /// The file does not exist before the first record or snapshot is saved. A torn last record, and records that the
    /// snapshot replaced, stay in the file until the next save: a crash while a record is appended, or between the
    /// replacement of `snapshot` and that of `log`, leaves them, and a full disk must not keep the folder from
    /// opening.
    fn load_records(&mut self, snapshot: &Snapshot) -> Result<Vec<Record>, Report<Error>> {
        let path = self.path.join("log");
        let bytes = self
            .files
            .read(&path)
            .change_context(Error::Read)?
            .unwrap_or_default();
        let mut rest = bytes.as_slice();
        let mut stored: Vec<Record> = Vec::new();
        let mut ends = BTreeMap::new();
        loop {
            match frame::decode(rest) {
                Decoded::End => break,
                Decoded::Torn => {
                    reject_damage_before_tail(rest)?;
                    break;
                }
                Decoded::Valid(item, after) => {
                    rest = after;
                    let end = (bytes.len() - rest.len()) as u64;
                    let record: Record = from_json(item)?;
                    ends.insert(record.index, end);
                    stored.push(record);
                }
            }
        }
        let records = snapshot.later_records(stored);
        let mut expected = snapshot.index + 1..;
        if !records.iter().all(|r| Some(r.index) == expected.next()) {
            return Err(Report::new(Error::Damaged).attach("the log has a gap"));
        }
        self.record_ends = records.iter().map(|r| (r.index, ends[&r.index])).collect();
        self.is_dirty = self.record_ends.last().map_or(0, |(_, end)| *end) != bytes.len() as u64;
        Ok(records)
    }

    fn load<T: DeserializeOwned>(&self, name: &str) -> Result<T, Report<Error>> {
        let bytes = self
            .files
            .read(&self.path.join(name))
            .change_context(Error::Read)?;
        let Some(bytes) = bytes else {
            let error = if name == "identity" {
                Error::Empty
            } else {
                Error::Damaged
            };
            return Err(Report::new(error).attach(format!("the file {name} is missing")));
        };
        match frame::decode(&bytes) {
            Decoded::Valid(item, _) => from_json(item),
            _ => Err(Report::new(Error::Damaged).attach(format!(
                "the file {name} is truncated or its checksum does not match"
            ))),
        }
    }

    fn replace<T: Serialize>(&mut self, name: &str, value: &T) -> Result<(), Report<Error>> {
        let mut bytes = Vec::new();
        frame::encode(&mut bytes, &to_json(value));
        self.replace_bytes(name, &bytes)
    }

    /// Replaces a file atomically and makes the new content durable.
    fn replace_bytes(&mut self, name: &str, bytes: &[u8]) -> Result<(), Report<Error>> {
        let path = self.path.join(name);
        let temporary = self.path.join(format!("{name}.new"));
        self.files.write(&temporary, bytes).change_context(Error::Write)?;
        self.files.sync(&temporary).change_context(Error::Write)?;
        self.files
            .rename(&temporary, &path)
            .change_context(Error::Write)?;
        self.files.sync_folder(&self.path).change_context(Error::Write)
    }
}

/// Returns `Damaged` when a valid record follows the torn one, which is then not the tail of an
/// interrupted append. The next record starts after the 8-byte header of the torn one and the length
/// stated there.
fn reject_damage_before_tail(torn: &[u8]) -> Result<(), Report<Error>> {
    let Some(length) = torn.first_chunk::<4>() else {
        return Ok(());
    };
    let length = u32::from_le_bytes(*length) as usize;
    let after = torn.get(8 + length..).unwrap_or_default();
    if matches!(frame::decode(after), Decoded::Valid(..)) {
        return Err(Report::new(Error::Damaged).attach("the log has an invalid record before its last one"));
    }
    Ok(())
}

fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("map keys of stored types are strings")
}

fn from_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Report<Error>> {
    serde_json::from_slice(bytes).change_context(Error::Damaged)
}
