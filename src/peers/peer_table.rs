//! Table of the other routers: liveness, load, and which routers read the platform's store.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;
use smallvec::SmallVec;

use crate::decide::{Results, combine, hash_bytes};
use crate::peers::peer::{PEER_TIMEOUT, Peer, ReportSource};
use crate::wire::{WireCrash, WireExchange, WireObservation, WireRouter, age_ms, unpack_loads};

/// Most routers that one message reports on besides its sender.
const MAX_FORWARDED_REPORTS: usize = 8;
/// Most routers that read the platform's store; the others poll these.
const MAX_READERS: usize = 4;
/// Readers of a fleet of medium size, where fewer are enough to serve the other routers.
const MEDIUM_FLEET_READERS: usize = 2;
/// Largest fleet of medium size.
const MAX_MEDIUM_FLEET: usize = 50;
/// A router that was last seen this long ago no longer shares the limits of backend servers.
const SENDER_TIME: Duration = Duration::from_secs(10);
/// A router that was last seen this long ago is removed and no longer contacted.
const FORGET_TIME: Duration = Duration::from_secs(60);

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

/// The load of the other routers at one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PeerLoad {
    /// Requests in flight.
    pub in_flight: u32,
    /// Results of their requests.
    pub results: Results,
}

/// The other routers by name, as of the newest direct or indirect report on each.
#[derive(Debug)]
pub struct PeerTable {
    own: WireRouter,
    peers: BTreeMap<String, Peer>,
}

impl PeerTable {
    /// A table without other routers.
    pub fn new(own: WireRouter) -> PeerTable {
        PeerTable { own, peers: BTreeMap::new() }
    }

    /// This router.
    pub fn own(&self) -> &WireRouter {
        &self.own
    }

    /// Adds a router that is announced in the platform's store. It does not count as
    /// alive until a router reports it alive.
    pub fn merge_announced(&mut self, router: WireRouter, now: Instant) {
        let old = now.checked_sub(PEER_TIMEOUT).unwrap_or(now);
        let report = WireObservation { router, ready: false, leaving: false, age_ms: 0 };
        self.merge_report(&report, old, ReportSource::Indirect);
    }

    /// Merges a message received at `now`: the sender's report on itself, its loads, and
    /// its reports on others unless they are too old to count.
    pub fn merge_message(&mut self, message: WireExchange, now: Instant) {
        let name = message.own.router.name.clone();
        self.merge_report(&message.own, now, ReportSource::Direct);
        for report in &message.others {
            let age = Duration::from_millis(report.age_ms);
            if age < PEER_TIMEOUT {
                self.merge_report(
                    report,
                    now.checked_sub(age).unwrap_or(now),
                    ReportSource::Indirect,
                );
            }
        }
        if let Some(peer) = self.peers.get_mut(&name) {
            peer.loads = Some((now, unpack_loads(&message.loads).collect()));
        }
    }

    /// Sets the services whose backend servers the router `name` does not reach.
    pub fn set_cut_off(&mut self, name: &str, services: SmallVec<[u64; 2]>) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.cut_off = services;
        }
    }

    /// Records that `address` refused a connection: the process there is gone.
    pub fn record_refused(&mut self, address: SocketAddr) {
        for peer in self.peers.values_mut().filter(|it| it.router.peers == address) {
            peer.refused = true;
            peer.loads = None;
        }
    }

    /// The message that this router sends to others, with reports on a random selection
    /// of those that are alive.
    pub fn message(
        &self,
        ready: bool,
        leaving: bool,
        loads: Vec<u8>,
        crashes: Vec<WireCrash>,
        rules: Option<(u64, u64)>,
        now: Instant,
    ) -> WireExchange {
        let own = WireObservation { router: self.own.clone(), ready, leaving, age_ms: 0 };
        let alive = self.peers.values().filter(|it| it.is_alive(now));
        let alive = alive.choose_multiple(&mut rand::rng(), MAX_FORWARDED_REPORTS);
        let others = alive.into_iter().map(|it| WireObservation {
            router: it.router.clone(),
            ready: it.ready,
            leaving: it.leaving,
            age_ms: age_ms(it.last_seen, now),
        });
        WireExchange { own, others: others.collect(), loads, crashes, rules }
    }

    /// Addresses of all other routers, and whether each is in the same failure domain.
    /// Dead ones are included, as they may have been restarted.
    pub fn addresses(&self) -> impl Iterator<Item = (SocketAddr, bool)> {
        let near = |it: &WireRouter| it.domain == self.own.domain;
        self.peers.values().map(move |it| (it.router.peers, near(&it.router)))
    }

    /// Other routers that are alive, ready and not leaving.
    pub fn ready(&self, now: Instant) -> impl Iterator<Item = &WireRouter> {
        self.available(now).map(|it| &it.router)
    }

    /// The same, with all that is known of them.
    pub(crate) fn available(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let is_available = move |it: &&Peer| it.is_alive(now) && it.ready && !it.leaving;
        self.peers.values().filter(is_available)
    }

    /// Names of the other routers that are alive.
    pub fn alive_names(&self, now: Instant) -> impl Iterator<Item = &str> {
        let alive = self.peers.iter().filter(move |(_, it)| it.is_alive(now));
        alive.map(|(name, _)| name.as_str())
    }

    /// Addresses of the other routers, and whether each is alive: first those that are, each
    /// group in the rendezvous order of `key`.
    pub fn ranked(&self, key: u64, now: Instant) -> impl Iterator<Item = (SocketAddr, bool)> {
        let rank = |it: &Peer| combine(key, hash_bytes(it.router.name.as_bytes()));
        let ranked = |it: &Peer| (it.is_alive(now), rank(it), it.router.peers);
        let mut all: Vec<_> = self.peers.values().map(ranked).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.into_iter().map(|(is_alive, _, address)| (address, is_alive))
    }

    /// When the router `name` was last seen, and whether it refused a connection since.
    pub fn last_seen(&self, name: &str) -> Option<(Instant, bool)> {
        self.peers.get(name).map(|it| (it.last_seen, it.refused))
    }

    /// Hashes of the names of the other routers that may send requests: also those that
    /// were alive shortly before, so that nobody takes over their share too early.
    pub fn recent_senders(&self, now: Instant) -> impl Iterator<Item = u64> {
        let is_recent = move |it: &&Peer| {
            let was_alive = it.ready || it.loads.is_some();
            was_alive && now.saturating_duration_since(it.last_seen) < SENDER_TIME
        };
        let recent = self.peers.values().filter(is_recent);
        recent.map(|it| hash_bytes(it.router.name.as_bytes()))
    }

    /// Number of other routers that are alive.
    pub fn alive_count(&self, now: Instant) -> usize {
        self.peers.values().filter(|it| it.is_alive(now)).count()
    }

    /// Load of the other routers at backend servers, by the lower half of the server's
    /// hash. A living router without a recent report counts with the mean of those that
    /// have one.
    pub fn loads(&self, now: Instant) -> HashMap<u32, PeerLoad> {
        let mut all: HashMap<u32, PeerLoad> = HashMap::new();
        let alive = self.peers.values().filter(|it| it.is_alive(now));
        let is_recent = |at: Instant| now.saturating_duration_since(at) < PEER_TIMEOUT;
        let reports = alive.filter_map(|it| it.loads.as_ref()).filter(|(at, _)| is_recent(*at));
        let mut reported: u32 = 0;
        for (_, loads) in reports {
            reported += 1;
            for load in loads {
                let it = all.entry(load.server).or_default();
                it.in_flight += u32::from(load.in_flight);
                it.results = it.results.and(Results { good: load.good, bad: load.bad });
            }
        }
        let silent = (self.alive_count(now) as u32).saturating_sub(reported);
        for it in all.values_mut() {
            it.in_flight += it.in_flight * silent / reported;
        }
        all
    }

    /// Routers that read the platform's store: the first by the hash of their names among
    /// the living routers known here. This router is one of them while it knows few others.
    pub fn readers(&self, now: Instant) -> SmallVec<[Reader; MAX_READERS]> {
        let own = (hash_bytes(self.own.name.as_bytes()), Reader::Own);
        let rank = |it: &Peer| {
            let near = it.router.domain == self.own.domain;
            (hash_bytes(it.router.name.as_bytes()), Reader::Peer(it.router.peers, near))
        };
        let alive = self.peers.values().filter(|it| it.is_alive(now) && !it.leaving).map(rank);
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
        let own = hash_bytes(self.own.name.as_bytes()) as usize;
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

    /// Removes routers that were last seen `FORGET_TIME` ago or earlier.
    pub fn remove_expired(&mut self, now: Instant) {
        let is_recent = |it: &Peer| now.saturating_duration_since(it.last_seen) < FORGET_TIME;
        self.peers.retain(|_, it| is_recent(it));
    }

    fn merge_report(&mut self, report: &WireObservation, seen_at: Instant, source: ReportSource) {
        let router = &report.router;
        if router.name == self.own.name {
            return;
        }
        let former = self.peers.get(&router.name);
        if former.is_some_and(|it| !it.is_superseded_by(router, seen_at, source)) {
            return;
        }
        let is_same_process = former.is_some_and(|it| it.router.born == router.born);
        let former = self.peers.remove(&router.name).filter(|_| is_same_process);
        let peer = Peer {
            router: router.clone(),
            ready: report.ready,
            // A process that is shutting down never becomes available again.
            leaving: report.leaving || former.as_ref().is_some_and(|it| it.leaving),
            last_seen: seen_at,
            refused: false,
            cut_off: former.as_ref().map(|it| it.cut_off.clone()).unwrap_or_default(),
            loads: former.and_then(|it| it.loads),
        };
        self.peers.insert(router.name.clone(), peer);
    }
}
