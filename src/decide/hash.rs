//! Hashes that are the same on every router.

/// Hashes `bytes`.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Returns the key of one chat of one organisation.
pub fn chat_key(organisation: &str, chat: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(organisation.len() as u64).to_le_bytes());
    hasher.update(organisation.as_bytes());
    hasher.update(chat.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Mixes two hashes into one (the finaliser of SplitMix64, Steele et al. 2014).
pub fn combine(a: u64, b: u64) -> u64 {
    let mut z = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Returns the score of a candidate in weighted rendezvous hashing, where the highest
/// score wins (Schindelhauer and Schomaker 2005).
pub fn weighted_score(key: u64, candidate: u64, weight: f64) -> f64 {
    let bits = combine(key, candidate) >> 11;
    let unit = (bits as f64 + 0.5) / (1u64 << 53) as f64;
    -weight / unit.ln()
}
