//! Which routers are alive.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;
use smallvec::SmallVec;

use crate::decide::{Results, hash_bytes};
use crate::peers::peer::{PEER_TIMEOUT, Peer, ReportSource};
use crate::wire::{WireCrash, WireExchange, WireRouter, WireSeen, unpack_loads};

/// Routers of which one message tells, besides its sender.
const MOST_PASSED_ON: usize = 8;
/// Most routers that follow the platform's store; the others ask these.
const READERS: usize = 4;
/// Readers of a fleet of middle size, where fewer carry the questions of the others.
const FEW_READERS: usize = 2;
/// Largest fleet for which these are enough.
const MIDDLE_FLEET: usize = 50;
/// A router that was not heard of for this long is no longer asked.
const FORGET_TIME: Duration = Duration::from_secs(60);

key! {
    /// A router that follows the platform's store.
    pub enum Reader {
        /// This one.
        Own,
        /// Another one, where it takes messages, and whether it is in the same
        /// failure domain.
        Peer(SocketAddr, bool),
    }
}

impl Reader {
    /// Where it takes messages; none for this router.
    pub fn address(&self) -> Option<SocketAddr> {
        match self {
            Reader::Own => None,
            Reader::Peer(address, _) => Some(*address),
        }
    }
}

/// What other routers have at one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PeerLoad {
    /// Requests in flight.
    pub in_flight: u32,
    /// How requests went.
    pub results: Results,
}

/// The other routers by name, after what they and others told.
#[derive(Debug)]
pub struct PeerTable {
    own: WireRouter,
    peers: BTreeMap<String, Peer>,
}

impl PeerTable {
    /// Only this router.
    pub fn new(own: WireRouter) -> PeerTable {
        PeerTable { own, peers: BTreeMap::new() }
    }

    /// This router.
    pub fn own(&self) -> &WireRouter {
        &self.own
    }

    /// A router exists, as the platform's store tells; whether it lives is still to be seen.
    pub fn merge_announced(&mut self, router: WireRouter, now: Instant) {
        let old = now.checked_sub(PEER_TIMEOUT).unwrap_or(now);
        let seen = WireSeen { router, ready: false, leaving: false, age_ms: 0 };
        self.merge_report(&seen, old, ReportSource::Indirect);
    }

    /// Takes a message that `peer` sent just now.
    pub fn merge_message(&mut self, message: WireExchange, now: Instant) {
        let name = message.own.router.name.clone();
        self.merge_report(&message.own, now, ReportSource::Direct);
        for seen in &message.others {
            let age = Duration::from_millis(seen.age_ms);
            if age < PEER_TIMEOUT {
                self.merge_report(
                    seen,
                    now.checked_sub(age).unwrap_or(now),
                    ReportSource::Indirect,
                );
            }
        }
        if let Some(peer) = self.peers.get_mut(&name) {
            peer.loads = Some((now, unpack_loads(&message.loads).collect()));
        }
    }

    /// The peer at `address` refused a connection: its process is gone.
    pub fn record_refused(&mut self, address: SocketAddr) {
        for peer in self.peers.values_mut().filter(|it| it.router.peers == address) {
            peer.refused = true;
            peer.loads = None;
        }
    }

    /// What this router tells others.
    pub fn message(
        &self,
        ready: bool,
        leaving: bool,
        loads: Vec<u8>,
        crashes: Vec<WireCrash>,
        rules: Option<(u64, u64)>,
        now: Instant,
    ) -> WireExchange {
        let own = WireSeen { router: self.own.clone(), ready, leaving, age_ms: 0 };
        let alive = self.peers.values().filter(|it| it.is_alive(now));
        let alive = alive.choose_multiple(&mut rand::rng(), MOST_PASSED_ON);
        let others = alive.into_iter().map(|it| WireSeen {
            router: it.router.clone(),
            ready: it.ready,
            leaving: it.leaving,
            age_ms: now.saturating_duration_since(it.last_seen).as_millis() as u64,
        });
        WireExchange { own, others: others.collect(), loads, crashes, rules }
    }

    /// Where to reach the other routers, dead ones too, as they may be back, and
    /// whether they are in the same failure domain.
    pub fn addresses(&self) -> impl Iterator<Item = (SocketAddr, bool)> {
        let near = |it: &WireRouter| it.domain == self.own.domain;
        self.peers.values().map(move |it| (it.router.peers, near(&it.router)))
    }

    /// Other routers that callers may be sent to.
    pub fn ready(&self, now: Instant) -> impl Iterator<Item = &WireRouter> {
        let open = move |it: &&Peer| it.is_alive(now) && it.ready && !it.leaving;
        self.peers.values().filter(open).map(|it| &it.router)
    }

    /// Names of the other routers that are alive.
    pub fn alive_names(&self, now: Instant) -> impl Iterator<Item = &str> {
        let alive = self.peers.iter().filter(move |(_, it)| it.is_alive(now));
        alive.map(|(name, _)| name.as_str())
    }

    /// When the router `name` was heard of last, and whether it refused a connection since.
    pub fn last_seen(&self, name: &str) -> Option<(Instant, bool)> {
        self.peers.get(name).map(|it| (it.last_seen, it.refused))
    }

    /// Other routers that are alive.
    pub fn alive_count(&self, now: Instant) -> usize {
        self.peers.values().filter(|it| it.is_alive(now)).count()
    }

    /// What the other routers have at backend servers, by the lower half of the hash. Routers that have
    /// not told lately are taken to have as much as the others.
    pub fn loads(&self, now: Instant) -> HashMap<u32, PeerLoad> {
        let mut all: HashMap<u32, PeerLoad> = HashMap::new();
        let alive = self.peers.values().filter(|it| it.is_alive(now));
        let fresh = |at: Instant| now.saturating_duration_since(at) < PEER_TIMEOUT;
        let told = alive.filter_map(|it| it.loads.as_ref()).filter(|(at, _)| fresh(*at));
        let mut count: u32 = 0;
        for (_, loads) in told {
            count += 1;
            for load in loads {
                let it = all.entry(load.server).or_default();
                it.in_flight += u32::from(load.in_flight);
                it.results = it.results.and(Results { good: load.good, bad: load.bad });
            }
        }
        let silent = (self.alive_count(now) as u32).saturating_sub(count);
        for it in all.values_mut() {
            it.in_flight += it.in_flight * silent / count;
        }
        all
    }

    /// Routers that follow the platform's store, as far as this one knows: the
    /// first by the hash of their names. This one is among them while it knows few.
    pub fn readers(&self, now: Instant) -> SmallVec<[Reader; READERS]> {
        let own = (hash_bytes(self.own.name.as_bytes()), Reader::Own);
        let rank = |it: &Peer| {
            let near = it.router.domain == self.own.domain;
            (hash_bytes(it.router.name.as_bytes()), Reader::Peer(it.router.peers, near))
        };
        let alive = self.peers.values().filter(|it| it.is_alive(now) && !it.leaving).map(rank);
        let mut all: Vec<_> = alive.chain([own]).collect();
        all.sort_unstable();
        let wanted = match all.len() {
            0..=READERS => READERS,
            size if size <= MIDDLE_FLEET => FEW_READERS,
            _ => READERS,
        };
        let first = all.into_iter().take(wanted);
        first.map(|(_, reader)| reader).collect()
    }

    /// The reader that this router asks: always the same one while that lives, in
    /// the same failure domain if there is one. None when this one is a reader.
    pub fn reader(&self, now: Instant) -> Option<SocketAddr> {
        let readers = self.readers(now);
        if readers.contains(&Reader::Own) {
            return None;
        }
        let near = readers.iter().filter(|it| matches!(it, Reader::Peer(_, true)));
        let near: SmallVec<[&Reader; READERS]> = near.collect();
        let own = hash_bytes(self.own.name.as_bytes()) as usize;
        match near.len() {
            0 => readers[own % readers.len()].address(),
            count => near[own % count].address(),
        }
    }

    /// Whether this router follows the platform's store.
    pub fn is_reader(&self, now: Instant) -> bool {
        self.readers(now).contains(&Reader::Own)
    }

    /// Whether other routers rely on this one and its like to follow the store.
    pub fn has_followers(&self, now: Instant) -> bool {
        self.alive_count(now) + 1 > READERS
    }

    /// Forgets routers that are long gone.
    pub fn sweep(&mut self, now: Instant) {
        let kept = |it: &Peer| now.saturating_duration_since(it.last_seen) < FORGET_TIME;
        self.peers.retain(|_, it| kept(it));
    }

    fn merge_report(&mut self, seen: &WireSeen, seen_at: Instant, source: ReportSource) {
        let router = &seen.router;
        if router.name == self.own.name {
            return;
        }
        let former = self.peers.get(&router.name);
        if former.is_some_and(|it| !it.is_superseded_by(router, seen_at, source)) {
            return;
        }
        let same = former.is_some_and(|it| it.router.born == router.born);
        let former = self.peers.remove(&router.name).filter(|_| same);
        let peer = Peer {
            router: router.clone(),
            ready: seen.ready,
            // A process that leaves does not come back.
            leaving: seen.leaving || former.as_ref().is_some_and(|it| it.leaving),
            last_seen: seen_at,
            refused: false,
            loads: former.and_then(|it| it.loads),
        };
        self.peers.insert(router.name.clone(), peer);
    }
}
