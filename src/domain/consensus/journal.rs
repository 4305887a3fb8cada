//! Replicated log in memory: the last snapshot and the records after it.

use super::Payload;
use super::Record;
use super::Snapshot;

/// Replicated log in memory: the last snapshot and the records after it.
#[derive(Clone, Debug)]
pub struct Journal {
    snapshot: Snapshot,
    records: Vec<Record>,
}

impl Journal {
    /// Journal of `snapshot` and the records after it; drops records that the snapshot replaces.
    pub fn new(snapshot: Snapshot, records: Vec<Record>) -> Self {
        let records = snapshot.later_records(records);
        Journal { snapshot, records }
    }

    /// Snapshot that precedes the first record.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Index of the last record, or of the snapshot when no record follows it.
    pub fn last_index(&self) -> u64 {
        self.records.last().map_or(self.snapshot.index, |r| r.index)
    }

    /// Term of the last record, or of the snapshot when no record follows it.
    pub fn last_term(&self) -> u64 {
        self.records.last().map_or(self.snapshot.term, |r| r.term)
    }

    /// Term of the record at `index`, or `None` when the snapshot replaced it or the log ends
    /// before it; the term at the snapshot's own index is known.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|r| r.term)
    }

    /// Record at `index`, or `None` when the snapshot covers it or the log ends before it.
    pub fn get(&self, index: u64) -> Option<&Record> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.records.get(offset as usize)
    }

    /// At most `limit` records with an index of `from` or higher.
    pub fn range(&self, from: u64, limit: usize) -> &[Record] {
        let start = from.saturating_sub(self.snapshot.index + 1) as usize;
        let start = start.min(self.records.len());
        let end = (start + limit).min(self.records.len());
        &self.records[start..end]
    }

    /// Appends a record; panics unless its index follows the last one.
    pub fn push(&mut self, record: Record) {
        assert_eq!(record.index, self.last_index() + 1, "record indexes have no gaps");
        self.records.push(record);
    }

    /// Removes the records from `index` on; panics when the snapshot covers `index`.
    pub fn truncate(&mut self, index: u64) {
        assert!(
            index > self.snapshot.index,
            "records that the snapshot covers are not truncated"
        );
        self.records.retain(|r| r.index < index);
    }

    /// Replaces the records up to the snapshot's index by the snapshot.
    ///
    /// Records after that index remain only if the log agrees with the snapshot there.
    /// A snapshot that is not newer than the present one is ignored.
    pub fn compact(&mut self, snapshot: Snapshot) {
        if snapshot.index <= self.snapshot.index {
            return;
        }
        let records = std::mem::take(&mut self.records);
        self.records = snapshot.later_records(records);
        self.snapshot = snapshot;
    }

    /// Voters and learners of the latest membership, committed or not.
    pub fn members(&self) -> (Vec<String>, Vec<String>) {
        self.members_at(self.last_index())
    }

    /// Voters and learners of the latest membership up to `index`.
    pub fn members_at(&self, index: u64) -> (Vec<String>, Vec<String>) {
        let mut newest_first = self.records.iter().rev().skip_while(|r| r.index > index);
        let latest = newest_first.find_map(|r| match &r.payload {
            Payload::Members { voters, learners } => Some((voters.clone(), learners.clone())),
            _ => None,
        });
        latest.unwrap_or_else(|| (self.snapshot.voters.clone(), self.snapshot.learners.clone()))
    }

    /// Index of the latest membership record, or of the snapshot when no record changes it.
    pub fn members_index(&self) -> u64 {
        let latest = self
            .records
            .iter()
            .rev()
            .find(|r| matches!(r.payload, Payload::Members { .. }));
        latest.map_or(self.snapshot.index, |r| r.index)
    }
}
