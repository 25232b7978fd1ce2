//! When routers were last seen, packed.

use std::time::Duration;

/// Size of one packed sighting in bytes.
const SIGHTING_BYTES: usize = 7;
/// Highest age that can be told, in milliseconds.
const MAX_AGE_MS: u16 = (1 << 14) - 1;
/// Set in the packed age if callers may be sent to the router.
const READY_BIT: u16 = 1 << 14;
/// Set in the packed age if the router is shutting down.
const LEAVING_BIT: u16 = 1 << 15;

plain! {
    /// That a router was seen, and its state then.
    #[derive(Copy)]
    pub struct Sighting {
        /// Lower half of the hash of its name.
        pub router: u32,
        /// Lowest byte of the time in milliseconds at which its process started; tells
        /// incarnations apart.
        pub process: u8,
        /// How long ago it was seen.
        pub age: Duration,
        /// Whether callers may be sent to it.
        pub ready: bool,
        /// Whether it is shutting down.
        pub leaving: bool,
    }
}

/// Packs sightings into seven bytes each: router, process, and the age in milliseconds with
/// two flags above it.
pub fn pack_sightings(sightings: impl IntoIterator<Item = Sighting>) -> Vec<u8> {
    let mut bytes = Vec::new();
    for it in sightings {
        let age = u16::try_from(it.age.as_millis()).unwrap_or(MAX_AGE_MS).min(MAX_AGE_MS);
        let ready = if it.ready { READY_BIT } else { 0 };
        let leaving = if it.leaving { LEAVING_BIT } else { 0 };
        bytes.extend(it.router.to_le_bytes());
        bytes.push(it.process);
        bytes.extend((age | ready | leaving).to_le_bytes());
    }
    bytes
}

/// Decodes the output of [`pack_sightings`]; an incomplete sighting at the end is skipped.
pub fn unpack_sightings(bytes: &[u8]) -> impl Iterator<Item = Sighting> {
    bytes.chunks_exact(SIGHTING_BYTES).map(|it| {
        let state = u16::from_le_bytes([it[5], it[6]]);
        Sighting {
            router: u32::from_le_bytes([it[0], it[1], it[2], it[3]]),
            process: it[4],
            age: Duration::from_millis(u64::from(state & MAX_AGE_MS)),
            ready: state & READY_BIT != 0,
            leaving: state & LEAVING_BIT != 0,
        }
    })
}
