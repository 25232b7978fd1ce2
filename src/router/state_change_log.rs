//! Log lines on changes of this router's state and of its view of the other routers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::{info, warn};

use crate::events::Code;
use crate::router::{Router, Store};
use crate::wire::age_ms;

/// The state as last logged, so that each change is logged once.
#[derive(Debug, Default)]
pub(crate) struct StateChangeLog {
    ready: bool,
    reader: bool,
    /// Names of the other routers that are alive.
    alive: BTreeSet<String>,
    /// Names of the services in which several software versions serve.
    mixed: BTreeSet<String>,
    /// Names of the services whose servers are all in evacuated failure domains.
    evacuated: BTreeSet<String>,
    /// Ids of the servers that are cold.
    cold: BTreeSet<Arc<str>>,
}

impl StateChangeLog {
    /// Logs what has changed since the last call.
    pub fn log_changes<S: Store>(&mut self, router: &Router<S>) {
        let now = router.relay.clock().now();
        self.log_readiness(router);
        self.log_peers(router, now);
        self.log_reader_role(router, now);
        self.log_software(router);
        self.log_evacuated(router);
        self.log_cold(router, now);
    }

    fn log_cold<S: Store>(&mut self, router: &Router<S>, now: Instant) {
        let servers = router.relay.servers.lock().unwrap();
        let limited = servers.by_service().filter(|(service, it)| {
            it.cold_share(&router.relay.cold_terms(service), now).is_some()
        });
        let times = limited.map(|(_, it)| (Arc::clone(&it.id), it.cold_time(now)));
        let cold: BTreeMap<Arc<str>, Duration> = times.collect();
        drop(servers);
        for (server, time) in cold.iter().filter(|(id, _)| !self.cold.contains(*id)) {
            let code = Code::ServerCold;
            info!(router.logger, "{}", code.text(); "event" => code.number(),
                "server" => &**server, "time_ms" => time.as_millis() as u64);
        }
        for server in self.cold.iter().filter(|it| !cold.contains_key(*it)) {
            let code = Code::ServerWarm;
            info!(router.logger, "{}", code.text();
                "event" => code.number(), "server" => &**server);
        }
        self.cold = cold.into_keys().collect();
    }

    fn log_evacuated<S: Store>(&mut self, router: &Router<S>) {
        let servers = router.relay.servers.lock().unwrap();
        let evacuated: BTreeSet<String> = servers.evacuated_services().map(str::to_owned).collect();
        drop(servers);
        for service in evacuated.difference(&self.evacuated) {
            let code = Code::ServiceEvacuated;
            warn!(router.logger, "{}", code.text();
                "event" => code.number(), "service" => service);
        }
        for service in self.evacuated.difference(&evacuated) {
            let code = Code::ServiceTakenBack;
            info!(router.logger, "{}", code.text();
                "event" => code.number(), "service" => service);
        }
        self.evacuated = evacuated;
    }

    fn log_software<S: Store>(&mut self, router: &Router<S>) {
        let servers = router.relay.servers.lock().unwrap();
        let mixed: BTreeSet<String> = servers.mixed_services().map(str::to_owned).collect();
        drop(servers);
        let begun = mixed.difference(&self.mixed).map(|it| (Code::SoftwareMixed, it));
        let ended = self.mixed.difference(&mixed).map(|it| (Code::SoftwareUniform, it));
        for (code, service) in begun.chain(ended) {
            info!(router.logger, "{}", code.text(); "event" => code.number(), "service" => service);
        }
        self.mixed = mixed;
    }

    fn log_readiness<S: Store>(&mut self, router: &Router<S>) {
        let ready = router.relay.is_ready();
        if ready == self.ready {
            return;
        }
        self.ready = ready;
        let code = if ready { Code::TurnedReady } else { Code::TurnedUnready };
        let age = router.relay.lease.age(router.relay.clock().boot());
        info!(router.logger, "{}", code.text();
            "event" => code.number(), "leaving" => router.is_leaving(),
            "rules" => router.relay.rules.load().map(|it| it.version),
            "rules_age_ms" => age.map(|it| it.as_millis() as u64));
    }

    fn log_peers<S: Store>(&mut self, router: &Router<S>, now: Instant) {
        let peers = router.peers.lock().unwrap();
        let alive: BTreeSet<String> = peers.alive_names(now).map(str::to_owned).collect();
        for name in alive.difference(&self.alive) {
            let code = Code::RouterHeard;
            info!(router.logger, "{}", code.text();
                "event" => code.number(), "router" => name, "alive" => alive.len());
        }
        for name in self.alive.difference(&alive) {
            let code = Code::RouterSilent;
            let seen = peers.last_seen(name);
            let silent = seen.map(|(at, _)| age_ms(at, now));
            info!(router.logger, "{}", code.text();
                "event" => code.number(), "router" => name, "silent_ms" => silent,
                "refused" => seen.map(|(_, refused)| refused), "alive" => alive.len());
        }
        self.alive = alive;
    }

    fn log_reader_role<S: Store>(&mut self, router: &Router<S>, now: Instant) {
        let (reader, alive) = {
            let peers = router.peers.lock().unwrap();
            (peers.is_reader(now), peers.alive_count(now))
        };
        if reader == self.reader {
            return;
        }
        self.reader = reader;
        let code = if reader { Code::ReaderBegun } else { Code::ReaderEnded };
        info!(router.logger, "{}", code.text();
            "event" => code.number(), "alive" => alive);
    }
}
