//! What all tasks of a router share.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::UNIX_EPOCH;

use error_stack::{Report, ResultExt};
use prometheus::Registry;
use slog::Logger;
use tokio::sync::Notify;

use crate::clock::SharedClock;
use crate::fleet::CrashReport;
use crate::peers::Roster;
use crate::relay::{Front, Journal, Relay};
use crate::router::{Face, RouterError, RouterSettings, Store};
use crate::wire::{WireExchange, WireRouter};

/// A router: its store, its peers, its relay.
#[derive(Debug)]
pub struct Router<S> {
    /// Settings as of the start.
    pub settings: RouterSettings,
    /// The form of what it says.
    pub face: Face,
    /// Where its state lasts.
    pub store: S,
    /// The request path.
    pub relay: Arc<Relay>,
    /// The other routers.
    pub roster: Mutex<Roster>,
    /// Counters and histograms.
    pub registry: Registry,
    /// The logger.
    pub logger: Logger,
    /// Requests of callers whose answers are not complete.
    pub busy: Arc<AtomicU32>,
    /// Wakes the exchange with other routers before its time.
    pub(crate) tell_now: Arc<Notify>,
}

impl<S: Store> Router<S> {
    /// A router that knows nothing yet.
    ///
    /// # Errors
    /// Fails when counters cannot be made.
    pub fn new(
        settings: RouterSettings,
        face: Face,
        store: S,
        clock: SharedClock,
        logger: Logger,
    ) -> Result<Router<S>, Report<RouterError>> {
        let registry = Registry::new();
        let journal = Journal::new(logger.clone(), Arc::clone(&clock), &registry)
            .change_context(RouterError::SetUp)?;
        let born = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        let own = WireRouter {
            name: settings.name.clone(),
            callers: settings.callers,
            peers: settings.peers,
            domain: settings.domain.clone(),
            born: born.as_millis() as u64,
        };
        let limits = settings.limits.clone();
        let relay = Relay::new(face.codec, limits, clock, Arc::new(journal));
        let tell_now = Arc::clone(&relay.news);
        Ok(Router {
            settings,
            face,
            store,
            relay: Arc::new(relay),
            roster: Mutex::new(Roster::new(own)),
            registry,
            logger,
            busy: Arc::default(),
            tell_now,
        })
    }

    /// What connections of callers share.
    pub fn front(&self) -> Front {
        let clock = Arc::clone(self.relay.clock());
        Front { logger: self.logger.clone(), clock, busy: Arc::clone(&self.busy) }
    }

    /// Whether the router is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.relay.leaving.load(Ordering::Relaxed)
    }

    /// What this router tells others now.
    pub(crate) fn message(&self) -> WireExchange {
        let now = self.relay.clock().now();
        let servers = self.relay.servers.lock().unwrap();
        let busy = servers.all().filter(|it| it.own() > 0);
        let loads = busy.map(|it| (it.hash, it.own())).collect();
        let crashes = self.relay.crashes.current(now).iter().map(|it| it.to_wire(now)).collect();
        let roster = self.roster.lock().unwrap();
        roster.message(self.relay.is_ready(), self.is_leaving(), loads, crashes, now)
    }

    /// Takes what another router tells.
    pub(crate) fn hear(&self, message: WireExchange) {
        let now = self.relay.clock().now();
        for crash in &message.crashes {
            self.relay.crashes.insert(CrashReport::from_wire(crash, now), now);
        }
        let mut roster = self.roster.lock().unwrap();
        roster.hear(message, now);
        self.relay.routers.store(roster.alive(now) + 1, Ordering::Relaxed);
        let loads = roster.loads(now);
        drop(roster);
        for server in self.relay.servers.lock().unwrap().all() {
            server.set_others(loads.get(&server.hash).copied().unwrap_or(0));
        }
    }
}
