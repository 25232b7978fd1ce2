//! Secret keys of the fleet, which authenticate values by HMAC.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::settings::FleetKey;

/// Size of a full message authentication code.
const MAC_BYTES: usize = 32;

key! {
    /// What a message authentication code is for; a code for one purpose is never valid
    /// for another.
    pub enum Purpose {
        /// Chat hints.
        Hint,
        /// Issued idempotency keys.
        IdempotencyKey,
    }
}

impl Purpose {
    /// Context that goes into every code of this purpose. Routers verify the codes of
    /// other routers, so all must use the same context.
    fn context(self) -> &'static [u8] {
        match self {
            Purpose::Hint => b"filberttiller chat hint 1",
            Purpose::IdempotencyKey => b"filberttiller operation key 1",
        }
    }
}

/// Secret keys of the fleet: the first one signs, all verify.
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
    /// Creates a ring of `keys`; without keys, `token` is the only key.
    pub fn new(keys: &[FleetKey], token: &str) -> KeyRing {
        let mut macs: Vec<_> = keys.iter().map(|it| mac_of(it.secret.as_bytes())).collect();
        if macs.is_empty() {
            macs.push(mac_of(token.as_bytes()));
        }
        KeyRing { macs }
    }

    /// The first `N` bytes of the authentication code of `parts` under the signing key.
    pub fn sign<const N: usize>(&self, purpose: Purpose, parts: &[&[u8]]) -> [u8; N] {
        let code = code(&self.macs[0], purpose, parts).finalize().into_bytes();
        let mut first = [0; N];
        first.copy_from_slice(&code[..N.min(MAC_BYTES)]);
        first
    }

    /// Whether `received` is the code of `parts` under any key. Compares in constant time,
    /// so that the time does not show where the codes differ.
    pub fn verify(&self, purpose: Purpose, parts: &[&[u8]], received: &[u8]) -> bool {
        let result = |mac: &Hmac<Sha256>| code(mac, purpose, parts).verify_truncated_left(received);
        self.macs.iter().any(|it| result(it).is_ok())
    }
}

fn mac_of(secret: &[u8]) -> Hmac<Sha256> {
    Hmac::new_from_slice(secret).expect("HMAC accepts a key of any length")
}

/// Computes the code of the purpose and all parts, each preceded by its length, so that
/// no two lists of parts have the same input.
fn code(mac: &Hmac<Sha256>, purpose: Purpose, parts: &[&[u8]]) -> Hmac<Sha256> {
    let mut mac = mac.clone();
    for part in std::iter::once(&purpose.context()).chain(parts) {
        mac.update(&(part.len() as u64).to_le_bytes());
        mac.update(part);
    }
    mac
}
