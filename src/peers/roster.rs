//! Which routers are alive.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::wire::{WireCrash, WireExchange, WireRouter, WireSeen};

/// A router that was not heard of for this long counts as dead: three exchanges.
const ALIVE_TIME: Duration = Duration::from_millis(1_600);
/// A router that was not heard of for this long is no longer asked.
const FORGET_TIME: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct Peer {
    router: WireRouter,
    ready: bool,
    leaving: bool,
    heard: Instant,
    /// It refused a connection since it was heard.
    refused: bool,
    /// Requests in flight by backend server, as it told itself.
    loads: Vec<(u64, u32)>,
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
            peer.loads = message.loads;
        }
    }

    /// The peer at `address` refused a connection: its process is gone.
    pub fn refused(&mut self, address: SocketAddr) {
        for peer in self.peers.values_mut().filter(|it| it.router.peers == address) {
            peer.refused = true;
            peer.loads.clear();
        }
    }

    /// What this router tells others.
    pub fn message(
        &self,
        ready: bool,
        leaving: bool,
        loads: Vec<(u64, u32)>,
        crashes: Vec<WireCrash>,
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
        WireExchange { own, others: others.collect(), loads, crashes }
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

    /// Requests of the other routers in flight, by backend server.
    pub fn loads(&self, now: Instant) -> HashMap<u64, u32> {
        let mut all = HashMap::new();
        for peer in self.peers.values().filter(|it| it.is_alive(now)) {
            for (server, count) in &peer.loads {
                *all.entry(*server).or_insert(0) += count;
            }
        }
        all
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
            loads: former.map(|it| it.loads).unwrap_or_default(),
        };
        self.peers.insert(router.name.clone(), peer);
    }
}
