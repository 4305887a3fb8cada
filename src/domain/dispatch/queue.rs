//! Bounded queue with weighted fair scheduling between client accounts.
//!
//! Stride scheduling: each account has a pass (virtual time) that grows by the inverse
//! of its share with every call taken, and the account with the smallest pass goes next.
//! An account that was idle resumes at the pass of the queue, so idle time earns no
//! priority.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::Call;
use super::Refusal;

/// Increase of the pass for one call of an account with share 1; divided by larger shares.
const STRIDE: u64 = 1 << 20;

/// Queued calls of one client account.
#[derive(Clone, Debug, Default)]
struct AccountQueue {
    pass: u64,
    share: u32,
    /// Calls by priority class.
    classes: BTreeMap<u8, VecDeque<Call>>,
    /// Calls in all classes.
    len: usize,
}

/// Calls that wait for the replicas of one environment and stage.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    accounts: BTreeMap<String, AccountQueue>,
    /// Pass of the account that was served last, before it was charged.
    pass: u64,
    len: usize,
}

impl Queue {
    /// Number of queued calls.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no call is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a call, up to `max_len` calls in all and `max_queued` of its client account.
    ///
    /// When the queue is full and another account holds more than its fair share, the
    /// newest call in the lowest priority class of that account is evicted and returned;
    /// the caller of this method refuses it.
    ///
    /// # Errors
    ///
    /// `QueueFull` when the account or the queue is full and nothing is evicted.
    pub fn push(&mut self, call: Call, max_len: usize) -> Result<Option<Call>, Refusal> {
        let account_len = self.accounts.get(&call.client_account).map_or(0, |a| a.len);
        if account_len >= call.max_queued {
            return Err(Refusal::QueueFull);
        }
        let mut evicted = None;
        if self.len >= max_len {
            evicted = self.evict(account_len, call.share);
            if evicted.is_none() {
                return Err(Refusal::QueueFull);
            }
        }
        let pass = self.pass;
        let account = self.accounts.entry(call.client_account.clone()).or_default();
        if account.len == 0 {
            account.pass = account.pass.max(pass);
        }
        account.share = call.share.max(1);
        account.len += 1;
        self.len += 1;
        account.classes.entry(call.priority).or_default().push_back(call);
        Ok(evicted)
    }

    /// Takes the next call: by account in stride order, then by priority, then by arrival.
    pub fn pop(&mut self) -> Option<Call> {
        let waiting = self.accounts.iter_mut().filter(|(_, a)| a.len > 0);
        let (_, account) = waiting.min_by_key(|(_, a)| a.pass)?;
        self.pass = account.pass;
        account.pass += STRIDE / u64::from(account.share);
        account.len -= 1;
        self.len -= 1;
        let mut class = account
            .classes
            .last_entry()
            .expect("an account with queued calls has a class");
        let call = class.get_mut().pop_front();
        if class.get().is_empty() {
            class.remove();
        }
        call
    }

    /// Returns a popped call that no replica can take yet to the front of its account.
    pub fn requeue(&mut self, call: Call) {
        let account = self.accounts.entry(call.client_account.clone()).or_default();
        account.share = call.share.max(1);
        account.pass = account.pass.saturating_sub(STRIDE / u64::from(account.share));
        account.len += 1;
        self.len += 1;
        account.classes.entry(call.priority).or_default().push_front(call);
    }

    /// Removes the call with identifier `id`.
    pub fn remove(&mut self, id: &str) -> Option<Call> {
        self.remove_matching(|c| c.id == id).pop()
    }

    /// Removes the calls whose deadline has passed.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<Call> {
        let removed = self.remove_matching(|c| now >= c.deadline);
        // An idle account that is not ahead of the queue would resume at the pass of the
        // queue anyway.
        let pass = self.pass;
        self.accounts.retain(|_, a| a.len > 0 || a.pass > pass);
        removed
    }

    /// Removes all calls.
    pub fn drain(&mut self) -> Vec<Call> {
        self.remove_matching(|_| true)
    }

    fn remove_matching(&mut self, matches: impl Fn(&Call) -> bool) -> Vec<Call> {
        let mut removed = Vec::new();
        for account in self.accounts.values_mut() {
            for class in account.classes.values_mut() {
                let (out, kept): (VecDeque<Call>, VecDeque<Call>) = class.drain(..).partition(|c| matches(c));
                removed.extend(out);
                *class = kept;
            }
            account.classes.retain(|_, c| !c.is_empty());
            account.len = account.classes.values().map(VecDeque::len).sum();
        }
        self.len -= removed.len();
        removed
    }

    /// Takes a call of the account that is longest for its share.
    ///
    /// `None` if that account is not longer, for its share, than the account of the new
    /// call would be. The latter has `account_len` calls queued and the share `share`.
    fn evict(&mut self, account_len: usize, share: u32) -> Option<Call> {
        let weighted_len = |len: usize, share: u32| len as f64 / f64::from(share.max(1));
        let longest = self
            .accounts
            .values_mut()
            .max_by(|a, b| weighted_len(a.len, a.share).total_cmp(&weighted_len(b.len, b.share)))?;
        if weighted_len(longest.len, longest.share) <= weighted_len(account_len + 1, share) {
            return None;
        }
        let mut class = longest.classes.first_entry()?;
        let call = class.get_mut().pop_back();
        if class.get().is_empty() {
            class.remove();
        }
        longest.len -= 1;
        self.len -= 1;
        call
    }
}
