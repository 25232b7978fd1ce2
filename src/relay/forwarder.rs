//! Another router that can take requests of this one.

use std::net::SocketAddr;

use rand::seq::IteratorRandom;
use smallvec::SmallVec;

plain! {
    /// A router that is alive and ready, as last reported.
    pub struct Forwarder {
        /// Its name.
        pub name: String,
        /// Hash of its name.
        pub hash: u64,
        /// Where it takes messages and requests of other routers.
        pub address: SocketAddr,
        /// It is in the failure domain of this router.
        pub is_near: bool,
        /// Hashes of the names of services whose servers it does not reach itself.
        pub cut_off: SmallVec<[u64; 2]>,
    }
}

/// A router of `all` that may reach the servers of `service` and is not among `excluded`. One of
/// another failure domain if there is one, as cuts often concern a whole domain; at random, so
/// that requests spread over all.
pub(crate) fn pick_forwarder<'a>(
    all: &'a [Forwarder],
    service: u64,
    excluded: &[u64],
) -> Option<&'a Forwarder> {
    let is_eligible =
        |it: &&Forwarder| !excluded.contains(&it.hash) && !it.cut_off.contains(&service);
    let eligible = || all.iter().filter(is_eligible);
    let far = eligible().filter(|it| !it.is_near).choose(&mut rand::rng());
    far.or_else(|| eligible().choose(&mut rand::rng()))
}
