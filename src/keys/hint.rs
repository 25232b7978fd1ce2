//! The chat hint: which engine holds a chat's prefix.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;

use crate::keys::{KeyRing, Purpose};

/// Bytes of engine and incarnation.
const PAYLOAD_BYTES: usize = 16;
/// Bytes of the authentication code; a forged hint costs at most cache reuse.
const CODE_BYTES: usize = 8;

/// Writes the hint of one chat: engine and incarnation, good for that chat only.
pub fn write_hint(ring: &KeyRing, chat: u64, engine: u64, incarnation: u64) -> String {
    let mut bytes = [0; PAYLOAD_BYTES + CODE_BYTES];
    bytes[..8].copy_from_slice(&engine.to_be_bytes());
    bytes[8..PAYLOAD_BYTES].copy_from_slice(&incarnation.to_be_bytes());
    let (payload, place) = bytes.split_at_mut(PAYLOAD_BYTES);
    let parts: [&[u8]; 2] = [&chat.to_be_bytes(), payload];
    place.copy_from_slice(&ring.sign::<CODE_BYTES>(Purpose::Hint, &parts));
    URL_SAFE_NO_PAD.encode(bytes)
}

/// Reads the hint of one chat; `None` when it is broken, forged or of another chat.
pub fn read_hint(ring: &KeyRing, chat: u64, text: &str) -> Option<(u64, u64)> {
    let mut bytes = [0; PAYLOAD_BYTES + CODE_BYTES];
    let length = URL_SAFE_NO_PAD.decode_slice(text, &mut bytes).ok()?;
    if length != bytes.len() {
        return None;
    }
    let (payload, shown) = bytes.split_at(PAYLOAD_BYTES);
    let parts: [&[u8]; 2] = [&chat.to_be_bytes(), payload];
    if !ring.verify(Purpose::Hint, &parts, shown) {
        return None;
    }
    let (engine, incarnation) = payload.split_at(8);
    Some((u64_of(engine)?, u64_of(incarnation)?))
}

fn u64_of(bytes: &[u8]) -> Option<u64> {
    Some(u64::from_be_bytes(bytes.try_into().ok()?))
}
