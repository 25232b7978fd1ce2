//! Table of the other routers: liveness and load.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::decide::{Results, combine};
use crate::peers::FailureKind;
use crate::peers::peer::{PEER_TIMEOUT, Peer, ReportSource};
use crate::peers::silence::silence_limit;
use crate::servers::RouterProcess;
use crate::wire::{WireExchange, WireObservation, WireRouter, unpack_loads};

/// A process that did not look after the table for longer than this was itself suspended or slow,
/// and did not hear the others meanwhile.
const MAX_UNATTENDED_TIME: Duration = Duration::from_millis(1_000);
/// A router that was last seen this long ago no longer shares the limits of backend servers.
const SENDER_TIME: Duration = Duration::from_secs(10);
/// A router that was last seen this long ago is removed and no longer contacted.
const FORGET_TIME: Duration = Duration::from_secs(60);

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
    pub(super) peers: BTreeMap<String, Peer>,
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
        self.merge_report(&report, old, now, ReportSource::Announced);
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
    pub(super) fn silence_limit(&self) -> Duration {
        silence_limit(self.peers.len() + 1)
    }

    /// Other routers that are alive.
    pub(super) fn alive(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(self.liveness(now))
    }

    fn liveness(&self, now: Instant) -> impl Fn(&&Peer) -> bool + use<> {
        // The time of a pause of this process counts for none of them.
        let now = self.attended.map_or(now, |at| now.min(at + MAX_UNATTENDED_TIME));
        let limit = self.silence_limit();
        move |it| it.is_alive(limit, now)
    }

    /// The router whose name has the lower half `hash` of its hash.
    pub(super) fn by_hash(&mut self, hash: u32) -> Option<&mut Peer> {
        self.peers.get_mut(self.names.get(&hash)?)
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

    /// Addresses of all other routers, and whether each is in the same failure domain.
    /// Dead ones are included, as they may have been restarted.
    pub fn addresses(&self) -> impl Iterator<Item = (SocketAddr, bool)> {
        let near = |it: &WireRouter| it.domain == self.own.domain;
        self.peers.values().map(move |it| (it.router.peers, near(&it.router)))
    }

    /// Address of the living router that has been silent for longest.
    pub(crate) fn most_silent(&self, now: Instant) -> Option<SocketAddr> {
        self.alive(now).min_by_key(|it| it.last_seen).map(|it| it.router.peers)
    }

    /// Other routers that are alive, ready and not leaving.
    pub fn ready(&self, now: Instant) -> impl Iterator<Item = &WireRouter> {
        self.available(now).map(|it| &it.router)
    }

    /// The same, with all that is known of them.
    pub(crate) fn available(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.alive(now).filter(|it| it.ready && !it.leaving)
    }

    /// Names of the other routers that are alive.
    pub fn alive_names(&self, now: Instant) -> impl Iterator<Item = &str> {
        self.alive(now).map(|it| it.router.name.as_str())
    }

    /// The other routers, by the hashes of their names: first those that are alive, each group in
    /// the rendezvous order of `key`.
    pub fn ranked(&self, key: u64, now: Instant) -> impl Iterator<Item = (u64, SocketAddr)> {
        self.ranked_by_liveness(key, now).map(|(_, hash, address)| (hash, address))
    }

    /// The same, only those that are alive.
    pub fn ranked_alive(&self, key: u64, now: Instant) -> impl Iterator<Item = (u64, SocketAddr)> {
        let alive = self.ranked_by_liveness(key, now).filter(|(is_alive, ..)| *is_alive);
        alive.map(|(_, hash, address)| (hash, address))
    }

    fn ranked_by_liveness(
        &self,
        key: u64,
        now: Instant,
    ) -> impl Iterator<Item = (bool, u64, SocketAddr)> + use<> {
        let is_alive = self.liveness(now);
        let ranked = |it: &Peer| (is_alive(&it), combine(key, it.hash), it.hash, it.router.peers);
        let mut all: Vec<_> = self.peers.values().map(ranked).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.into_iter().map(|(is_alive, _, hash, address)| (is_alive, hash, address))
    }

    /// Address for peers of a process, unless it was replaced by another one.
    pub fn address(&self, process: RouterProcess) -> Option<SocketAddr> {
        let mut peers = self.peers.values();
        let peer = peers.find(|it| it.hash == process.router && it.router.born == process.born)?;
        Some(peer.router.peers)
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

    /// Hashes of the names of the other routers that may share what cold servers take: all that
    /// were seen in the last minute, dead ones too. `None` while they are not known: shortly
    /// after this process started, `age` ago, or as long as it has seen none of those announced.
    pub fn cold_senders(&self, age: Duration) -> Option<Vec<u64>> {
        let seen: Vec<u64> = self.peers.values().filter(|it| it.seen).map(|it| it.hash).collect();
        let is_isolated = seen.is_empty() && !self.peers.is_empty() && age < FORGET_TIME;
        (age >= SENDER_TIME && !is_isolated).then_some(seen)
    }

    /// Number of other routers that are alive.
    pub fn alive_count(&self, now: Instant) -> usize {
        self.alive(now).count()
    }

    /// Load of the other routers at backend servers, by the lower half of the server's
    /// hash. A living router without a recent report counts with the mean of those that
    /// have one.
    pub fn loads(&self, now: Instant) -> HashMap<u32, PeerLoad> {
        let mut all: HashMap<u32, PeerLoad> = HashMap::new();
        let is_recent = |at: Instant| now.saturating_duration_since(at) < PEER_TIMEOUT;
        let reports =
            self.alive(now).filter_map(|it| it.loads.as_ref()).filter(|(at, _)| is_recent(*at));
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
        if let Some(it) = self.peers.get_mut(&router.name) {
            it.seen |= source != ReportSource::Announced;
        }
    }
}
