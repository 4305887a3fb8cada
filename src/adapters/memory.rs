//! Guards of the memory that is held for callers, over the budget in `domain::memory`.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::adapters::clock;
use crate::domain::memory::Budget;
use crate::domain::memory::Change;
use crate::domain::memory::Id;
use crate::domain::memory::Kind;
use crate::domain::memory::Verdict;

/// Longest wait for dropped holdings to be released, whose tasks only have to run once for that.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
/// Memory that a chunk takes beside its bytes: its guard, its entry in the budget and the allocator's share.
const CHUNK_OVERHEAD: usize = 256;

/// First allocation of a buffer.
const MIN_CAPACITY: usize = 4 << 10;
/// Bytes that count as progress of a buffer.
const PROGRESS_BYTES: usize = 4 << 10;

/// The budget has no room, or has taken it back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shortage;

/// Resident memory in MB; 0 where the system does not state it.
pub fn resident_mb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) / 1_024
}

/// Budget of a process; clones share it.
#[derive(Clone, Debug)]
pub struct Memory(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Notified when bytes are released.
    released: Notify,
}

#[derive(Debug)]
struct State {
    budget: Budget,
    /// Notified when the holding is dropped.
    dropped: HashMap<Id, Arc<Notify>>,
}

/// Bytes held for one purpose, released when it is dropped.
#[derive(Debug)]
pub struct Hold {
    memory: Memory,
    id: Id,
    dropped: Arc<Notify>,
}

impl Memory {
    /// Budget of `limit` bytes, of which connections may take `connection_limit`.
    pub fn new(limit: usize, connection_limit: usize) -> Self {
        Memory(Arc::new(Shared {
            state: Mutex::new(State {
                budget: Budget::new(limit, connection_limit),
                dropped: HashMap::new(),
            }),
            released: Notify::new(),
        }))
    }

    /// Starts a holding of no bytes; the bodies of one `owner` share a limit.
    pub fn open(&self, kind: Kind, owner: Option<String>) -> Hold {
        let mut state = self.state();
        let id = state.budget.open(clock::now(), kind, owner);
        let dropped = Arc::new(Notify::new());
        state.dropped.insert(id, dropped.clone());
        drop(state);
        Hold {
            memory: self.clone(),
            id,
            dropped,
        }
    }

    /// Wraps bytes so that they count as held until their last clone is dropped.
    ///
    /// # Errors
    ///
    /// `Shortage` if they do not fit.
    pub async fn hold_chunk(&self, kind: Kind, bytes: Vec<u8>) -> Result<Bytes, Shortage> {
        let hold = self.open(kind, None);
        hold.charge(bytes.capacity() + CHUNK_OVERHEAD).await?;
        Ok(hold.wrap(bytes))
    }

    /// Bytes held for `kind`.
    pub fn used_for(&self, kind: Kind) -> usize {
        self.state().budget.used_for(kind)
    }

    /// Holdings of `kind` that were refused or dropped since the start.
    pub fn refusals(&self, kind: Kind) -> u64 {
        self.state().budget.refusals(kind)
    }

    /// Whether the budget has begun or ceased to limit callers since the last call, and the bytes held.
    pub fn change(&self) -> Option<(Change, usize)> {
        let mut state = self.state();
        let change = state.budget.change(clock::now())?;
        Some((change, state.budget.used()))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().expect("no panic under this lock")
    }
}

impl Hold {
    /// Changes the holding to `bytes` in all; waits while others are released for it.
    ///
    /// # Errors
    ///
    /// `Shortage` if they do not fit, or if the holding was dropped in favour of others.
    pub async fn charge(&self, bytes: usize) -> Result<(), Shortage> {
        let granting = async {
            loop {
                // Created before the charge, so that a release in between is not missed.
                let released = self.memory.0.released.notified();
                match self.try_charge(bytes) {
                    Verdict::Granted => return Ok(()),
                    Verdict::Refused => return Err(Shortage),
                    Verdict::Wait(_) => released.await,
                }
            }
        };
        timeout(RELEASE_TIMEOUT, granting).await.unwrap_or(Err(Shortage))
    }

    fn try_charge(&self, bytes: usize) -> Verdict {
        let mut state = self.memory.state();
        let verdict = state.budget.charge(clock::now(), self.id, bytes);
        if let Verdict::Wait(victims) = &verdict {
            let signals = victims.iter().filter_map(|id| state.dropped.get(id));
            signals.for_each(|signal| signal.notify_one());
        }
        verdict
    }

    /// Records progress, and whether the holding may be dropped in favour of others from now on.
    pub fn set_droppable(&self, is_droppable: bool) {
        let mut state = self.memory.state();
        state.budget.set_droppable(clock::now(), self.id, is_droppable);
    }

    /// Returns when the holding has been dropped in favour of others.
    pub async fn dropped(&self) {
        while !self.memory.state().budget.is_dropped(self.id) {
            self.dropped.notified().await;
        }
    }

    /// Ties the holding to these bytes: it is released with their last clone.
    pub fn wrap(self, bytes: Vec<u8>) -> Bytes {
        Bytes::from_owner(Held { bytes, _hold: self })
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut state = self.memory.state();
        state.budget.release(self.id);
        state.dropped.remove(&self.id);
        drop(state);
        self.memory.0.released.notify_waiters();
    }
}

/// Bytes that are copied together as they arrive; its capacity is charged before it is allocated.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    /// Capacity that is not exceeded, since no more bytes may come.
    max_bytes: usize,
    /// Bytes since progress was last recorded.
    progress: usize,
    hold: Hold,
}

impl Buffer {
    /// Empty buffer for at most `max_bytes`.
    pub fn new(max_bytes: usize, hold: Hold) -> Self {
        Buffer {
            bytes: Vec::new(),
            max_bytes,
            progress: 0,
            hold,
        }
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns when the buffer's holding has been dropped in favour of others.
    pub async fn dropped(&self) {
        self.hold.dropped().await;
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// `Shortage` if they do not fit into the budget.
    pub async fn push(&mut self, chunk: &[u8]) -> Result<(), Shortage> {
        let needed = self.bytes.len() + chunk.len();
        if needed > self.bytes.capacity() {
            let grown = self.bytes.capacity() + self.bytes.capacity() / 2;
            let capacity = grown.max(MIN_CAPACITY).min(self.max_bytes).max(needed);
            self.hold.charge(capacity).await?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(chunk);
        self.progress += chunk.len();
        if self.progress >= PROGRESS_BYTES {
            self.hold.set_droppable(true);
            self.progress = 0;
        }
        Ok(())
    }

    /// Returns the bytes, which are whole and no longer dropped; they are released with their last clone.
    ///
    /// # Errors
    ///
    /// `Shortage` if the holding has been dropped just now.
    pub async fn finish(mut self) -> Result<Bytes, Shortage> {
        self.bytes.shrink_to_fit();
        self.hold.set_droppable(false);
        // Less than before is always granted.
        self.hold.charge(self.bytes.capacity()).await?;
        Ok(self.hold.wrap(self.bytes))
    }
}

/// Bytes with their guard; fields are dropped in this order, the bytes first.
struct Held {
    bytes: Vec<u8>,
    _hold: Hold,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
