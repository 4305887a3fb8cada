//! Prompt as a chain of parts, each identified together with all parts before it.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Most tokens of one part that count; larger figures are not plausible and must not overflow sums.
const MAX_PART_TOKENS: u64 = 1 << 24;

/// Part of a prompt, as the caller states it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// Identifier, equal for equal text.
    pub id: String,
    /// Number of tokens.
    pub tokens: u64,
}

/// Part of a prompt together with its position.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Node {
    /// Hash of the weights and of all parts up to this one.
    pub(super) key: u64,
    pub(super) tokens: u64,
}

/// Parts of a prompt in order.
///
/// A target can reuse a part only if it holds all parts before it, for the same weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Prefix {
    pub(super) nodes: Vec<Node>,
    /// Key of the answer, which an engine retains after the prompt.
    pub(super) answer_key: u64,
}

impl Prefix {
    /// Prefix of a request to a model of a service.
    pub fn new(service: &str, model: &str, parts: &[Part]) -> Self {
        let mut key = xxh3_64_with_seed(model.as_bytes(), xxh3_64_with_seed(service.as_bytes(), 0));
        let mut nodes = Vec::with_capacity(parts.len());
        for part in parts {
            key = xxh3_64_with_seed(part.id.as_bytes(), key);
            let tokens = part.tokens.min(MAX_PART_TOKENS);
            nodes.push(Node { key, tokens });
        }
        Prefix {
            nodes,
            answer_key: !key,
        }
    }

    /// Number of tokens of all parts.
    pub fn tokens(&self) -> u64 {
        self.nodes.iter().map(|n| n.tokens).sum()
    }
}
