//! Order in which the asks that wait for a permit are served.
//!
//! Asks go by priority, and each [`FIRST_COME_INTERVAL`]th permit by arrival, so that the least urgent get a part.
//! Where asks of several accounts wait, that order only says whose turn it is by priority; which ask of that
//! priority is served follows from what its account has had:
//!
//! - Permits that were short count as used by their account for [`MEMORY`]. The account that has used least is
//!   served first, which is max-min fairness: one that asks for less than its share never waits behind one that
//!   asks for more.
//! - Serving the least used first is not enough where a burst has used up the windows of all targets before the
//!   others ask. So after an ask of an account below its share has ended without a permit, the permits of accounts
//!   above their share are spaced evenly for [`HOLD`].
//! - Of each third permit, an account goes first that has got less than [`FLOOR`] of what all accounts have got,
//!   relative to what each asked for. These parts add up to less than a third, so the floor can always be met.
//! - An account that has been idle has no claim to what it did not use: it starts at most [`MAX_CREDIT`] permits
//!   below the others. Otherwise all permits would go to it until it had caught up.
//!
//! Permits of targets that nobody waits for do not count as used, since they take nothing from others. Asks that
//! state no account, such as those of older gateways, keep the place that priority and arrival give them.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::Ask;
use super::pacer::Waiting;

/// One permit of so many goes to the ask that has waited longest, whatever its priority: the least urgent still
/// get a part.
const FIRST_COME_INTERVAL: u64 = 3;
/// Time in which asks and permits lose weight by a factor of e. It spans several asks of an account with one ask
/// per second; a longer one would make an account pay for a burst that has long ended.
const MEMORY: Duration = Duration::from_secs(2);
/// Least part of the mean ratio of permits to asks that an account gets: a quarter is required, the rest covers
/// the delay until a shortage shows in the counts.
const FLOOR: f64 = 0.3;
/// Permits by which an account that begins to wait may be ahead of the others of its priority.
const MAX_CREDIT: f64 = 8.0;
/// Time for which accounts above their share are paced after one below its share got no permit. It exceeds the
/// window, since all of a window's permits would be used up at once when it ends.
const HOLD: Duration = Duration::from_secs(2);
/// Multiple of its share's rate at which a paced account gets permits. At the share's rate itself, permits end unused
/// whenever the others ask for less for a moment.
const HOLD_MARGIN: f64 = 3.0;
/// Shares that are kept; beyond that the one with the fewest asks is dropped.
const MAX_SHARES: usize = 512;
/// Weighted number of asks below which a share is forgotten.
const MIN_ASKED: f64 = 0.05;

/// Client account at one priority, by the hash of its name.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Payer {
    rank: u8,
    account: u64,
}

impl Payer {
    /// Payer of an ask; none if it states no account.
    pub(super) fn of(ask: &Ask) -> Option<Self> {
        let account = ask.account.as_ref()?;
        Some(Payer {
            rank: ask.rank,
            account: xxhash_rust::xxh3::xxh3_64(account.as_bytes()),
        })
    }
}

/// Counts of a payer, which lose weight over [`MEMORY`].
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    asked: f64,
    granted: f64,
    /// Permits that were short.
    used: f64,
    updated_at: Duration,
    /// When a permit was last issued.
    granted_at: Option<Duration>,
}

impl Share {
    /// The counts as of `now`.
    fn at(&self, now: Duration) -> Share {
        let age = now.saturating_sub(self.updated_at);
        let weight = (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        Share {
            asked: self.asked * weight,
            granted: self.granted * weight,
            used: self.used * weight,
            updated_at: now,
            granted_at: self.granted_at,
        }
    }

    /// Permits relative to asks.
    fn ratio(&self) -> f64 {
        self.granted / self.asked.max(f64::MIN_POSITIVE)
    }
}

/// What payers have asked for and got.
#[derive(Clone, Debug, Default)]
pub(super) struct Order {
    shares: BTreeMap<Payer, Share>,
    /// Of all payers together.
    total: Share,
    /// Until when accounts above their share are paced.
    held_until: Duration,
}

impl Order {
    /// Counts an ask that is about to wait with the others.
    pub(super) fn record_ask(&mut self, now: Duration, payer: Payer, waiting: &[Waiting]) {
        let others = || waiting.iter().filter_map(|w| w.payer);
        let is_waiting = others().any(|other| other == payer);
        let level = others()
            .filter(|other| other.rank == payer.rank)
            .map(|other| self.used(now, other))
            .min_by(f64::total_cmp);
        if self.shares.len() >= MAX_SHARES && !self.shares.contains_key(&payer) {
            self.drop_least(now);
        }
        let mut share = self.share(now, payer);
        share.asked += 1.0;
        if let Some(level) = level.filter(|_| !is_waiting) {
            share.used = share.used.max(level - MAX_CREDIT);
        }
        self.shares.insert(payer, share);
        self.total = self.total.at(now);
        self.total.asked += 1.0;
    }

    /// Counts a permit; `is_short` tells whether asks have waited for it.
    pub(super) fn record_permit(&mut self, now: Duration, payer: Payer, is_short: bool) {
        let mut share = self.share(now, payer);
        share.granted += 1.0;
        share.granted_at = Some(now);
        share.used += f64::from(u8::from(is_short));
        self.shares.insert(payer, share);
        self.total = self.total.at(now);
        self.total.granted += 1.0;
    }

    /// Counts an ask that has ended without a permit.
    pub(super) fn record_denial(&mut self, now: Duration, payer: Payer) {
        if self.share(now, payer).asked <= self.level(now, payer.rank) {
            self.held_until = now + HOLD;
        }
    }

    /// Positions of the waiting asks in the order in which they are to be served, after `issued` permits.
    pub(super) fn arrange(&self, now: Duration, issued: u64, waiting: &[Waiting]) -> Vec<usize> {
        let is_first_come = issued.is_multiple_of(FIRST_COME_INTERVAL);
        let mut order: Vec<usize> = (0..waiting.len()).collect();
        if !is_first_come {
            order.sort_by_key(|i| waiting[*i].ask.rank);
        }
        if now < self.held_until {
            let mut held: BTreeMap<Payer, bool> = BTreeMap::new();
            let mut is_held = |payer| *held.entry(payer).or_insert_with(|| self.is_held(now, payer));
            order.retain(|i| !waiting[*i].payer.is_some_and(&mut is_held));
        }
        if !has_several_accounts(waiting) {
            return order;
        }
        let mut by_use = self.by_use(now, waiting, &order);
        for place in &mut order {
            let queue = waiting[*place].payer.and_then(|p| by_use.get_mut(&p.rank));
            *place = queue.and_then(VecDeque::pop_front).unwrap_or(*place);
        }
        if is_first_come && let Some(payer) = self.below_floor(now, waiting) {
            let is_first = |i: &usize| waiting[*i].payer == Some(payer);
            if let Some(place) = order.iter().position(is_first) {
                order[..=place].rotate_right(1);
            }
        }
        order
    }

    /// Forgets payers that have not asked for long.
    pub(super) fn expire(&mut self, now: Duration) {
        self.shares.retain(|_, share| share.at(now).asked >= MIN_ASKED);
    }

    /// Asks of each priority by what their accounts have used; each further ask of an account counts as if those
    /// before it were served.
    fn by_use(&self, now: Duration, waiting: &[Waiting], order: &[usize]) -> BTreeMap<u8, VecDeque<usize>> {
        let mut used: BTreeMap<Payer, f64> = BTreeMap::new();
        let mut positions: Vec<(Payer, f64, usize)> = Vec::new();
        let mut by_arrival = order.to_vec();
        by_arrival.sort_unstable();
        for position in by_arrival {
            let Some(payer) = waiting[position].payer else {
                continue;
            };
            let used = used.entry(payer).or_insert_with(|| self.used(now, payer));
            positions.push((payer, *used, position));
            *used += 1.0;
        }
        positions.sort_by(|(_, a, _), (_, b, _)| a.total_cmp(b));
        let mut by_use: BTreeMap<u8, VecDeque<usize>> = BTreeMap::new();
        for (payer, _, position) in positions {
            by_use.entry(payer.rank).or_default().push_back(position);
        }
        by_use
    }

    /// Waiting payer with the lowest ratio, if that is below the floor.
    fn below_floor(&self, now: Duration, waiting: &[Waiting]) -> Option<Payer> {
        let floor = FLOOR * self.total.ratio();
        let ratio = |payer: Payer| (self.share(now, payer).ratio(), payer);
        let by_ratio = |a: &(f64, Payer), b: &(f64, Payer)| -> Ordering { a.0.total_cmp(&b.0) };
        let ratios = waiting.iter().filter_map(|w| w.payer).map(ratio);
        let (lowest, payer) = ratios.min_by(by_ratio)?;
        (lowest < floor).then_some(payer)
    }

    /// Number of permits up to which the accounts of one priority get all that they ask for, if what they have got
    /// together is divided by max-min fairness.
    fn level(&self, now: Duration, rank: u8) -> f64 {
        let shares = self.shares.iter().filter(|(payer, _)| payer.rank == rank);
        let mut shares: Vec<Share> = shares.map(|(_, share)| share.at(now)).collect();
        shares.sort_by(|a, b| a.asked.total_cmp(&b.asked));
        let mut rest: f64 = shares.iter().map(|share| share.granted).sum();
        let count = shares.len();
        for (i, share) in shares.iter().enumerate() {
            let level = rest / (count - i) as f64;
            if share.asked > level {
                return level;
            }
            rest -= share.asked;
        }
        f64::INFINITY
    }

    /// Whether a payer asks for more than its share, has got the floor, and has had its last permit only just now.
    fn is_held(&self, now: Duration, payer: Payer) -> bool {
        let share = self.share(now, payer);
        let is_above_floor = share.ratio() >= FLOOR * self.total.ratio();
        let level = self.level(now, payer.rank);
        let interval = MEMORY.as_secs_f64() / (HOLD_MARGIN * level).max(1.0);
        let is_early = |at| now.saturating_sub(at).as_secs_f64() < interval;
        is_above_floor && share.asked > level && share.granted_at.is_some_and(is_early)
    }

    fn share(&self, now: Duration, payer: Payer) -> Share {
        let share = self.shares.get(&payer).copied().unwrap_or_default();
        share.at(now)
    }

    fn used(&self, now: Duration, payer: Payer) -> f64 {
        self.share(now, payer).used
    }

    fn drop_least(&mut self, now: Duration) {
        let asked = |share: &Share| share.at(now).asked;
        let least = self
            .shares
            .iter()
            .min_by(|a, b| asked(a.1).total_cmp(&asked(b.1)));
        if let Some(payer) = least.map(|(payer, _)| *payer) {
            self.shares.remove(&payer);
        }
    }
}

/// Position of the ask that gives way to one of `payer` when no more may wait: the latest one of the account with
/// the most, if that has at least two more than the payer's.
///
/// Otherwise a burst of one account would keep all others from waiting at all.
pub(super) fn displaced(payer: Payer, waiting: &[Waiting]) -> Option<usize> {
    let account = |w: &Waiting| w.payer.map(|p| p.account);
    let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
    for account in waiting.iter().filter_map(account) {
        *counts.entry(account).or_default() += 1;
    }
    let own = counts.get(&payer.account).copied().unwrap_or(0);
    let (largest, count) = counts.into_iter().max_by_key(|(_, count)| *count)?;
    let is_latest = |w: &Waiting| account(w) == Some(largest);
    let position = waiting.iter().rposition(is_latest)?;
    (count > own + 1).then_some(position)
}

fn has_several_accounts(waiting: &[Waiting]) -> bool {
    let mut accounts = waiting.iter().filter_map(|w| w.payer).map(|p| p.account);
    let first = accounts.next();
    accounts.any(|account| Some(account) != first)
}
