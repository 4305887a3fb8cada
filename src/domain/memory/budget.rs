//! Budget of the bytes that a process holds for its callers.
//!
//! A limit for each request does not bound their sum, and the platform kills a process that exceeds the
//! memory of its VM. So every holding is charged here before its memory is taken. When the budget runs short,
//! bodies that are still being read are dropped, because nothing of their requests has run: first those
//! without progress, then the largest, and never in favour of a larger one. Answers and streams may use a part
//! of the budget that bodies may not, since their requests have run; so may small bodies, which keeps
//! ordinary requests served while large ones are refused.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

/// Largest body or answer that may use the part reserved for small ones, in bytes.
pub const SMALL: usize = 64 << 10;
/// Time without a byte after which a body or the head of a request counts as without progress.
const STALL_TIME: Duration = Duration::from_millis(1_000);
/// Shares of the budget, in eighths, that may be in use after a charge: for large bodies, for small ones, and
/// for what belongs to requests that have run unless it is small.
const LARGE_BODY_EIGHTHS: usize = 5;
const SMALL_BODY_EIGHTHS: usize = 6;
const ANSWER_EIGHTHS: usize = 7;
/// Shares of the budget, in eighths, that one owner's bodies and answers may take together after a charge for a
/// large body and for a large answer.
const OWNER_BODY_EIGHTHS: usize = 4;
const OWNER_ANSWER_EIGHTHS: usize = 5;
/// Time without a refusal after which the budget counts as free again.
const FREE_TIME: Duration = Duration::from_secs(5);

/// What memory is held for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Connection of a caller, with its buffers and the head of its request.
    Connection,
    /// Body of a request.
    Body,
    /// Answer that is collected whole.
    Answer,
    /// Part of a stream that its caller has not read yet.
    Stream,
    /// Connection opened for another gateway.
    Tunnel,
}

impl Kind {
    /// All kinds, in the order of their declaration.
    pub const ALL: [Kind; 5] = [
        Kind::Connection,
        Kind::Body,
        Kind::Answer,
        Kind::Stream,
        Kind::Tunnel,
    ];

    /// Whether holdings of this kind count against their owner.
    fn has_owner(self) -> bool {
        matches!(self, Kind::Body | Kind::Answer)
    }

    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Connection => "connection",
            Kind::Body => "body",
            Kind::Answer => "answer",
            Kind::Stream => "stream",
            Kind::Tunnel => "tunnel",
        }
    }
}

/// Identifier of a holding.
pub type Id = u64;

/// Answer to a charge.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The bytes are charged.
    Granted,
    /// The bytes fit once dropped holdings are released, of which these are new ones; to be asked again then.
    Wait(Vec<Id>),
    /// The bytes do not fit, or the holding was dropped.
    Refused,
}

/// Change of whether the budget limits callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// A holding was refused or dropped for the first time.
    Binding,
    /// None was for a while.
    Free,
}

#[derive(Debug)]
struct Holding {
    kind: Kind,
    owner: Option<String>,
    bytes: usize,
    progressed_at: Duration,
    /// Whether nothing is lost but a request that has not run.
    is_droppable: bool,
    is_dropped: bool,
}

/// Bytes held by a process, by holding.
#[derive(Debug)]
pub struct Budget {
    limit: usize,
    /// Bytes that all connections may take.
    connection_limit: usize,
    used: usize,
    /// Bytes of dropped holdings that are not released yet.
    dropped: usize,
    by_kind: [usize; Kind::ALL.len()],
    /// Holdings that were refused or dropped.
    refusals: [u64; Kind::ALL.len()],
    /// Bytes of bodies and answers by owner.
    by_owner: HashMap<String, usize>,
    holdings: HashMap<Id, Holding>,
    last_id: Id,
    /// When a holding was last refused or dropped.
    refused_at: Option<Duration>,
    is_binding: bool,
}

impl Budget {
    /// Empty budget of `limit` bytes, of which connections may take `connection_limit`.
    pub fn new(limit: usize, connection_limit: usize) -> Self {
        Budget {
            limit,
            connection_limit,
            used: 0,
            dropped: 0,
            by_kind: [0; Kind::ALL.len()],
            refusals: [0; Kind::ALL.len()],
            by_owner: HashMap::new(),
            holdings: HashMap::new(),
            last_id: 0,
            refused_at: None,
            is_binding: false,
        }
    }

    /// Adds a holding of no bytes. Only the owner of a body or an answer matters.
    pub fn open(&mut self, now: Duration, kind: Kind, owner: Option<String>) -> Id {
        self.last_id += 1;
        let holding = Holding {
            kind,
            owner,
            bytes: 0,
            progressed_at: now,
            is_droppable: kind == Kind::Body,
            is_dropped: false,
        };
        self.holdings.insert(self.last_id, holding);
        self.last_id
    }

    /// Changes a holding to `bytes` in all, which counts as progress if it is granted.
    pub fn charge(&mut self, now: Duration, id: Id, bytes: usize) -> Verdict {
        let Some(holding) = self.holdings.get(&id).filter(|h| !h.is_dropped) else {
            return Verdict::Refused;
        };
        let (kind, owner) = (holding.kind, holding.owner.clone());
        // Less than before always fits, also when others have taken the rest.
        let extra = bytes.saturating_sub(holding.bytes);
        let mut room = Room {
            total: self.excess(self.used, extra, self.ceiling(kind, bytes)),
            owner: 0,
            kind: 0,
        };
        let owner_eighths = match kind {
            Kind::Body if bytes > SMALL => OWNER_BODY_EIGHTHS,
            Kind::Answer if bytes > SMALL => OWNER_ANSWER_EIGHTHS,
            _ => usize::MAX,
        };
        if let Some(owner) = owner {
            let held = self.by_owner.get(&owner).copied().unwrap_or_default();
            let limit = (self.limit / 8).saturating_mul(owner_eighths);
            room.owner = self.excess(held, extra, limit);
        }
        if kind == Kind::Connection {
            let held = self.by_kind[kind as usize];
            room.kind = self.excess(held, extra, self.connection_limit);
        }
        if extra == 0 || room.is_enough() {
            self.set_bytes(now, id, bytes);
            return Verdict::Granted;
        }
        let Some(victims) = self.victims(now, id, bytes, room) else {
            self.refused_at = Some(now);
            self.refusals[kind as usize] += 1;
            return Verdict::Refused;
        };
        for victim in &victims {
            if let Some(holding) = self.holdings.get_mut(victim) {
                holding.is_dropped = true;
                self.refusals[holding.kind as usize] += 1;
                self.dropped += holding.bytes;
            }
        }
        if !victims.is_empty() {
            self.refused_at = Some(now);
        }
        Verdict::Wait(victims)
    }

    /// Records whether a holding may be dropped from now on: a body until it is whole, a connection until the
    /// head of its request is. Counts as progress.
    pub fn set_droppable(&mut self, now: Duration, id: Id, is_droppable: bool) {
        if let Some(holding) = self.holdings.get_mut(&id) {
            holding.is_droppable = is_droppable;
            holding.progressed_at = now;
        }
    }

    /// Whether the holding was dropped, so that it has to be released.
    pub fn is_dropped(&self, id: Id) -> bool {
        self.holdings.get(&id).is_some_and(|h| h.is_dropped)
    }

    /// Removes a holding and its bytes.
    pub fn release(&mut self, id: Id) {
        let Some(holding) = self.holdings.remove(&id) else {
            return;
        };
        self.used -= holding.bytes;
        self.by_kind[holding.kind as usize] -= holding.bytes;
        if holding.is_dropped {
            self.dropped -= holding.bytes;
        }
        self.add_to_owner(&holding, holding.bytes, 0);
    }

    /// Bytes held in all.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Bytes held for `kind`.
    pub fn used_for(&self, kind: Kind) -> usize {
        self.by_kind[kind as usize]
    }

    /// Holdings of `kind` that were refused or dropped since the start.
    pub fn refusals(&self, kind: Kind) -> u64 {
        self.refusals[kind as usize]
    }

    /// Whether the budget has begun or ceased to limit callers since the last call.
    pub fn change(&mut self, now: Duration) -> Option<Change> {
        let is_binding = self.refused_at.is_some_and(|at| now < at + FREE_TIME);
        if is_binding == self.is_binding {
            return None;
        }
        self.is_binding = is_binding;
        Some(if is_binding { Change::Binding } else { Change::Free })
    }

    /// Bytes that may be in use after a charge.
    fn ceiling(&self, kind: Kind, bytes: usize) -> usize {
        let eighths = match kind {
            Kind::Body if bytes > SMALL => LARGE_BODY_EIGHTHS,
            Kind::Body => SMALL_BODY_EIGHTHS,
            Kind::Answer | Kind::Stream if bytes <= SMALL => 8,
            Kind::Answer | Kind::Stream | Kind::Tunnel => ANSWER_EIGHTHS,
            Kind::Connection => 8,
        };
        self.limit / 8 * eighths
    }

    /// Bytes that must be freed before `extra` fit.
    fn excess(&self, held: usize, extra: usize, limit: usize) -> usize {
        (held + extra).saturating_sub(limit)
    }

    /// Holdings to drop so that `bytes` fit; none if they would not fit even then.
    fn victims(&self, now: Duration, id: Id, bytes: usize, mut room: Room) -> Option<Vec<Id>> {
        let holding = &self.holdings[&id];
        let is_stalled = |h: &Holding| h.progressed_at + STALL_TIME <= now;
        let may_drop = |h: &Holding| match holding.kind {
            // A connection is not worth a request, nor one that may be about to send one.
            Kind::Connection => h.kind == Kind::Connection && is_stalled(h),
            _ => h.kind == Kind::Body && (holding.kind != Kind::Body || is_stalled(h) || h.bytes > bytes),
        };
        for (_, dropped) in self.holdings.iter().filter(|(_, h)| h.is_dropped) {
            room.take(dropped, holding);
        }
        let droppable = |h: &Holding| h.is_droppable && !h.is_dropped && h.bytes > 0;
        let mut others: Vec<(&Id, &Holding)> = self
            .holdings
            .iter()
            .filter(|(i, h)| **i != id && droppable(h) && may_drop(h))
            .collect();
        others.sort_by_key(|(i, h)| match is_stalled(h) {
            true => (false, h.progressed_at, Reverse(0), **i),
            false => (true, Duration::ZERO, Reverse(h.bytes), **i),
        });
        let mut victims = Vec::new();
        for (other, candidate) in others {
            if room.is_enough() {
                break;
            }
            if room.take(candidate, holding) {
                victims.push(*other);
            }
        }
        room.is_enough().then_some(victims)
    }

    fn set_bytes(&mut self, now: Duration, id: Id, bytes: usize) {
        let Some(mut holding) = self.holdings.remove(&id) else {
            return;
        };
        let before = std::mem::replace(&mut holding.bytes, bytes);
        holding.progressed_at = now;
        self.used = self.used - before + bytes;
        let of_kind = &mut self.by_kind[holding.kind as usize];
        *of_kind = *of_kind - before + bytes;
        self.add_to_owner(&holding, before, bytes);
        self.holdings.insert(id, holding);
    }

    fn add_to_owner(&mut self, holding: &Holding, before: usize, after: usize) {
        let Some(owner) = holding.owner.as_ref().filter(|_| holding.kind.has_owner()) else {
            return;
        };
        let held = self.by_owner.entry(owner.clone()).or_default();
        *held = *held - before + after;
        if *held == 0 {
            self.by_owner.remove(owner);
        }
    }
}

/// Bytes that are lacking for a charge, by each limit that applies to it.
#[derive(Clone, Copy, Debug)]
struct Room {
    total: usize,
    owner: usize,
    kind: usize,
}

impl Room {
    fn is_enough(self) -> bool {
        self.total == 0 && self.owner == 0 && self.kind == 0
    }

    /// Counts the release of `other` in favour of `holding`; returns whether that helps.
    fn take(&mut self, other: &Holding, holding: &Holding) -> bool {
        let is_of_owner = other.kind.has_owner() && other.owner == holding.owner;
        let is_of_kind = other.kind == holding.kind;
        let helps = self.total > 0 || (self.owner > 0 && is_of_owner) || (self.kind > 0 && is_of_kind);
        self.total = self.total.saturating_sub(other.bytes);
        if is_of_owner {
            self.owner = self.owner.saturating_sub(other.bytes);
        }
        if is_of_kind {
            self.kind = self.kind.saturating_sub(other.bytes);
        }
        helps
    }
}
