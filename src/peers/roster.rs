//! Which routers are alive.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::decide::{Results, hash_bytes};
use crate::wire::{WireCrash, WireExchange, WireRouter, WireSeen, WireServerLoad};

/// A router that was not heard of for this long counts as dead: three exchanges.
const ALIVE_TIME: Duration = Duration::from_millis(1_600);
/// Routers that follow the platform's store; the others ask these.
const READERS: usize = 4;
/// A router that was not heard of for this long is no longer asked.
const FORGET_TIME: Duration = Duration::from_secs(60);

key! {
    /// A router that follows the platform's store.
    pub enum Reader {
        /// This one.
        Own,
        /// Another one, and where it takes messages.
        Peer(SocketAddr),
    }
}

impl Reader {
    /// Where it takes messages; none for this router.
    pub fn peer(&self) -> Option<SocketAddr> {
        match self {
            Reader::Own => None,
            Reader::Peer(address) => Some(*address),
        }
    }
}

/// What other routers have at one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct OtherLoad {
    /// Requests in flight.
    pub in_flight: u32,
    /// How requests went.
    pub results: Results,
}

#[derive(Debug)]
struct Peer {
    router: WireRouter,
    ready: bool,
    leaving: bool,
    heard: Instant,
    /// It refused a connection since it was heard.
    refused: bool,
    /// Requests in flight by backend server, as it told itself, and when.
    loads: Option<(Instant, Vec<WireServerLoad>)>,
}

impl Peer {
    fn is_alive(&self, now: Instant) -> bool {
        !self.refused && now.saturating_duration_since(self.heard) < ALIVE_TIME
    }
}

/// The other routers by name, after what they and others told.
#[derive(Debug)]
pub struct Roster {
    own: WireRouter,
    peers: BTreeMap<String, Peer>,
}

impl Roster {
    /// Only this router.
    pub fn new(own: WireRouter) -> Roster {
        Roster { own, peers: BTreeMap::new() }
    }

    /// This router.
    pub fn own(&self) -> &WireRouter {
        &self.own
    }

    /// A router exists, as the platform's store tells; whether it lives is still to be seen.
    pub fn learn(&mut self, router: WireRouter, now: Instant) {
        let old = now.checked_sub(ALIVE_TIME).unwrap_or(now);
        let seen = WireSeen { router, ready: false, leaving: false, age_ms: 0 };
        self.take(&seen, old);
    }

    /// Takes a message that `peer` sent just now.
    pub fn hear(&mut self, message: WireExchange, now: Instant) {
        let name = message.own.router.name.clone();
        self.take(&message.own, now);
        for seen in &message.others {
            let age = Duration::from_millis(seen.age_ms);
            if age < ALIVE_TIME {
                self.take(seen, now.checked_sub(age).unwrap_or(now));
            }
        }
        if let Some(peer) = self.peers.get_mut(&name) {
            peer.loads = Some((now, message.loads));
        }
    }

    /// The peer at `address` refused a connection: its process is gone.
    pub fn refused(&mut self, address: SocketAddr) {
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
        loads: Vec<WireServerLoad>,
        crashes: Vec<WireCrash>,
        rules: Option<(u64, u64)>,
        now: Instant,
    ) -> WireExchange {
        let own = WireSeen { router: self.own.clone(), ready, leaving, age_ms: 0 };
        let alive = self.peers.values().filter(|it| it.is_alive(now));
        let others = alive.map(|it| WireSeen {
            router: it.router.clone(),
            ready: it.ready,
            leaving: it.leaving,
            age_ms: now.saturating_duration_since(it.heard).as_millis() as u64,
        });
        WireExchange { own, others: others.collect(), loads, crashes, rules }
    }

    /// Where to reach the other routers, dead ones too, as they may be back.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.values().map(|it| it.router.peers)
    }

    /// Other routers that callers may be sent to.
    pub fn ready(&self, now: Instant) -> impl Iterator<Item = &WireRouter> {
        let open = move |it: &&Peer| it.is_alive(now) && it.ready && !it.leaving;
        self.peers.values().filter(open).map(|it| &it.router)
    }

    /// Other routers that are alive.
    pub fn alive(&self, now: Instant) -> usize {
        self.peers.values().filter(|it| it.is_alive(now)).count()
    }

    /// What the other routers have at backend servers, by hash. Routers that have
    /// not told lately are taken to have as much as the others.
    pub fn loads(&self, now: Instant) -> HashMap<u64, OtherLoad> {
        let mut all: HashMap<u64, OtherLoad> = HashMap::new();
        let alive = self.peers.values().filter(|it| it.is_alive(now));
        let fresh = |at: Instant| now.saturating_duration_since(at) < ALIVE_TIME;
        let told = alive.filter_map(|it| it.loads.as_ref()).filter(|(at, _)| fresh(*at));
        let mut count: u32 = 0;
        for (_, loads) in told {
            count += 1;
            for WireServerLoad(server, in_flight, good, bad) in loads {
                let it = all.entry(*server).or_default();
                it.in_flight += in_flight;
                it.results = it.results.and(Results { good: (*good).into(), bad: (*bad).into() });
            }
        }
        let silent = (self.alive(now) as u32).saturating_sub(count);
        for it in all.values_mut() {
            it.in_flight += it.in_flight * silent / count;
        }
        all
    }

    /// Routers that follow the platform's store, as far as this one knows: the
    /// first by the hash of their names. This one is among them while it knows few.
    pub fn readers(&self, now: Instant) -> SmallVec<[Reader; READERS]> {
        let own = (hash_bytes(self.own.name.as_bytes()), None);
        let rank = |it: &Peer| (hash_bytes(it.router.name.as_bytes()), Some(it.router.peers));
        let alive = self.peers.values().filter(|it| it.is_alive(now) && !it.leaving).map(rank);
        let mut all: Vec<_> = alive.chain([own]).collect();
        all.sort_unstable();
        let first = all.into_iter().take(READERS);
        first.map(|(_, peer)| peer.map_or(Reader::Own, Reader::Peer)).collect()
    }

    /// Whether this router follows the platform's store.
    pub fn is_reader(&self, now: Instant) -> bool {
        self.readers(now).contains(&Reader::Own)
    }

    /// Whether other routers rely on this one and its like to follow the store.
    pub fn has_followers(&self, now: Instant) -> bool {
        self.alive(now) + 1 > READERS
    }

    /// Forgets routers that are long gone.
    pub fn sweep(&mut self, now: Instant) {
        let kept = |it: &Peer| now.saturating_duration_since(it.heard) < FORGET_TIME;
        self.peers.retain(|_, it| kept(it));
    }

    fn take(&mut self, seen: &WireSeen, heard: Instant) {
        let router = &seen.router;
        if router.name == self.own.name {
            return;
        }
        let former = self.peers.get(&router.name);
        let key = |born: u64, at: Instant| (born, at);
        let newer = former.is_none_or(|it| key(router.born, heard) > key(it.router.born, it.heard));
        if !newer {
            return;
        }
        let same = former.is_some_and(|it| it.router.born == router.born);
        let former = self.peers.remove(&router.name).filter(|_| same);
        let peer = Peer {
            router: router.clone(),
            ready: seen.ready,
            // A process that leaves does not come back.
            leaving: seen.leaving || former.as_ref().is_some_and(|it| it.leaving),
            heard,
            refused: false,
            loads: former.and_then(|it| it.loads),
        };
        self.peers.insert(router.name.clone(), peer);
    }
}
