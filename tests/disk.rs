//! The data folder after a crash at each of its file operations, and with damaged files.

use std::collections::BTreeMap;
use std::io;
use std::ops::Range;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;

use heatherramp::adapters::disk::Error;
use heatherramp::adapters::disk::Files;
use heatherramp::adapters::disk::Folder;
use heatherramp::domain::consensus::HardState;
use heatherramp::domain::consensus::Journal;
use heatherramp::domain::consensus::Payload;
use heatherramp::domain::consensus::Record;
use heatherramp::domain::consensus::Snapshot;
use proptest::prelude::*;

/// State of a simulated disk: what the process reads, and what remains after a crash.
#[derive(Clone, Debug, Default)]
struct DiskState {
    /// Content that the process reads.
    visible: BTreeMap<PathBuf, Vec<u8>>,
    /// Content at the last sync of each file, by the file's current name.
    synced: BTreeMap<PathBuf, Vec<u8>>,
    /// Files whose names a sync of the folder made durable, with their synced content.
    durable: BTreeMap<PathBuf, Vec<u8>>,
    /// Number of operations so far.
    operations: usize,
    /// Number of operations that succeed; all later ones fail.
    crash_at: usize,
    /// Operations that fail, as the disk is full; a part of what they write is taken.
    refused: Range<usize>,
    /// Bytes of an unsynced tail that survive the crash, at most.
    torn_bytes: usize,
}

/// Simulated disk; clones share its state.
#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<DiskState>>);

impl Disk {
    /// Carries out one operation, or fails after the first `crash_at` ones.
    fn run_operation(&self, change: impl FnOnce(&mut DiskState)) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        state.operations += 1;
        if state.operations > state.crash_at {
            return Err(io::Error::other("crash"));
        }
        if state.refused.contains(&state.operations) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        change(&mut state);
        Ok(())
    }

    /// Disk after the crash: durable names with synced content, and part of each unsynced tail.
    fn after_crash(&self) -> Disk {
        let state = self.0.lock().unwrap();
        let mut surviving = state.durable.clone();
        for (path, bytes) in &mut surviving {
            let unsynced = state
                .visible
                .get(path)
                .filter(|visible| visible.starts_with(bytes));
            if let Some(visible) = unsynced {
                let kept = (bytes.len() + state.torn_bytes).min(visible.len());
                *bytes = visible[..kept].to_vec();
            }
        }
        Disk::with_files(surviving)
    }

    /// Disk after the process alone has ended: all that it wrote.
    fn after_kill(&self) -> Disk {
        Disk::with_files(self.0.lock().unwrap().visible.clone())
    }

    /// Refuses `count` operations, after the next `after` ones.
    fn fill_after(&self, after: usize, count: usize) {
        let mut state = self.0.lock().unwrap();
        let first = state.operations + after + 1;
        state.refused = first..first.saturating_add(count);
    }

    /// Takes half of what is written while the disk is full.
    fn write_part(&self, path: &Path, bytes: &[u8], is_append: bool) {
        let mut state = self.0.lock().unwrap();
        if state.refused.contains(&state.operations) {
            let content = state.visible.entry(path.to_owned()).or_default();
            if !is_append {
                content.clear();
            }
            content.extend_from_slice(&bytes[..bytes.len() / 2]);
            if !is_append {
                state.synced.remove(path);
            }
        }
    }

    /// Lets only the next `count` operations succeed.
    fn fail_after(&self, count: usize) {
        let mut state = self.0.lock().unwrap();
        state.crash_at = state.operations + count;
    }

    /// Disk with these files, all durable, that does not crash.
    fn with_files(files: BTreeMap<PathBuf, Vec<u8>>) -> Disk {
        Disk(Arc::new(Mutex::new(DiskState {
            visible: files.clone(),
            synced: files.clone(),
            durable: files,
            crash_at: usize::MAX,
            ..DiskState::default()
        })))
    }
}

impl Files for Disk {
    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>> {
        Ok(self.0.lock().unwrap().visible.get(path).cloned())
    }

    fn append(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let appended = self.run_operation(|state| {
            state
                .visible
                .entry(path.to_owned())
                .or_default()
                .extend_from_slice(bytes)
        });
        if appended.is_err() {
            self.write_part(path, bytes, true);
        }
        appended
    }

    fn write(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let written = self.run_operation(|state| {
            state.visible.insert(path.to_owned(), bytes.to_vec());
            state.synced.remove(path);
        });
        if written.is_err() {
            self.write_part(path, bytes, false);
        }
        written
    }

    fn truncate(&mut self, path: &Path, length: u64) -> io::Result<()> {
        if !self.0.lock().unwrap().visible.contains_key(path) {
            return Err(io::ErrorKind::NotFound.into());
        }
        self.run_operation(|state| state.visible.get_mut(path).unwrap().truncate(length as usize))
    }

    fn sync(&mut self, path: &Path) -> io::Result<()> {
        self.run_operation(|state| {
            let bytes = state.visible[path].clone();
            state.synced.insert(path.to_owned(), bytes.clone());
            // A file whose name is already durable keeps the new content after a crash.
            if let Some(durable) = state.durable.get_mut(path) {
                *durable = bytes;
            }
        })
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        self.run_operation(|state| {
            let bytes = state.visible.remove(from).unwrap();
            state.visible.insert(to.to_owned(), bytes);
            if let Some(synced) = state.synced.remove(from) {
                state.synced.insert(to.to_owned(), synced);
            }
        })
    }

    fn sync_folder(&mut self, _: &Path) -> io::Result<()> {
        self.run_operation(|state| state.durable = state.synced.clone())
    }
}

fn record(index: u64, term: u64) -> Record {
    Record {
        index,
        term,
        payload: Payload::Command(format!("command {index} of term {term}")),
    }
}

fn snapshot(index: u64, term: u64) -> Snapshot {
    Snapshot {
        index,
        term,
        voters: vec!["c1".to_owned()],
        learners: Vec::new(),
        state: format!("state at {index}"),
    }
}

fn data_folder() -> &'static Path {
    Path::new("/data")
}

/// Everything that the folder acknowledged before the crash.
#[derive(Debug, Default)]
struct Acknowledged {
    hard_state: Option<HardState>,
    /// Records after the snapshot, by index.
    records: BTreeMap<u64, Record>,
    /// Index of the last snapshot.
    snapshot: u64,
    /// First index of the append that failed, which may or may not have taken effect.
    failed_append: Option<u64>,
}

/// Writes a fixed history of terms, records and snapshots until the disk crashes.
fn write_history(disk: Disk) -> Acknowledged {
    let mut acknowledged = Acknowledged::default();
    let (mut folder, _, _) = Folder::open(disk, data_folder()).expect("the folder is new");
    for round in 1..=8_u64 {
        let hard_state = HardState {
            term: round,
            vote: Some("c1".to_owned()),
        };
        if folder.save_hard_state(&hard_state).is_err() {
            return acknowledged;
        }
        acknowledged.hard_state = Some(hard_state);
        // Each round replaces the last record of the round before.
        let first = (round * 3 - 2).max(acknowledged.snapshot + 1);
        let records: Vec<Record> = (first..first + 4).map(|i| record(i, round)).collect();
        if folder.save_records(&records).is_err() {
            acknowledged.failed_append = Some(first);
            return acknowledged;
        }
        acknowledged.records.retain(|i, _| *i < first);
        acknowledged
            .records
            .extend(records.into_iter().map(|r| (r.index, r)));
        if round % 3 == 0 {
            let index = round * 3 - 1;
            let later_records: Vec<Record> = acknowledged
                .records
                .range(index + 1..)
                .map(|(_, r)| r.clone())
                .collect();
            let saved = folder.save_snapshot(&snapshot(index, round), &later_records);
            if saved.is_err() {
                return acknowledged;
            }
            acknowledged.records.retain(|i, _| *i > index);
            acknowledged.snapshot = index;
        }
    }
    acknowledged
}

#[test]
fn nothing_acknowledged_is_lost_at_any_crash_point() {
    let mut crash_points = 0;
    for torn_bytes in [0, 1, 7, 13, 60, 1_000] {
        for crash_at in 0.. {
            let disk = Disk::with_files(BTreeMap::new());
            Folder::create(disk.clone(), data_folder(), "c1", &["c1".to_owned()]).unwrap();
            {
                let mut state = disk.0.lock().unwrap();
                state.operations = 0;
                state.crash_at = crash_at;
                state.torn_bytes = torn_bytes;
            }
            let acknowledged = write_history(disk.clone());
            let (_, identity, recovery) =
                Folder::open(disk.after_crash(), data_folder()).expect("the folder opens after a crash");
            crash_points += 1;
            assert_eq!(identity, "c1");
            assert!(recovery.hard_state.term >= acknowledged.hard_state.as_ref().map_or(0, |h| h.term));
            assert!(recovery.snapshot.index >= acknowledged.snapshot);
            for (index, record) in &acknowledged.records {
                if *index <= recovery.snapshot.index {
                    continue;
                }
                let found = recovery.records.iter().find(|r| r.index == *index);
                // The failed append may already have removed or replaced the record.
                let was_in_failed_append = acknowledged.failed_append.is_some_and(|first| *index >= first);
                let replaced = was_in_failed_append && found.is_none_or(|f| f.term > record.term);
                assert!(
                    found == Some(record) || replaced,
                    "record {index} at crash point {crash_at}"
                );
            }
            let never_crashed = disk.0.lock().unwrap().operations <= crash_at;
            if never_crashed {
                break;
            }
        }
    }
    println!("{crash_points} crash points");
    assert!(crash_points > 300);
}

/// Change of the stored log, by offsets from its last index.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// New records.
    Append(u64),
    /// New records of a later term in place of as many last ones.
    Replace(u64),
    /// Own snapshot that many records before the last one.
    Compact(u64),
    /// Leader's snapshot that many records beyond the last one.
    Overtake(u64),
    /// Leader's snapshot that many records before the last one, with another term at its index.
    Overrule(u64),
}

/// Voter's log in memory and on disk.
struct Voter {
    folder: Folder<Disk>,
    journal: Journal,
}

impl Voter {
    fn open(disk: &Disk) -> Voter {
        let opened = Folder::open(disk.clone(), data_folder());
        let (folder, _, recovery) = opened.expect("the folder opens after each restart");
        let journal = Journal::new(recovery.snapshot, recovery.records.clone());
        assert_eq!(journal.range(0, 1_000), recovery.records);
        Voter { folder, journal }
    }

    /// Applies `step` to the log in memory and on disk, as a consensus node and its driver do.
    fn apply(&mut self, step: Step) -> bool {
        let (last, term) = (self.journal.last_index(), self.journal.last_term());
        let (index, new_term) = match step {
            Step::Append(count) => return self.append(last + 1, count, term),
            Step::Replace(count) => return self.append(last + 1 - count, count, term + 1),
            Step::Compact(count) => (last - count, None),
            Step::Overtake(count) => (last + count, Some(term)),
            Step::Overrule(count) => (last - count, Some(term + 1)),
        };
        let stored_term = || self.journal.term_at(index).expect("the log holds the index");
        let snapshot = snapshot(index, new_term.unwrap_or_else(stored_term));
        self.journal.compact(snapshot.clone());
        let later_records = self.journal.range(index + 1, 1_000);
        self.folder.save_snapshot(&snapshot, later_records).is_ok()
    }

    fn append(&mut self, first: u64, count: u64, term: u64) -> bool {
        self.journal.truncate(first);
        let records: Vec<Record> = (first..first + count).map(|i| record(i, term.max(1))).collect();
        records.iter().for_each(|r| self.journal.push(r.clone()));
        self.folder.save_records(&records).is_ok()
    }

    fn assert_same(&self, other: &Voter, context: &str) {
        assert_eq!(self.journal.snapshot(), other.journal.snapshot(), "{context}");
        assert_eq!(
            self.journal.range(0, 1_000),
            other.journal.range(0, 1_000),
            "{context}"
        );
    }
}

/// Guards against folders that are found damaged at a later restart, since an interrupted snapshot left records that
/// were appended to afterwards.
#[test]
fn a_folder_goes_on_after_two_crashes_at_any_points() {
    let first = [
        Step::Append(6),
        Step::Replace(2),
        Step::Overtake(5),
        Step::Append(4),
        Step::Overrule(2),
        Step::Append(5),
        Step::Compact(2),
        Step::Append(1),
    ];
    let second = [
        Step::Append(3),
        Step::Overtake(4),
        Step::Append(3),
        Step::Compact(1),
    ];
    let new_disk = || {
        let disk = Disk::with_files(BTreeMap::new());
        Folder::create(disk.clone(), data_folder(), "c1", &["c1".to_owned()]).unwrap();
        disk
    };
    let mut crash_points = 0;
    // Bytes of an unsynced tail that survive a loss of power; none for an end of the process alone.
    for torn_bytes in [None, Some(0), Some(7), Some(60)] {
        let end = |disk: &Disk| match torn_bytes {
            None => disk.after_kill(),
            Some(torn_bytes) => {
                disk.0.lock().unwrap().torn_bytes = torn_bytes;
                disk.after_crash()
            }
        };
        for crash_at in 0.. {
            let disk = new_disk();
            let mut voter = Voter::open(&disk);
            disk.fail_after(crash_at);
            let is_first_complete = first.iter().all(|step| voter.apply(*step));
            let disk = end(&disk);
            for next_crash_at in 0.. {
                let context = format!("{torn_bytes:?}: crashes at {crash_at} and {next_crash_at}");
                crash_points += 1;
                let disk = disk.after_kill();
                let mut voter = Voter::open(&disk);
                disk.fail_after(next_crash_at);
                let is_complete = second.iter().all(|step| voter.apply(*step));
                let disk = end(&disk);
                let mut restarted = Voter::open(&disk);
                if is_complete {
                    restarted.assert_same(&voter, &context);
                }
                assert!(restarted.apply(Step::Append(2)));
                Voter::open(&disk).assert_same(&restarted, &context);
                if is_complete {
                    break;
                }
            }
            if is_first_complete {
                break;
            }
        }
    }
    println!("{crash_points} pairs of crash points");
}

/// Guards against a voter that retries a write without end: a full disk may refuse to create a file, too.
#[test]
fn a_write_that_is_refused_once_succeeds_when_it_is_retried() {
    for refused in 1.. {
        let disk = Disk::with_files(BTreeMap::new());
        Folder::create(disk.clone(), data_folder(), "c1", &["c1".to_owned()]).unwrap();
        let mut voter = Voter::open(&disk);
        let operations = disk.0.lock().unwrap().operations;
        disk.fill_after(refused - 1, 1);
        let records: Vec<Record> = (1..=4).map(|i| record(i, 1)).collect();
        let retry = |save: &mut dyn FnMut() -> bool| assert!((0..3).any(|_| save()), "operation {refused}");
        retry(&mut || voter.folder.save_records(&records).is_ok());
        retry(&mut || voter.folder.save_records(&[record(3, 2)]).is_ok());
        retry(&mut || {
            voter
                .folder
                .save_snapshot(&snapshot(2, 1), &[record(3, 2)])
                .is_ok()
        });
        retry(&mut || voter.folder.save_records(&[record(4, 2)]).is_ok());
        let restarted = Voter::open(&disk.after_crash());
        assert_eq!(restarted.journal.snapshot().index, 2);
        assert_eq!(restarted.journal.range(0, 9), [record(3, 2), record(4, 2)]);
        if disk.0.lock().unwrap().operations < operations + refused {
            return;
        }
    }
}

/// Writes records and a snapshot, each again and again until it succeeds, as the daemon does.
fn write_with_retries(voter: &mut Voter) {
    let retry = |save: &mut dyn FnMut() -> bool| assert!((0..100).any(|_| save()), "refused without end");
    let records: Vec<Record> = (1..=4).map(|i| record(i, 1)).collect();
    retry(&mut || voter.folder.save_records(&records).is_ok());
    retry(&mut || voter.folder.save_records(&[record(3, 2)]).is_ok());
    retry(&mut || {
        voter
            .folder
            .save_snapshot(&snapshot(2, 1), &[record(3, 2)])
            .is_ok()
    });
    retry(&mut || voter.folder.save_records(&[record(4, 2)]).is_ok());
}

/// Guards against voters that go on with a damaged log, or never go on, after their disk was full for a while.
#[test]
fn a_folder_goes_on_after_its_disk_was_full_at_any_time_for_any_time() {
    for (after, count) in (0..16).flat_map(|after| (1..12).map(move |count| (after, count))) {
        let disk = Disk::with_files(BTreeMap::new());
        Folder::create(disk.clone(), data_folder(), "c1", &["c1".to_owned()]).unwrap();
        let mut voter = Voter::open(&disk);
        disk.fill_after(after, count);
        write_with_retries(&mut voter);
        for disk in [disk.after_crash(), disk.after_kill()] {
            let restarted = Voter::open(&disk);
            assert_eq!(restarted.journal.snapshot().index, 2, "{after} {count}");
            assert_eq!(restarted.journal.range(0, 9), [record(3, 2), record(4, 2)]);
        }
    }
}

/// Guards against voters that stay down: a record that is torn, as its process ended while the disk was full, was cut
/// off before anything else.
#[test]
fn a_folder_with_a_torn_record_opens_while_its_disk_is_full() {
    let disk = Disk::with_files(BTreeMap::new());
    Folder::create(disk.clone(), data_folder(), "c1", &["c1".to_owned()]).unwrap();
    let mut voter = Voter::open(&disk);
    voter.folder.save_records(&[record(1, 1), record(2, 1)]).unwrap();
    disk.fill_after(0, usize::MAX);
    assert!(voter.folder.save_records(&[record(3, 1)]).is_err());
    let disk = disk.after_kill();
    disk.fill_after(0, usize::MAX);
    let mut restarted = Voter::open(&disk);
    assert_eq!(restarted.journal.range(0, 9), [record(1, 1), record(2, 1)]);
    assert!(restarted.folder.save_records(&[record(3, 2)]).is_err());
    disk.fill_after(0, 0);
    restarted.folder.save_records(&[record(3, 2)]).unwrap();
    let restarted = Voter::open(&disk.after_crash());
    assert_eq!(
        restarted.journal.range(0, 9),
        [record(1, 1), record(2, 1), record(3, 2)]
    );
}

/// Guards against voters that stay down: earlier versions appended behind records that the snapshot had replaced.
#[test]
fn a_folder_whose_replaced_records_were_never_removed_opens() {
    let disk = Disk::with_files(BTreeMap::new());
    Folder::create(disk.clone(), data_folder(), "c1", &["c1".to_owned()]).unwrap();
    let mut voter = Voter::open(&disk);
    assert!(voter.apply(Step::Append(4)));
    let log = data_folder().join("log");
    let replaced = disk.0.lock().unwrap().visible[&log].clone();
    assert!(voter.apply(Step::Overtake(10)) && voter.apply(Step::Append(3)));
    let mut files = disk.0.lock().unwrap().visible.clone();
    let appended = files.insert(log.clone(), replaced).unwrap();
    files.get_mut(&log).unwrap().extend(appended);
    let disk = Disk::with_files(files);
    let mut restarted = Voter::open(&disk);
    restarted.assert_same(&voter, "restart");
    assert!(restarted.apply(Step::Replace(2)) && restarted.apply(Step::Append(2)));
    Voter::open(&disk).assert_same(&restarted, "next restart");
}

#[test]
fn a_lost_folder_and_damaged_files_are_refused() {
    let disk = Disk::with_files(BTreeMap::new());
    let error = Folder::open(disk.clone(), data_folder()).expect_err("the folder has no identity");
    assert_eq!(*error.current_context(), Error::Empty);
    Folder::create(disk.clone(), data_folder(), "c1", &["c1".to_owned()]).unwrap();
    let again =
        Folder::create(disk.clone(), data_folder(), "c1", &[]).expect_err("the folder has an identity");
    assert_eq!(*again.current_context(), Error::Exists);
    write_history(disk.clone());
    let files = disk.0.lock().unwrap().visible.clone();
    for name in ["hard", "snapshot", "identity"] {
        let mut damaged = files.clone();
        damaged.get_mut(&data_folder().join(name)).unwrap()[9] ^= 1;
        let error =
            Folder::open(Disk::with_files(damaged), data_folder()).expect_err("the folder is damaged");
        assert_eq!(*error.current_context(), Error::Damaged, "{name}");
    }
    // An invalid record before valid ones may have been acknowledged, so it must not be
    // truncated away.
    let mut damaged = files.clone();
    damaged.get_mut(&data_folder().join("log")).unwrap()[9] ^= 1;
    let error = Folder::open(Disk::with_files(damaged), data_folder()).expect_err("the folder is damaged");
    assert_eq!(*error.current_context(), Error::Damaged);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    #[test]
    fn opening_an_arbitrary_log_file_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let disk = Disk::with_files(BTreeMap::new());
        Folder::create(disk.clone(), data_folder(), "c1", &["c1".to_owned()]).unwrap();
        let mut files = disk.0.lock().unwrap().visible.clone();
        files.insert(data_folder().join("log"), bytes);
        let _ = Folder::open(Disk::with_files(files), data_folder());
    }
}
