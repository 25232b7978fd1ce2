//! Idempotency keys that a router issues.

use std::fmt;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;

use crate::keys::{KeyRing, Purpose};

/// Prefix of every issued key.
pub const ISSUED_PREFIX: &str = "fk1.";
/// Size of router, incarnation and issue time.
const PAYLOAD_BYTES: usize = 24;
/// Size of the authentication code.
const CODE_BYTES: usize = 16;

key! {
    /// Content of an issued key.
    pub struct IssuedKey {
        /// Hash of the issuing router's name.
        pub router: u64,
        /// Incarnation of the issuing router.
        pub incarnation: u64,
        /// Time of issue, in milliseconds of the issuer's monotonic clock.
        pub issued_ms: u64,
    }

    /// Reason for which an issued key is refused.
    pub enum KeyError {
        /// The key has the prefix of an issued key but is malformed.
        Malformed,
        /// No router of the fleet issued the key to this organisation.
        NotIssued,
    }
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            KeyError::Malformed => {
                "the idempotency key has the prefix of an issued key but is malformed"
            }
            KeyError::NotIssued => "the idempotency key was not issued to this organisation",
        })
    }
}

impl std::error::Error for KeyError {}

/// Encodes a key for one organisation; callers may append `.` and their own text.
pub fn write_key(ring: &KeyRing, organisation: &str, key: &IssuedKey) -> String {
    let payload = payload(key);
    let parts: [&[u8]; 2] = [organisation.as_bytes(), &payload];
    let code = ring.sign::<CODE_BYTES>(Purpose::IdempotencyKey, &parts);
    let bytes = [&payload[..], &code[..]].concat();
    format!("{ISSUED_PREFIX}{}", URL_SAFE_NO_PAD.encode(bytes))
}

/// Decodes an issued key with or without text that the caller appended; `None` when
/// `text` does not start with [`ISSUED_PREFIX`].
///
/// # Errors
/// The key is malformed, forged or issued to another organisation.
pub fn read_key(
    ring: &KeyRing,
    organisation: &str,
    text: &str,
) -> Option<Result<IssuedKey, KeyError>> {
    let rest = text.strip_prefix(ISSUED_PREFIX)?;
    let signed = rest.split('.').next().unwrap_or(rest);
    Some(read_signed(ring, organisation, signed))
}

fn read_signed(ring: &KeyRing, organisation: &str, signed: &str) -> Result<IssuedKey, KeyError> {
    let mut bytes = [0; PAYLOAD_BYTES + CODE_BYTES];
    let length =
        URL_SAFE_NO_PAD.decode_slice(signed, &mut bytes).map_err(|_| KeyError::Malformed)?;
    if length != bytes.len() {
        return Err(KeyError::Malformed);
    }
    let (payload, code) = bytes.split_at(PAYLOAD_BYTES);
    let parts: [&[u8]; 2] = [organisation.as_bytes(), payload];
    if !ring.verify(Purpose::IdempotencyKey, &parts, code) {
        return Err(KeyError::NotIssued);
    }
    let field = |i: usize| {
        let mut field = [0; 8];
        field.copy_from_slice(&payload[8 * i..8 * (i + 1)]);
        u64::from_be_bytes(field)
    };
    Ok(IssuedKey { router: field(0), incarnation: field(1), issued_ms: field(2) })
}

fn payload(key: &IssuedKey) -> [u8; PAYLOAD_BYTES] {
    let mut bytes = [0; PAYLOAD_BYTES];
    bytes[..8].copy_from_slice(&key.router.to_be_bytes());
    bytes[8..16].copy_from_slice(&key.incarnation.to_be_bytes());
    bytes[16..].copy_from_slice(&key.issued_ms.to_be_bytes());
    bytes
}
