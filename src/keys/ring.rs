//! The fleet's secret keys.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::settings::FleetKey;

/// Bytes of a message authentication code.
const MAC_BYTES: usize = 32;

key! {
    /// What a code is for; a code for one purpose is never good for another.
    pub enum Purpose {
        /// Chat hints.
        Hint,
        /// Issued operation keys.
        IdempotencyKey,
    }
}

impl Purpose {
    fn label(self) -> &'static [u8] {
        match self {
            Purpose::Hint => b"filberttiller chat hint 1",
            Purpose::IdempotencyKey => b"filberttiller operation key 1",
        }
    }
}

/// Keys of the fleet: the first signs, all verify.
#[derive(Clone)]
pub struct KeyRing {
    /// Invariant: not empty.
    macs: Vec<Hmac<Sha256>>,
}

impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyRing({} keys)", self.macs.len())
    }
}

impl KeyRing {
    /// A ring of `keys`, or of one key derived from `token` when there are none.
    pub fn new(keys: &[FleetKey], token: &str) -> KeyRing {
        let mut macs: Vec<_> = keys.iter().map(|it| mac_of(it.secret.as_bytes())).collect();
        if macs.is_empty() {
            macs.push(mac_of(token.as_bytes()));
        }
        KeyRing { macs }
    }

    /// The first `N` bytes of the code of `parts` under the signing key.
    pub fn sign<const N: usize>(&self, purpose: Purpose, parts: &[&[u8]]) -> [u8; N] {
        let code = code(&self.macs[0], purpose, parts).finalize().into_bytes();
        let mut first = [0; N];
        first.copy_from_slice(&code[..N.min(MAC_BYTES)]);
        first
    }

    /// Whether `shown` is the code of `parts` under any key; takes the same time
    /// whatever the difference.
    pub fn verify(&self, purpose: Purpose, parts: &[&[u8]], shown: &[u8]) -> bool {
        let good = |mac: &Hmac<Sha256>| code(mac, purpose, parts).verify_truncated_left(shown);
        self.macs.iter().any(|it| good(it).is_ok())
    }
}

fn mac_of(secret: &[u8]) -> Hmac<Sha256> {
    Hmac::new_from_slice(secret).expect("HMAC takes a key of any length")
}

/// A code over the purpose and all parts, each with its length before it.
fn code(mac: &Hmac<Sha256>, purpose: Purpose, parts: &[&[u8]]) -> Hmac<Sha256> {
    let mut mac = mac.clone();
    for part in std::iter::once(&purpose.label()).chain(parts) {
        mac.update(&(part.len() as u64).to_le_bytes());
        mac.update(part);
    }
    mac
}
