//! Prompt prefixes that targets are expected to hold, as far as this gateway has sent them there.

use std::collections::BTreeMap;
use std::time::Duration;

use super::prefix::Node;
use super::prefix::Prefix;

/// Most entries over all targets. An entry takes about 80 bytes, so that all of them take 1.3 MB.
const MAX_ENTRIES: usize = 16_384;
/// Time without use after which an entry is no longer relied on.
const RETENTION: Duration = Duration::from_secs(300);
/// Interval between removals of unused entries.
const SWEEP_INTERVAL: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct Entry {
    tokens: u64,
    /// Position in the order of use.
    recency: u64,
    used_at: Duration,
}

/// Prefixes at one target, in the order of their use.
#[derive(Clone, Debug, Default)]
struct Cache {
    incarnation: u64,
    entries: BTreeMap<u64, Entry>,
    /// Keys by recency, least recently used first.
    order: BTreeMap<u64, u64>,
    next_recency: u64,
    /// Tokens of all entries.
    tokens: u64,
}

impl Cache {
    fn touch(&mut self, now: Duration, node: Node) {
        let recency = self.next_recency;
        self.next_recency += 1;
        let entry = Entry {
            tokens: node.tokens,
            recency,
            used_at: now,
        };
        if let Some(previous) = self.entries.insert(node.key, entry) {
            self.order.remove(&previous.recency);
            self.tokens -= previous.tokens;
        }
        self.tokens += node.tokens;
        self.order.insert(recency, node.key);
    }

    /// Removes the least recently used entry.
    fn evict(&mut self) {
        let evicted = self
            .order
            .pop_first()
            .and_then(|(_, key)| self.entries.remove(&key));
        self.tokens -= evicted.map_or(0, |e| e.tokens);
    }

    fn evict_unused(&mut self, now: Duration) {
        let is_unused = |cache: &Cache| {
            let oldest = cache.order.first_key_value();
            let oldest = oldest.and_then(|(_, key)| cache.entries.get(key));
            oldest.is_some_and(|e| e.used_at + RETENTION <= now)
        };
        while is_unused(self) {
            self.evict();
        }
    }
}

/// Bounded record of the prefixes at each target, which ages.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// By identifier of the target.
    caches: BTreeMap<String, Cache>,
    next_sweep: Duration,
}

impl Summary {
    /// Records that incarnation `incarnation` of target `id` has read a prompt, and writes an answer of
    /// `answer_tokens` after it; the target retains at most `capacity` tokens, the least recently used
    /// being evicted first.
    pub fn record(
        &mut self,
        now: Duration,
        (id, incarnation): (&str, u64),
        prefix: &Prefix,
        answer_tokens: u64,
        capacity: u64,
    ) {
        self.sweep(now);
        let cache = self.caches.entry(id.to_owned()).or_default();
        if cache.incarnation != incarnation {
            *cache = Cache {
                incarnation,
                ..Cache::default()
            };
        }
        cache.touch(
            now,
            Node {
                key: prefix.answer_key,
                tokens: answer_tokens,
            },
        );
        // The last part first, so that a prefix loses its end before its beginning.
        for node in prefix.nodes.iter().rev() {
            cache.touch(now, *node);
        }
        while cache.tokens > capacity {
            cache.evict();
        }
        while self.entries() > MAX_ENTRIES {
            let largest = self.caches.values_mut().max_by_key(|c| c.entries.len());
            largest.into_iter().for_each(Cache::evict);
        }
    }

    /// Tokens at the beginning of the prompt that each target is expected to hold, with the target's incarnation.
    pub fn holders(&self, now: Duration, prefix: &Prefix) -> BTreeMap<String, (u64, u64)> {
        let held = self.caches.iter().map(|(id, cache)| {
            let is_held = |n: &&Node| {
                let entry = cache.entries.get(&n.key);
                entry.is_some_and(|e| now < e.used_at + RETENTION)
            };
            let tokens: u64 = prefix.nodes.iter().take_while(is_held).map(|n| n.tokens).sum();
            (id, cache.incarnation, tokens)
        });
        held.filter(|(.., tokens)| *tokens > 0)
            .map(|(id, incarnation, tokens)| (id.clone(), (incarnation, tokens)))
            .collect()
    }

    /// Number of entries over all targets.
    pub fn entries(&self) -> usize {
        self.caches.values().map(|c| c.entries.len()).sum()
    }

    fn sweep(&mut self, now: Duration) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        self.caches.values_mut().for_each(|c| c.evict_unused(now));
        self.caches.retain(|_, c| !c.entries.is_empty());
    }
}
