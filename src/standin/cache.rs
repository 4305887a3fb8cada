//! Prompt cache of a stand-in engine, as published for paged engines: memory in blocks of a fixed number of tokens,
//! which running requests and retained prompts share.
//!
//! A block is identified by its tokens and all tokens before it. Only whole blocks are shared. A block that no
//! request uses stays until its memory is needed; the least recently used one is evicted first, and of one request's
//! blocks the last one.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens of one block.
pub const BLOCK_TOKENS: usize = 16;

#[derive(Debug, Default)]
struct Block {
    /// Running requests that use the block.
    users: u32,
    /// Position in the order of use, while no request uses the block.
    recency: u64,
}

/// Memory that one running request uses.
#[derive(Debug)]
pub struct Admission {
    /// Identifiers of the prompt's whole blocks.
    keys: Vec<u64>,
    /// Blocks for the rest of the prompt and the answer.
    private: usize,
    /// Tokens of the prompt that need not be read.
    pub cached_tokens: usize,
}

/// Block memory of one engine.
#[derive(Debug, Default)]
pub struct Cache {
    /// Size of the memory in blocks.
    capacity: usize,
    blocks: BTreeMap<u64, Block>,
    /// Blocks that no request uses, least recently used first.
    idle: BTreeMap<u64, u64>,
    /// Blocks that are not shared.
    private: usize,
    next_recency: u64,
}

/// Identifiers of the whole blocks of a text.
pub fn block_keys(tokens: &[u64]) -> Vec<u64> {
    let chain = |key: &mut u64, block: &[u64]| {
        let bytes: Vec<u8> = block.iter().flat_map(|t| t.to_le_bytes()).collect();
        *key = xxh3_64_with_seed(&bytes, *key);
        Some(*key)
    };
    tokens.chunks_exact(BLOCK_TOKENS).scan(0, chain).collect()
}

impl Cache {
    /// Empty memory of `tokens` tokens.
    pub fn new(tokens: usize) -> Self {
        Cache {
            capacity: tokens / BLOCK_TOKENS,
            ..Cache::default()
        }
    }

    /// Takes memory for a prompt and an answer of `answer_tokens`; none while running requests leave too little.
    pub fn admit(&mut self, prompt: &[u64], answer_tokens: usize) -> Option<Admission> {
        let keys = block_keys(prompt);
        let rest = prompt.len() - keys.len() * BLOCK_TOKENS + answer_tokens;
        let private = rest.div_ceil(BLOCK_TOKENS);
        let held = keys.iter().take_while(|k| self.blocks.contains_key(k)).count();
        for key in &keys[..held] {
            self.start_use(*key);
        }
        let needed = keys.len() - held + private;
        if !self.make_room(needed) {
            self.end_use(&keys[..held]);
            return None;
        }
        for key in &keys[held..] {
            self.start_use(*key);
        }
        self.private += private;
        // The last token is always read: its output is the first token of the answer.
        let cached_tokens = (held * BLOCK_TOKENS).min(prompt.len().saturating_sub(1));
        Some(Admission {
            keys,
            private,
            cached_tokens,
        })
    }

    /// Releases the memory of a request that has ended, and retains its blocks and those of the whole `text`
    /// of prompt and answer.
    pub fn release(&mut self, admission: Admission, text: &[u64]) {
        self.private -= admission.private;
        let mut keys = admission.keys;
        for key in block_keys(text).into_iter().skip(keys.len()) {
            if !self.make_room(1) {
                break;
            }
            self.start_use(key);
            keys.push(key);
        }
        self.end_use(&keys);
    }

    /// Evicts all blocks that no request uses.
    pub fn clear(&mut self) {
        for key in std::mem::take(&mut self.idle).values() {
            self.blocks.remove(key);
        }
    }

    /// Tokens that running requests use or that are retained.
    pub fn tokens(&self) -> usize {
        (self.blocks.len() + self.private) * BLOCK_TOKENS
    }

    /// Evicts blocks until `needed` further ones fit; evicts none and returns false if they cannot.
    fn make_room(&mut self, needed: usize) -> bool {
        let in_use = self.blocks.len() - self.idle.len() + self.private;
        if in_use + needed > self.capacity {
            return false;
        }
        while self.blocks.len() + self.private + needed > self.capacity {
            if let Some((_, key)) = self.idle.pop_first() {
                self.blocks.remove(&key);
            }
        }
        true
    }

    fn start_use(&mut self, key: u64) {
        let block = self.blocks.entry(key).or_default();
        if block.users == 0 {
            self.idle.remove(&block.recency);
        }
        block.users += 1;
    }

    fn end_use(&mut self, keys: &[u64]) {
        for key in keys.iter().rev() {
            let Some(block) = self.blocks.get_mut(key) else {
                continue;
            };
            block.users -= 1;
            if block.users == 0 {
                self.next_recency += 1;
                block.recency = self.next_recency;
                self.idle.insert(block.recency, *key);
            }
        }
    }
}
