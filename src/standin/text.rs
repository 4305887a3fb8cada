//! Deterministic text of answers, so that tests can check a resumed answer.

const WORDS: [&str; 16] = [
    "punch", "die", "holder", "bend", "radius", "steel", "gauge", "valve", "hose", "seal", "service", "note",
    "round", "check", "order", "ready",
];

/// Word at `offset`, from 0, of the answer to `prompt`, with a space behind it.
pub fn answer_word(prompt: &str, offset: u64) -> String {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(prompt.as_bytes(), offset);
    format!("{} ", WORDS[(hash % WORDS.len() as u64) as usize])
}
