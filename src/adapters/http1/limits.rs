//! Limits of a server's connections.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::adapters::memory::Memory;

/// Memory for which a connection is charged beside the buffer of its head: the tasks, the parsed head and
/// the buffers for writing.
const CONNECTION_OVERHEAD: usize = 8 << 10;

/// Largest number of fields of a request head that `hyper` parses on the stack.
pub(super) const DEFAULT_HEAD_FIELDS: usize = 100;

/// Descriptors that are reserved for the process's own files and connections.
const RESERVED_DESCRIPTORS: usize = 200;

/// Smallest buffer that `hyper` accepts for a request head, in bytes.
const MIN_HEAD_BYTES: usize = 8 << 10;
/// Largest request head that can be allowed, in bytes.
const MAX_HEAD_BYTES: usize = 1 << 20;

/// Largest buffer of a request head, in bytes; clones share it.
#[derive(Clone, Debug)]
pub struct HeadLimit(Arc<AtomicUsize>);

impl HeadLimit {
    /// Limit of `bytes`, at least 8 KiB and at most 1 MiB.
    pub fn new(bytes: usize) -> Self {
        let limit = HeadLimit(Arc::default());
        limit.set(bytes);
        limit
    }

    /// Changes the limit for new connections. An open one whose limit is lower asks its caller to send a larger head
    /// again on a new one.
    pub fn set(&self, bytes: usize) {
        let bytes = bytes.clamp(MIN_HEAD_BYTES, MAX_HEAD_BYTES);
        self.0.store(bytes, Ordering::Relaxed);
    }

    pub(super) fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Limits of a server's connections.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Largest buffer of a request head.
    pub head_limit: HeadLimit,
    /// Largest number of fields of a request head.
    pub head_fields: usize,
    /// Time without a whole request head after which a connection is closed.
    pub idle_timeout: Duration,
    /// Longest time from the first byte of a request head to its last one.
    pub head_timeout: Duration,
    /// Time without a byte taken by the caller after which a response is broken off.
    pub write_timeout: Duration,
    /// Longest time from the head of a whole answer to its last byte.
    pub answer_timeout: Duration,
    /// Size of each of a connection's two socket buffers, in bytes; none for the platform's choice.
    pub socket_bytes: Option<usize>,
    /// Bytes of an unread body that are read after a refusal, so that closing does not lose the refusal.
    pub drain_bytes: usize,
    /// Longest time for that.
    pub drain_timeout: Duration,
    /// Budget that connections are charged to; none for no limit.
    pub memory: Option<Memory>,
}

impl Limits {
    /// Limits of a head's size and of the time for it only.
    pub fn new(head_bytes: usize, idle_timeout: Duration) -> Self {
        Limits {
            head_limit: HeadLimit::new(head_bytes),
            head_fields: DEFAULT_HEAD_FIELDS,
            idle_timeout,
            head_timeout: Duration::MAX,
            write_timeout: Duration::MAX,
            answer_timeout: Duration::MAX,
            socket_bytes: None,
            drain_bytes: 0,
            drain_timeout: Duration::ZERO,
            memory: None,
        }
    }

    /// Memory for which a new connection is charged.
    pub fn connection_bytes(&self) -> usize {
        connection_bytes(self.head_limit.get())
    }
}

/// Memory for which a connection with a buffer of `head_bytes` is charged.
pub(super) fn connection_bytes(head_bytes: usize) -> usize {
    head_bytes + CONNECTION_OVERHEAD
}

/// Largest number of connections, each of which takes `descriptors`; a `setting` of 0 derives it from the
/// process's limit of descriptors.
pub fn max_connections(setting: usize, descriptors: usize) -> usize {
    if setting > 0 {
        return setting;
    }
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    let available = limit.map_or(usize::MAX, |n| n as usize);
    // Bounded, since the product with the size of a connection must not overflow.
    (available.saturating_sub(RESERVED_DESCRIPTORS) / descriptors).clamp(16, 1 << 20)
}
