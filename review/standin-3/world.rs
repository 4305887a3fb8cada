//! What the users' bench would know of all groups: whose head is open, which members have left, and whether a replica
//! takes a join while the head of its group is open.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::record::Record;

/// `stall-ms` of the deployment.
const STALL: Duration = Duration::from_millis(4_000);

struct Group {
    head: String,
    open_since: Option<Instant>,
    /// When the first other member has left or joined another group.
    lost_since: Option<Instant>,
}

impl Group {
    /// Whether the head accepts requests, or stands still and isn't yet broken. A head that opens when a member has
    /// already left stands still from its opening on.
    fn is_open(&self, now: Instant) -> bool {
        let Some(open) = self.open_since else {
            return false;
        };
        self.lost_since.is_none_or(|lost| now < open.max(lost) + STALL)
    }
}

#[derive(Default)]
struct Inner {
    groups: HashMap<u64, Group>,
    /// Latest group of each replica, also after it has left it.
    latest: HashMap<String, u64>,
    breaks: usize,
    /// Time for which the first order to open stays without an answer, until it is carried out.
    late_open: Option<Duration>,
}

/// All groups; clones share them.
#[derive(Clone)]
pub struct World {
    inner: Arc<Mutex<Inner>>,
    record: Record,
}

impl World {
    pub fn new(late_open: Option<Duration>, record: &Record) -> Self {
        let inner = Inner {
            late_open,
            ..Inner::default()
        };
        World {
            inner: Arc::new(Mutex::new(inner)),
            record: record.clone(),
        }
    }

    /// Delay of an order to open, which only the first one has.
    pub fn take_late_open(&self) -> Option<Duration> {
        self.inner.lock().unwrap().late_open.take()
    }

    /// Joins that were taken while the head of the replica's group was open.
    pub fn breaks(&self) -> usize {
        self.inner.lock().unwrap().breaks
    }

    pub fn join(&self, id: &str, epoch: u64, members: &str) {
        let mut inner = self.inner.lock().unwrap();
        let now = Instant::now();
        let previous = inner.latest.get(id).copied().filter(|p| *p != epoch);
        if let Some(group) = previous.and_then(|p| inner.groups.get_mut(&p)) {
            let is_open = group.is_open(now);
            if group.head == id {
                group.open_since = None;
            } else {
                group.lost_since = group.lost_since.or(Some(now));
            }
            if is_open {
                let line = format!(
                    "TWO: replica {id} takes a join of g{epoch} while the head {} of its group g{} is open",
                    group.head,
                    previous.unwrap_or_default()
                );
                self.record.line(&line);
                inner.breaks += 1;
            }
        }
        let head = members
            .split(',')
            .next()
            .unwrap_or_default()
            .trim_matches('"')
            .to_owned();
        inner.groups.entry(epoch).or_insert(Group {
            head,
            open_since: None,
            lost_since: None,
        });
        inner.latest.insert(id.to_owned(), epoch);
    }

    pub fn open(&self, epoch: u64) {
        if let Some(group) = self.inner.lock().unwrap().groups.get_mut(&epoch) {
            group.open_since = group.open_since.or_else(|| Some(Instant::now()));
        }
    }

    pub fn leave(&self, id: &str, epoch: u64) {
        if let Some(group) = self.inner.lock().unwrap().groups.get_mut(&epoch) {
            if group.head == id {
                group.open_since = None;
            } else {
                group.lost_since = group.lost_since.or_else(|| Some(Instant::now()));
            }
        }
    }
}
