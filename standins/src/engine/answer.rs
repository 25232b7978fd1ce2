//! Answer of an engine: a fixed function of the prompt, so that every caller can
//! verify its own.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Token `index` of the answer to `prompt`.
pub fn answer_token(prompt: &str, index: u32) -> String {
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    index.hash(&mut hasher);
    format!("{:08x} ", hasher.finish() as u32)
}

/// Complete answer of `count` tokens to `prompt`.
pub fn answer(prompt: &str, count: u32) -> String {
    (0..count).map(|i| answer_token(prompt, i)).collect()
}
