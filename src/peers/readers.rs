//! Which routers read the platform's store; the others poll these.

use std::net::SocketAddr;
use std::time::Instant;

use smallvec::SmallVec;

use crate::decide::hash_bytes;
use crate::peers::{Peer, PeerTable};

/// Most routers that read the platform's store; the others poll these.
const MAX_READERS: usize = 4;
/// Readers of a fleet of medium size, where fewer are enough to serve the other routers.
const MEDIUM_FLEET_READERS: usize = 2;
/// Largest fleet of medium size.
const MAX_MEDIUM_FLEET: usize = 50;

key! {
    /// A router that reads the platform's store.
    pub enum Reader {
        /// This router.
        Own,
        /// Another router: its address for peers, and whether it is in the same failure
        /// domain as this one.
        Peer(SocketAddr, bool),
    }
}

impl Reader {
    /// Its address for peers; `None` for this router.
    pub fn address(&self) -> Option<SocketAddr> {
        match self {
            Reader::Own => None,
            Reader::Peer(address, _) => Some(*address),
        }
    }
}

impl PeerTable {
    /// Routers that read the platform's store: the first by the hash of their names among
    /// the living routers known here. This router is one of them while it knows few others.
    pub fn readers(&self, now: Instant) -> SmallVec<[Reader; MAX_READERS]> {
        let own = (hash_bytes(self.own().name.as_bytes()), Reader::Own);
        let rank = |it: &Peer| {
            let near = it.router.domain == self.own().domain;
            (it.hash, Reader::Peer(it.router.peers, near))
        };
        let alive = self.alive(now).filter(|it| !it.leaving).map(rank);
        let mut all: Vec<_> = alive.chain([own]).collect();
        all.sort_unstable();
        let limit = match all.len() {
            0..=MAX_READERS => MAX_READERS,
            size if size <= MAX_MEDIUM_FLEET => MEDIUM_FLEET_READERS,
            _ => MAX_READERS,
        };
        let first = all.into_iter().take(limit);
        first.map(|(_, reader)| reader).collect()
    }

    /// The reader that this router polls: the same one as long as the readers do not
    /// change, in the same failure domain if there is one. `None` if this router is a
    /// reader.
    pub fn reader(&self, now: Instant) -> Option<SocketAddr> {
        let readers = self.readers(now);
        if readers.contains(&Reader::Own) {
            return None;
        }
        let near = readers.iter().filter(|it| matches!(it, Reader::Peer(_, true)));
        let near: SmallVec<[&Reader; MAX_READERS]> = near.collect();
        let own = hash_bytes(self.own().name.as_bytes()) as usize;
        match near.len() {
            0 => readers[own % readers.len()].address(),
            count => near[own % count].address(),
        }
    }

    /// Whether this router reads the platform's store.
    pub fn is_reader(&self, now: Instant) -> bool {
        self.readers(now).contains(&Reader::Own)
    }

    /// Whether the fleet has routers that rely on the readers instead of the store.
    pub fn has_followers(&self, now: Instant) -> bool {
        self.alive_count(now) + 1 > MAX_READERS
    }
}
