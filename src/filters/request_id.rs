//! Request ids. Every router can verify the organisation of an id by itself,
//! without a query to another process.

/// Context of the key derivation; a change would invalidate all ids.
const KEY_CONTEXT: &str = "filberttiller 2026 request id";
/// Characters of each half of an id.
const HALF_CHARS: usize = 16;

/// A new id for a request of `organisation`: a random half, then a keyed hash of
/// that half and the organisation under the fleet's token.
pub(crate) fn new_id(token: &str, organisation: &[u8]) -> String {
    let random = format!("{:016x}", rand::random::<u64>());
    let tag = tag(token, organisation, &random);
    random + &tag
}

/// Whether this fleet issued `id` for a request of `organisation`.
pub(crate) fn belongs(token: &str, organisation: &[u8], id: &str) -> bool {
    let Some((random, shown)) = id.split_at_checked(HALF_CHARS) else {
        return false;
    };
    // Hashes compare in constant time, so timing does not reveal the tag.
    blake3::hash(tag(token, organisation, random).as_bytes()) == blake3::hash(shown.as_bytes())
}

fn tag(token: &str, organisation: &[u8], random: &str) -> String {
    let key = blake3::derive_key(KEY_CONTEXT, token.as_bytes());
    let mut hasher = blake3::Hasher::new_keyed(&key);
    hasher.update(random.as_bytes());
    hasher.update(organisation);
    let mut half = hasher.finalize().to_hex().to_string();
    half.truncate(HALF_CHARS);
    half
}
