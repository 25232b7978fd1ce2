//! Reports of backend servers on their pace, packed.

use std::time::Duration;

/// Size of one packed pace in bytes.
const PACE_BYTES: usize = 6;
/// Steps of a packed factor for which the time that work takes grows by e.
const STEPS: f64 = 27.0;
/// Packed factor of the usual pace.
const USUAL: f64 = 128.0;
/// Unit of a packed age.
const AGE_UNIT_MS: u64 = 10;

plain! {
    /// What a server reported of its pace.
    #[derive(Copy)]
    pub struct ToldPace {
        /// Lower half of the hash of its id.
        pub server: u32,
        /// The time that work takes there, as a multiple of the usual.
        pub factor: f64,
        /// How long ago it said so.
        pub age: Duration,
    }
}

/// Packs paces into six bytes each: server, logarithm of the factor, and the age in hundredths of a
/// second.
pub fn pack_paces(paces: impl IntoIterator<Item = ToldPace>) -> Vec<u8> {
    let mut bytes = Vec::new();
    for it in paces {
        let age = it.age.as_millis() as u64 / AGE_UNIT_MS;
        bytes.extend(it.server.to_le_bytes());
        // The conversion from f64 to u8 saturates.
        bytes.push((USUAL + STEPS * it.factor.ln()).round() as u8);
        bytes.push(age.try_into().unwrap_or(u8::MAX));
    }
    bytes
}

/// Decodes the output of [`pack_paces`]; an incomplete pace at the end is skipped.
pub fn unpack_paces(bytes: &[u8]) -> impl Iterator<Item = ToldPace> {
    bytes.chunks_exact(PACE_BYTES).map(|it| ToldPace {
        server: u32::from_le_bytes([it[0], it[1], it[2], it[3]]),
        factor: ((f64::from(it[4]) - USUAL) / STEPS).exp(),
        age: Duration::from_millis(u64::from(it[5]) * AGE_UNIT_MS),
    })
}
