//! Table of the other routers: liveness, load, and which routers read the platform's store.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::{IteratorRandom, SliceRandom};
use smallvec::SmallVec;

use crate::decide::{Results, combine, hash_bytes};
use crate::peers::peer::{PEER_TIMEOUT, Peer, ReportSource};
use crate::peers::silence::silence_limit;
use crate::peers::{FailureKind, PeerFailure};
use crate::wire::{
    Sighting, WireCrash, WireExchange, WireObservation, WireRouter, age_ms, unpack_loads,
};

/// Most routers that one message reports on in full besides its sender.
const MAX_FORWARDED_REPORTS: usize = 2;
/// The same while routers are alive that read no sightings.
const MAX_REPORTS_WITHOUT_SIGHTINGS: usize = 8;
/// Most sightings in one message.
const MAX_SIGHTINGS: usize = 70;
/// How long a change of a router is reported in full before other routers are.
const CHANGE_NEWS_TIME: Duration = Duration::from_secs(3);
/// A process that did not look after the table for longer than this was itself suspended or slow,
/// and did not hear the others meanwhile.
const MAX_UNATTENDED_TIME: Duration = Duration::from_millis(1_000);
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

/// What a router tells others of itself.
#[derive(Debug, Clone, Default)]
pub struct OwnReport {
    /// Whether callers may be sent to it.
    pub ready: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Its loads at backend servers, packed.
    pub loads: Vec<u8>,
    /// Backend servers that crashed while they ran a request.
    pub crashes: Vec<WireCrash>,
    /// Version of the rules in force, and how long ago they were confirmed in milliseconds.
    pub rules: Option<(u64, u64)>,
}

/// The other routers by name, as of the newest direct or indirect report on each.
#[derive(Debug)]
pub struct PeerTable {
    own: WireRouter,
    peers: BTreeMap<String, Peer>,
    /// Names by the lower half of their hashes. Invariant: consistent with `peers`.
    names: HashMap<u32, String>,
    /// When `attend` was last called.
    attended: Option<Instant>,
}

impl PeerTable {
    /// A table without other routers.
    pub fn new(own: WireRouter) -> PeerTable {
        PeerTable { own, peers: BTreeMap::new(), names: HashMap::new(), attended: None }
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
        self.merge_report(&report, old, now, ReportSource::Indirect);
    }

    /// Merges a message received at `now`: the sender's report on itself, its loads, and
    /// its reports on others unless they are too old to count.
    pub fn merge_message(&mut self, message: WireExchange, now: Instant) {
        let name = message.own.router.name.clone();
        self.excuse_own_pause(now);
        self.merge_report(&message.own, now, now, ReportSource::Direct);
        let limit = self.silence_limit();
        for report in &message.others {
            let age = Duration::from_millis(report.age_ms);
            if let Some(seen_at) = now.checked_sub(age).filter(|_| age < limit) {
                self.merge_report(report, seen_at, now, ReportSource::Indirect);
            }
        }
        if let Some(peer) = self.peers.get_mut(&name) {
            peer.loads = Some((now, unpack_loads(&message.loads).collect()));
        }
    }

    /// Merges the sightings of the router `sender`, received at `now`. Routers that are not known
    /// yet, or only by another process, are left to reports.
    pub fn merge_sightings(
        &mut self,
        sender: &str,
        sightings: impl Iterator<Item = Sighting>,
        now: Instant,
    ) {
        let limit = self.silence_limit();
        let mut is_empty = true;
        for it in sightings {
            is_empty = false;
            let name = self.names.get(&it.router);
            let Some(peer) = name.and_then(|name| self.peers.get_mut(name)) else {
                continue;
            };
            let seen_at = now.checked_sub(it.age).filter(|_| it.age < limit);
            let is_current = it.process == peer.process() && peer.refused.is_none();
            if let Some(seen_at) = seen_at.filter(|at| is_current && *at > peer.last_seen) {
                peer.update(it.ready, it.leaving, seen_at, limit, now);
            }
        }
        if let Some(peer) = self.peers.get_mut(sender) {
            peer.sends_sightings = !is_empty;
        }
    }

    /// What this router tells others of when it last knew the living ones to be alive. Of a large
    /// fleet these are the newest, which the others are likely to lack, and a random selection.
    pub fn sightings(&self, now: Instant, random: &mut impl Rng) -> Vec<Sighting> {
        let alive = self.peers.values().filter(|it| self.is_alive(it, now));
        let mut all: Vec<Sighting> = alive.map(|it| it.sighting(now)).collect();
        if all.len() > MAX_SIGHTINGS {
            let newest = MAX_SIGHTINGS / 2;
            all.select_nth_unstable_by_key(newest, |it| it.age);
            let mut others = all.split_off(newest);
            let (selected, _) = others.partial_shuffle(random, MAX_SIGHTINGS - newest);
            all.extend_from_slice(selected);
        }
        all
    }

    /// To be called in each round. Excuses the silence of routers that this process could not
    /// hear as it was suspended or slow itself.
    pub fn attend(&mut self, now: Instant) {
        self.excuse_own_pause(now);
        self.attended = Some(now);
    }

    fn excuse_own_pause(&mut self, now: Instant) {
        let Some(attended) = self.attended else {
            return;
        };
        let pause = now.saturating_duration_since(attended);
        if pause <= MAX_UNATTENDED_TIME {
            return;
        }
        let limit = self.silence_limit();
        let was_alive = |it: &Peer| attended.saturating_duration_since(it.last_seen) < limit;
        for it in self.peers.values_mut().filter(|it| was_alive(it)) {
            it.last_seen = (it.last_seen + pause).min(now);
        }
        self.attended = Some(now);
    }

    /// Limit on the silence of a router that counts as alive.
    fn silence_limit(&self) -> Duration {
        silence_limit(self.peers.len() + 1)
    }

    fn is_alive(&self, peer: &Peer, now: Instant) -> bool {
        // The time of a pause of this process counts for none of them.
        let now = self.attended.map_or(now, |at| now.min(at + MAX_UNATTENDED_TIME));
        peer.is_alive(self.silence_limit(), now)
    }

    /// Sets the services whose backend servers the router `name` does not reach.
    pub fn set_cut_off(&mut self, name: &str, services: SmallVec<[u64; 2]>) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.cut_off = services;
        }
    }

    /// Records that an exchange with the process at `address` failed at `now`.
    pub fn record_failure(&mut self, address: SocketAddr, kind: FailureKind, now: Instant) {
        for peer in self.peers.values_mut().filter(|it| it.router.peers == address) {
            peer.record_failure(kind, now);
        }
    }

    /// Merges that another router failed to exchange with a process, unless that was seen later.
    pub fn merge_failure(&mut self, failure: &PeerFailure) {
        let name = self.names.get(&(failure.router as u32));
        let Some(peer) = name.and_then(|name| self.peers.get_mut(name)) else {
            return;
        };
        let is_same = peer.hash == failure.router && peer.router.born == failure.born;
        if is_same && peer.last_seen <= failure.at {
            peer.record_failure(failure.kind, failure.at);
        }
    }

    /// The last failures to exchange with processes that were not seen since.
    pub fn failures(&self, now: Instant) -> impl Iterator<Item = PeerFailure> {
        let is_news =
            move |it: &PeerFailure| now.saturating_duration_since(it.at) < CHANGE_NEWS_TIME;
        self.peers.values().filter_map(Peer::failure).filter(is_news)
    }

    /// The message that this router sends to others, with reports on some of those that are
    /// alive: first on those that changed lately, then on a random selection.
    pub fn message(&self, own: OwnReport, now: Instant, random: &mut impl Rng) -> WireExchange {
        let OwnReport { ready, leaving, loads, crashes, rules } = own;
        let own = WireObservation { router: self.own.clone(), ready, leaving, age_ms: 0 };
        let others = self.reported(now, random).into_iter().map(|it| WireObservation {
            router: it.router.clone(),
            ready: it.ready,
            leaving: it.leaving,
            age_ms: age_ms(it.last_seen, now),
        });
        WireExchange { own, others: others.collect(), loads, crashes, rules }
    }

    /// The routers that a message reports on in full.
    fn reported(&self, now: Instant, random: &mut impl Rng) -> Vec<&Peer> {
        let alive = || self.peers.values().filter(|it| self.is_alive(it, now));
        let limit = match alive().all(|it| it.sends_sightings) {
            true => MAX_FORWARDED_REPORTS,
            false => MAX_REPORTS_WITHOUT_SIGHTINGS,
        };
        let is_news = |it: &&Peer| now.saturating_duration_since(it.changed) < CHANGE_NEWS_TIME;
        let mut reported = alive().filter(is_news).choose_multiple(random, limit);
        let others = alive().filter(|it| !is_news(it));
        reported.extend(others.choose_multiple(random, limit - reported.len()));
        reported
    }

    /// Addresses of all other routers, and whether each is in the same failure domain.
    /// Dead ones are included, as they may have been restarted.
    pub fn addresses(&self) -> impl Iterator<Item = (SocketAddr, bool)> {
        let near = |it: &WireRouter| it.domain == self.own.domain;
        self.peers.values().map(move |it| (it.router.peers, near(&it.router)))
    }

    /// Address of the living router that has been silent for longest.
    pub(crate) fn most_silent(&self, now: Instant) -> Option<SocketAddr> {
        let alive = self.peers.values().filter(|it| self.is_alive(it, now));
        alive.min_by_key(|it| it.last_seen).map(|it| it.router.peers)
    }

    /// Other routers that are alive, ready and not leaving.
    pub fn ready(&self, now: Instant) -> impl Iterator<Item = &WireRouter> {
        self.available(now).map(|it| &it.router)
    }

    /// The same, with all that is known of them.
    pub(crate) fn available(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let is_available = move |it: &&Peer| self.is_alive(it, now) && it.ready && !it.leaving;
        self.peers.values().filter(is_available)
    }

    /// Names of the other routers that are alive.
    pub fn alive_names(&self, now: Instant) -> impl Iterator<Item = &str> {
        let alive = self.peers.iter().filter(move |(_, it)| self.is_alive(it, now));
        alive.map(|(name, _)| name.as_str())
    }

    /// Addresses of the other routers, and whether each is alive: first those that are, each
    /// group in the rendezvous order of `key`.
    pub fn ranked(&self, key: u64, now: Instant) -> impl Iterator<Item = (SocketAddr, bool)> {
        let rank = |it: &Peer| combine(key, it.hash);
        let ranked = |it: &Peer| (self.is_alive(it, now), rank(it), it.router.peers);
        let mut all: Vec<_> = self.peers.values().map(ranked).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.into_iter().map(|(is_alive, _, address)| (address, is_alive))
    }

    /// When the router `name` was last seen, and whether it refused a connection since.
    pub fn last_seen(&self, name: &str) -> Option<(Instant, bool)> {
        self.peers.get(name).map(|it| (it.last_seen, it.refused.is_some()))
    }

    /// Hashes of the names of the other routers that may send requests: also those that
    /// were alive shortly before, so that nobody takes over their share too early.
    pub fn recent_senders(&self, now: Instant) -> impl Iterator<Item = u64> {
        let is_recent = move |it: &&Peer| {
            let was_alive = it.ready || it.loads.is_some();
            was_alive && now.saturating_duration_since(it.last_seen) < SENDER_TIME
        };
        self.peers.values().filter(is_recent).map(|it| it.hash)
    }

    /// Number of other routers that are alive.
    pub fn alive_count(&self, now: Instant) -> usize {
        self.peers.values().filter(|it| self.is_alive(it, now)).count()
    }

    /// Load of the other routers at backend servers, by the lower half of the server's
    /// hash. A living router without a recent report counts with the mean of those that
    /// have one.
    pub fn loads(&self, now: Instant) -> HashMap<u32, PeerLoad> {
        let mut all: HashMap<u32, PeerLoad> = HashMap::new();
        let alive = self.peers.values().filter(|it| self.is_alive(it, now));
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
            (it.hash, Reader::Peer(it.router.peers, near))
        };
        let alive =
            self.peers.values().filter(|it| self.is_alive(it, now) && !it.leaving).map(rank);
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
        let peers = &self.peers;
        self.names.retain(|_, name| peers.contains_key(name));
    }

    fn merge_report(
        &mut self,
        report: &WireObservation,
        seen_at: Instant,
        now: Instant,
        source: ReportSource,
    ) {
        let router = &report.router;
        if router.name == self.own.name {
            return;
        }
        let limit = self.silence_limit();
        match self.peers.get_mut(&router.name) {
            Some(it) if !it.is_superseded_by(router, seen_at, source) => {}
            Some(it) if it.router.born == router.born => {
                it.router.clone_from(router);
                it.update(report.ready, report.leaving, seen_at, limit, now);
            }
            _ => {
                let peer = Peer::new(report, seen_at, now);
                self.names.insert(peer.hash as u32, router.name.clone());
                self.peers.insert(router.name.clone(), peer);
            }
        }
    }
}
