//! Crashes at every write and sync of the data folder, and damaged files.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;

use heatherramp::adapters::disk::Error;
use heatherramp::adapters::disk::Files;
use heatherramp::adapters::disk::Folder;
use heatherramp::domain::consensus::HardState;
use heatherramp::domain::consensus::Payload;
use heatherramp::domain::consensus::Record;
use heatherramp::domain::consensus::Snapshot;
use proptest::prelude::*;

/// Content of a disk: what programs see and what a crash leaves.
#[derive(Clone, Debug, Default)]
struct Content {
    seen: BTreeMap<PathBuf, Vec<u8>>,
    /// Content that a sync of the file made durable, by the file's present name.
    synced: BTreeMap<PathBuf, Vec<u8>>,
    /// Names that a sync of the folder made durable.
    durable: BTreeMap<PathBuf, Vec<u8>>,
    operations: usize,
    crash_at: usize,
    /// Bytes of the unsynced tail that survive the crash.
    torn: usize,
}

#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<Content>>);

impl Disk {
    fn operate(&self, change: impl FnOnce(&mut Content)) -> io::Result<()> {
        let mut content = self.0.lock().unwrap();
        content.operations += 1;
        if content.operations > content.crash_at {
            return Err(io::Error::other("crash"));
        }
        change(&mut content);
        Ok(())
    }

    /// Disk after the crash: durable names with synced content, and part of a tail.
    fn after_crash(&self) -> Disk {
        let content = self.0.lock().unwrap();
        let mut left = content.durable.clone();
        for (path, bytes) in &mut left {
            let unsynced = content.seen.get(path).filter(|seen| seen.starts_with(bytes));
            if let Some(seen) = unsynced {
                let keep = (bytes.len() + content.torn).min(seen.len());
                *bytes = seen[..keep].to_vec();
            }
        }
        Disk::holding(left)
    }

    fn holding(files: BTreeMap<PathBuf, Vec<u8>>) -> Disk {
        Disk(Arc::new(Mutex::new(Content {
            seen: files.clone(),
            synced: files.clone(),
            durable: files,
            crash_at: usize::MAX,
            ..Content::default()
        })))
    }
}

impl Files for Disk {
    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>> {
        Ok(self.0.lock().unwrap().seen.get(path).cloned())
    }

    fn append(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        self.operate(|c| {
            c.seen
                .entry(path.to_owned())
                .or_default()
                .extend_from_slice(bytes)
        })
    }

    fn write(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        self.operate(|c| {
            c.seen.insert(path.to_owned(), bytes.to_vec());
            c.synced.remove(path);
        })
    }

    fn truncate(&mut self, path: &Path, length: u64) -> io::Result<()> {
        self.operate(|c| c.seen.get_mut(path).unwrap().truncate(length as usize))
    }

    fn sync(&mut self, path: &Path) -> io::Result<()> {
        self.operate(|c| {
            let bytes = c.seen[path].clone();
            c.synced.insert(path.to_owned(), bytes.clone());
            // A name that was durable before keeps its new content.
            if let Some(durable) = c.durable.get_mut(path) {
                *durable = bytes;
            }
        })
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        self.operate(|c| {
            let bytes = c.seen.remove(from).unwrap();
            c.seen.insert(to.to_owned(), bytes);
            if let Some(synced) = c.synced.remove(from) {
                c.synced.insert(to.to_owned(), synced);
            }
        })
    }

    fn sync_folder(&mut self, _: &Path) -> io::Result<()> {
        self.operate(|c| c.durable = c.synced.clone())
    }
}

fn record(index: u64, term: u64) -> Record {
    Record {
        index,
        term,
        payload: Payload::Command(format!("command {index} of term {term}")),
    }
}

fn snapshot(index: u64) -> Snapshot {
    Snapshot {
        index,
        term: 1,
        voters: vec!["c1".to_owned()],
        learners: Vec::new(),
        state: format!("state at {index}"),
    }
}

fn path() -> &'static Path {
    Path::new("/data")
}

/// What was acknowledged before the crash.
#[derive(Debug, Default)]
struct Acknowledged {
    hard: Option<HardState>,
    records: BTreeMap<u64, Record>,
    snapshot: u64,
    /// First index of an append that failed, which may have taken effect or not.
    failed: Option<u64>,
}

/// Writes a fixed history until the disk crashes.
fn write(disk: Disk) -> Acknowledged {
    let mut done = Acknowledged::default();
    let (mut folder, _, _) = Folder::open(disk, path()).expect("a new folder");
    for round in 1..=8_u64 {
        let hard = HardState {
            term: round,
            vote: Some("c1".to_owned()),
        };
        if folder.save_hard_state(&hard).is_err() {
            return done;
        }
        done.hard = Some(hard);
        // Each round replaces the last record of the round before.
        let first = (round * 3 - 2).max(done.snapshot + 1);
        let records: Vec<Record> = (first..first + 4).map(|i| record(i, round)).collect();
        if folder.save_records(&records).is_err() {
            done.failed = Some(first);
            return done;
        }
        done.records.retain(|i, _| *i < first);
        done.records.extend(records.into_iter().map(|r| (r.index, r)));
        if round % 3 == 0 {
            let index = round * 3 - 1;
            let rest: Vec<Record> = done.records.range(index + 1..).map(|(_, r)| r.clone()).collect();
            if folder.save_snapshot(&snapshot(index), &rest).is_err() {
                return done;
            }
            done.records.retain(|i, _| *i > index);
            done.snapshot = index;
        }
    }
    done
}

#[test]
fn nothing_acknowledged_is_lost_at_any_crash_point() {
    let mut points = 0;
    for torn in [0, 1, 7, 13, 60, 1_000] {
        for crash_at in 0.. {
            let disk = Disk::holding(BTreeMap::new());
            Folder::create(disk.clone(), path(), "c1", &["c1".to_owned()]).unwrap();
            {
                let mut content = disk.0.lock().unwrap();
                content.operations = 0;
                content.crash_at = crash_at;
                content.torn = torn;
            }
            let done = write(disk.clone());
            let (_, identity, restart) = Folder::open(disk.after_crash(), path()).expect("recovers");
            points += 1;
            assert_eq!(identity, "c1");
            assert!(restart.hard_state.term >= done.hard.as_ref().map_or(0, |h| h.term));
            assert!(restart.snapshot.index >= done.snapshot);
            for (index, record) in &done.records {
                if *index <= restart.snapshot.index {
                    continue;
                }
                let found = restart.records.iter().find(|r| r.index == *index);
                // A later append that failed may have replaced the record already.
                let in_reach = done.failed.is_some_and(|first| *index >= first);
                let replaced = in_reach && found.is_none_or(|f| f.term > record.term);
                assert!(
                    found == Some(record) || replaced,
                    "record {index} at crash point {crash_at}"
                );
            }
            let finished = disk.0.lock().unwrap().operations <= crash_at;
            if finished {
                break;
            }
        }
    }
    println!("{points} crash points");
    assert!(points > 300);
}

#[test]
fn a_lost_folder_and_damaged_files_are_refused() {
    let disk = Disk::holding(BTreeMap::new());
    let error = Folder::open(disk.clone(), path()).expect_err("no identity");
    assert_eq!(*error.current_context(), Error::Empty);
    Folder::create(disk.clone(), path(), "c1", &["c1".to_owned()]).unwrap();
    let again = Folder::create(disk.clone(), path(), "c1", &[]).expect_err("in use");
    assert_eq!(*again.current_context(), Error::Exists);
    write(disk.clone());
    let files = disk.0.lock().unwrap().seen.clone();
    for name in ["hard", "snapshot", "identity"] {
        let mut damaged = files.clone();
        damaged.get_mut(&path().join(name)).unwrap()[9] ^= 1;
        let error = Folder::open(Disk::holding(damaged), path()).expect_err("damaged");
        assert_eq!(*error.current_context(), Error::Damaged, "{name}");
    }
    // A bad record before good ones was acknowledged; it must not be cut off.
    let mut damaged = files.clone();
    damaged.get_mut(&path().join("log")).unwrap()[9] ^= 1;
    let error = Folder::open(Disk::holding(damaged), path()).expect_err("damaged");
    assert_eq!(*error.current_context(), Error::Damaged);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    #[test]
    fn any_log_file_opens_or_is_refused(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let disk = Disk::holding(BTreeMap::new());
        Folder::create(disk.clone(), path(), "c1", &["c1".to_owned()]).unwrap();
        let mut files = disk.0.lock().unwrap().seen.clone();
        files.insert(path().join("log"), bytes);
        let _ = Folder::open(Disk::holding(files), path());
    }
}
