//! The chat hint: which engine holds a chat's prefix.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;

use crate::keys::{KeyRing, Purpose};

/// Bytes of chat, engine and incarnation.
const PAYLOAD_BYTES: usize = 24;
/// Bytes of the authentication code; a forged hint costs at most cache reuse.
const CODE_BYTES: usize = 8;

key! {
    /// What a chat hint says.
    pub struct ChatHint {
        /// Key of the chat that it was written for.
        pub chat: u64,
        /// Hash of the engine's name.
        pub engine: u64,
        /// Incarnation of the engine.
        pub incarnation: u64,
    }
}

/// Writes a hint for one organisation.
pub fn write_hint(ring: &KeyRing, organisation: &str, hint: &ChatHint) -> String {
    let mut bytes = [0; PAYLOAD_BYTES + CODE_BYTES];
    for (i, field) in [hint.chat, hint.engine, hint.incarnation].into_iter().enumerate() {
        bytes[8 * i..8 * (i + 1)].copy_from_slice(&field.to_be_bytes());
    }
    let (payload, place) = bytes.split_at_mut(PAYLOAD_BYTES);
    let parts: [&[u8]; 2] = [organisation.as_bytes(), payload];
    place.copy_from_slice(&ring.sign::<CODE_BYTES>(Purpose::Hint, &parts));
    URL_SAFE_NO_PAD.encode(bytes)
}

/// Reads a hint; `None` when it is broken, forged or of another organisation.
pub fn read_hint(ring: &KeyRing, organisation: &str, text: &str) -> Option<ChatHint> {
    let mut bytes = [0; PAYLOAD_BYTES + CODE_BYTES];
    let length = URL_SAFE_NO_PAD.decode_slice(text, &mut bytes).ok()?;
    if length != bytes.len() {
        return None;
    }
    let (payload, shown) = bytes.split_at(PAYLOAD_BYTES);
    let parts: [&[u8]; 2] = [organisation.as_bytes(), payload];
    if !ring.verify(Purpose::Hint, &parts, shown) {
        return None;
    }
    let field = |i: usize| {
        let mut field = [0; 8];
        field.copy_from_slice(&payload[8 * i..8 * (i + 1)]);
        u64::from_be_bytes(field)
    };
    Some(ChatHint { chat: field(0), engine: field(1), incarnation: field(2) })
}
