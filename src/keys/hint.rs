//! Chat hints: which engine has the prefix of a chat in its cache.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;

use crate::keys::{KeyRing, Purpose};

/// Size of engine and incarnation.
const PAYLOAD_BYTES: usize = 16;
/// Size of the authentication code. Short, since a forged hint costs at most the reuse
/// of a cache.
const CODE_BYTES: usize = 8;

/// Encodes the hint of one chat: engine and incarnation, valid for that chat only.
pub fn write_hint(ring: &KeyRing, chat: u64, engine: u64, incarnation: u64) -> String {
    let mut bytes = [0; PAYLOAD_BYTES + CODE_BYTES];
    bytes[..8].copy_from_slice(&engine.to_be_bytes());
    bytes[8..PAYLOAD_BYTES].copy_from_slice(&incarnation.to_be_bytes());
    let (payload, code) = bytes.split_at_mut(PAYLOAD_BYTES);
    let parts: [&[u8]; 2] = [&chat.to_be_bytes(), payload];
    code.copy_from_slice(&ring.sign::<CODE_BYTES>(Purpose::Hint, &parts));
    URL_SAFE_NO_PAD.encode(bytes)
}

/// Decodes the hint of one chat; `None` when it is malformed, forged or of another
/// chat.
pub fn read_hint(ring: &KeyRing, chat: u64, text: &str) -> Option<(u64, u64)> {
    let mut bytes = [0; PAYLOAD_BYTES + CODE_BYTES];
    let length = URL_SAFE_NO_PAD.decode_slice(text, &mut bytes).ok()?;
    if length != bytes.len() {
        return None;
    }
    let (payload, code) = bytes.split_at(PAYLOAD_BYTES);
    let parts: [&[u8]; 2] = [&chat.to_be_bytes(), payload];
    if !ring.verify(Purpose::Hint, &parts, code) {
        return None;
    }
    let (engine, incarnation) = payload.split_at(8);
    Some((u64_of(engine)?, u64_of(incarnation)?))
}

fn u64_of(bytes: &[u8]) -> Option<u64> {
    Some(u64::from_be_bytes(bytes.try_into().ok()?))
}
