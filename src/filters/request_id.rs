//! Ids of requests: every router can tell which organisation one belongs to,
//! without asking anybody.

/// Context of the key derivation.
const KEY_CONTEXT: &str = "filberttiller 2026 request id";
/// Characters of each half of an id.
const HALF_CHARS: usize = 16;

/// A new id for a request of `organisation`: a random half, and a half that
/// authenticates it together with the organisation under the fleet's token.
pub(crate) fn new_id(token: &str, organisation: &[u8]) -> String {
    let random = format!("{:016x}", rand::random::<u64>());
    let tag = tag(token, organisation, &random);
    random + &tag
}

/// Whether `id` was made for a request of `organisation` by this fleet.
pub(crate) fn belongs(token: &str, organisation: &[u8], id: &str) -> bool {
    let Some((random, shown)) = id.split_at_checked(HALF_CHARS) else {
        return false;
    };
    // The comparison of hashes takes the same time wherever they differ.
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
