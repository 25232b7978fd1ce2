//! The state that all tasks of a router share.

use std::cmp::Ordering;
use std::collections::HashSet;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, UNIX_EPOCH};

use error_stack::{Report, ResultExt};
use prometheus::{IntGaugeVec, Registry};
use slog::{Logger, info};
use tokio::sync::{Notify, mpsc, watch};

use crate::clock::SharedClock;
use crate::decide::{LimitSenders, Results, ServerTokens, hash_bytes};
use crate::events::{Code, LogOnce};
use crate::fleet::CrashReport;
use crate::intake::{Intake, Listener};
use crate::peers::{
    Message, OwnReport, Peer, PeerClient, PeerLoad, PeerTable, part_news_from_wire,
    part_news_to_wire,
};
use crate::relay::{
    ConnectionContext, Forwarder, MAX_WAITING_QUERIES, OriginQuery, Relay, RequestLog,
};
use crate::router::demand_news::{demand_news, merge_demand};
use crate::router::gauges::RouterGauges;
use crate::router::leaving_news::{leaving_news, merge_leaving};
use crate::router::limit_news::{limit_news, merge_limits};
use crate::router::pace_metrics::PaceMetrics;
use crate::router::pace_news::{merge_paces, pace_news};
use crate::router::software_news::{merge_software, software_news};
use crate::router::stream_records::StreamRecords;
use crate::router::token_news::token_gauge;
use crate::router::{ClientProtocol, RouterError, RouterSettings, Store};
use crate::servers::{RouterProcess, ServerRecord, StoreEra, TableRevision};
use crate::wire::{
    ServerLoad, WireNews, WireRouter, WireServer, WireServers, WireServersAddition,
    WireServersRequest, pack_loads, pack_tokens,
};

/// Weight of the results at a backend server up to which an idle one is not reported.
const MIN_REPORTED_RESULTS: f64 = 0.25;

/// Limit of the crash reports in one message to another router.
const MAX_TOLD_CRASHES: usize = 32;

/// What a router reports of its requests at backend servers.
#[derive(Default)]
struct AtServers {
    loads: Vec<ServerLoad>,
    /// Tokens at the servers of `loads` with requests in flight, in the same order; none where no
    /// servers have token budgets.
    tokens: Vec<ServerTokens>,
}

/// A router: its store, its peers and its relay.
#[derive(Debug)]
pub struct Router<S> {
    /// Settings read at the start.
    pub settings: RouterSettings,
    /// The HTTP forms used with callers and the platform.
    pub protocol: ClientProtocol,
    /// The platform's store.
    pub store: S,
    /// The request path.
    pub relay: Arc<Relay>,
    /// The other routers.
    pub peers: Mutex<PeerTable>,
    /// Registry of all metrics.
    pub registry: Registry,
    /// The pace of backend servers in them.
    pub(crate) pace_metrics: PaceMetrics,
    /// Metrics that a scrape computes.
    pub(crate) gauges: RouterGauges,
    /// The logger.
    pub logger: Logger,
    /// What is held for all clients.
    pub(crate) intake: Arc<Intake>,
    /// When it started, as time since boot.
    started: Duration,
    /// Number of requests of callers whose responses are not complete.
    pub in_flight: Arc<AtomicU32>,
    /// Set to true once new requests are refused.
    pub(crate) closed: watch::Sender<bool>,
    /// Starts the next exchange with other routers at once.
    pub(crate) exchange_now: Arc<Notify>,
    /// Signals that another router has newer rules.
    pub(crate) newer_rules: Notify,
    /// Questions of the relay to other routers; taken when the router starts.
    pub(crate) origin_queries: Mutex<Option<mpsc::Receiver<OriginQuery>>>,
    /// The state of the store that it last named.
    pub(crate) store_era: Mutex<StoreEra>,
    /// For the line that the store's era cannot be read.
    pub(crate) unreadable_era: LogOnce,
    /// For the line that tokens told by another router cannot be read.
    pub(crate) unreadable_tokens: LogOnce,
    pub(crate) token_gauge: IntGaugeVec,
    /// Notified when the store was restored from a copy, so that what it lost is written again.
    pub(crate) restored: Notify,
    /// Blamed prompt parts that the store has, as last read or written.
    pub(crate) stored_blame: Mutex<HashSet<u64>>,
    /// What the store keeps of streams.
    pub(crate) stream_records: StreamRecords,
    /// Client for requests to other routers.
    pub(crate) client: PeerClient,
}

impl<S: Store> Router<S> {
    /// Makes a router without rules, backend servers and peers.
    ///
    /// # Errors
    /// Fails when the metrics or the client for other routers cannot be set up.
    pub fn new(
        settings: RouterSettings,
        protocol: ClientProtocol,
        store: S,
        clock: SharedClock,
        logger: Logger,
    ) -> Result<Router<S>, Report<RouterError>> {
        let registry = Registry::new();
        let request_log = RequestLog::new(logger.clone(), Arc::clone(&clock), &registry)
            .change_context(RouterError::SetUp)?;
        let token_gauge = token_gauge(&registry).change_context(RouterError::SetUp)?;
        let pace_metrics = PaceMetrics::new(&registry).change_context(RouterError::SetUp)?;
        let intake = Intake::new(settings.intake, Arc::clone(&clock), logger.clone(), &registry)
            .change_context(RouterError::SetUp)?;
        let gauges = RouterGauges::new(&registry).change_context(RouterError::SetUp)?;
        let born = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        let own = WireRouter {
            name: settings.name.clone(),
            callers: settings.callers,
            peers: settings.peers,
            domain: settings.domain.clone(),
            born: born.as_millis() as u64,
        };
        let limits = settings.limits.clone();
        let (queries, origin_queries) = mpsc::channel(MAX_WAITING_QUERIES);
        let started = clock.boot();
        let relay = Relay::new(protocol.codec, limits, clock, Arc::new(request_log), queries);
        let process = RouterProcess { router: hash_bytes(own.name.as_bytes()), born: own.born };
        relay.servers.lock().unwrap().set_process(process);
        let exchange_now = Arc::clone(&relay.urgent_update);
        Ok(Router {
            settings,
            protocol,
            store,
            relay: Arc::new(relay),
            peers: Mutex::new(PeerTable::new(own)),
            registry,
            pace_metrics,
            gauges,
            logger,
            intake: Arc::new(intake),
            started,
            in_flight: Arc::default(),
            closed: watch::Sender::new(false),
            exchange_now,
            newer_rules: Notify::new(),
            origin_queries: Mutex::new(Some(origin_queries)),
            store_era: Mutex::default(),
            unreadable_era: LogOnce::default(),
            unreadable_tokens: LogOnce::default(),
            token_gauge,
            restored: Notify::new(),
            stored_blame: Mutex::default(),
            stream_records: StreamRecords::default(),
            client: PeerClient::new().change_context(RouterError::SetUp)?,
        })
    }

    /// The context that all connections at `listener` share.
    pub fn connection_context(&self, listener: Listener) -> ConnectionContext {
        let clock = Arc::clone(self.relay.clock());
        let closed = self.closed.subscribe();
        ConnectionContext {
            logger: self.logger.clone(),
            clock,
            active_requests: Arc::clone(&self.in_flight),
            forwarded_requests: Arc::clone(&self.in_flight),
            closed,
            intake: Arc::clone(&self.intake),
            listener,
        }
    }

    /// Whether the router is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.relay.leaving.load(Relaxed)
    }

    /// The current message to other routers.
    pub(crate) fn message(&self) -> Message {
        let now = self.relay.clock().now();
        let crashes = self.relay.crashes.most_relevant(MAX_TOLD_CRASHES, now);
        let version = self.relay.rules.load().map(|it| it.version);
        let age = self.relay.lease.age(self.relay.clock().boot());
        let at_servers = self.at_servers(now);
        let own = OwnReport {
            ready: self.relay.is_ready(),
            leaving: self.is_leaving(),
            loads: pack_loads(at_servers.loads),
            crashes: crashes.into_iter().map(|it| it.to_wire(now)).collect(),
            rules: version.zip(age.map(|it| it.as_millis() as u64)),
        };
        let exchange = self.peers.lock().unwrap().message(own, now, &mut rand::rng());
        let tokens = pack_tokens(&at_servers.tokens);
        Message { exchange, news: WireNews { tokens, ..self.news(now) } }
    }

    /// Sets which routers share what cold servers take.
    pub(crate) fn update_cold_senders(&self, peers: &PeerTable) {
        let age = self.relay.clock().boot().saturating_sub(self.started);
        let own = hash_bytes(self.settings.name.as_bytes());
        let senders = peers.cold_senders(age).map(|others| LimitSenders { own, others });
        self.relay.set_cold_senders(senders);
    }

    /// Sets which routers may take requests of this one.
    pub(crate) fn update_forwarders(&self, peers: &PeerTable, now: Instant) {
        let forwarder = |it: &Peer| Forwarder {
            name: it.router.name.clone(),
            hash: it.hash,
            address: it.router.peers,
            is_near: it.router.domain == self.settings.domain,
            cut_off: it.cut_off.clone(),
        };
        let all = peers.available(now).map(forwarder).collect();
        self.relay.forwarders.store(Arc::new(all));
    }

    /// The loads and tokens of this router at all backend servers.
    fn at_servers(&self, now: Instant) -> AtServers {
        let has_budgets = self.relay.has_token_budgets();
        let servers = self.relay.servers.lock().unwrap();
        let mut reported = AtServers::default();
        for it in servers.all() {
            let in_flight = it.own().min(u8::MAX.into()) as u8;
            let Results { good, bad } = it.local_results(now);
            if in_flight > 0 || good + bad > MIN_REPORTED_RESULTS {
                reported.loads.push(ServerLoad { server: it.hash as u32, in_flight, good, bad });
            }
            if in_flight > 0 && has_budgets {
                reported.tokens.push(it.tokens.own());
            }
        }
        reported
    }

    fn news(&self, now: Instant) -> WireNews {
        let parts = self.relay.parts.lock().unwrap().news(now);
        let peers = self.peers.lock().unwrap();
        let sightings = peers.sightings(now, &mut rand::rng());
        let failures = peers.failures(now);
        drop(peers);
        WireNews {
            parts: part_news_to_wire(&parts, now),
            limits: limit_news(&self.relay, now),
            leaving: leaving_news(&self.relay, now),
            software: software_news(&self.relay, now),
            cut_off: self.relay.cut_off_hashes().into_vec(),
            sightings,
            failures,
            tokens: Vec::new(),
            paces: pace_news(&self.relay, now),
            evacuations: self.relay.evacuation_news(now),
            demand: demand_news(&self.relay, now),
        }
    }

    /// Handles the reply to a message that was sent at `sent`, as time since boot. If the
    /// other router has the same rules and knows of the same evacuations, its confirmation of them
    /// renews the lease here too.
    pub(crate) fn receive_reply(&self, mut message: Message, sent: Duration) {
        let now = self.relay.clock().now();
        let is_current = self.relay.merge_evacuations(message.news.evacuations.take(), now);
        let own = self.relay.rules.load().map_or(0, |it| it.version);
        if let Some((version, age_ms)) = message.exchange.rules {
            let confirmed = sent.checked_sub(Duration::from_millis(age_ms));
            match (version.cmp(&own), confirmed) {
                (Ordering::Equal, Some(at)) if is_current => self.relay.lease.renew(at),
                (Ordering::Greater, _) => self.newer_rules.notify_one(),
                _ => {}
            }
        }
        self.receive(message);
    }

    /// This process.
    pub(crate) fn process(&self) -> RouterProcess {
        let peers = self.peers.lock().unwrap();
        let own = peers.own();
        RouterProcess { router: hash_bytes(own.name.as_bytes()), born: own.born }
    }

    /// Whether this router reads the store itself.
    pub(crate) fn is_reader(&self) -> bool {
        let now = self.relay.clock().now();
        self.peers.lock().unwrap().is_reader(now)
    }

    /// The changes of backend servers that another router requests, and what follows them.
    pub(crate) fn servers_since(
        &self,
        request: &WireServersRequest,
    ) -> (WireServers, WireServersAddition) {
        let age = self.relay.servers_lease.age(self.relay.clock().boot());
        let known = TableRevision { table: request.epoch, number: request.stamp };
        let (changes, registered) = {
            let servers = self.relay.servers.lock().unwrap();
            (servers.since(known), servers.registered())
        };
        let version = |(id, record): &(String, Option<ServerRecord>)| {
            Some((id.clone(), record.as_ref()?.software.to_string()))
        };
        let addition = WireServersAddition {
            versions: changes.entries.iter().filter_map(version).collect(),
            position: Some(changes.position.into()),
            registered,
        };
        let row = |(id, record): (String, Option<ServerRecord>)| {
            (id, record.map(|it| WireServer::from(&it)))
        };
        let servers = WireServers {
            epoch: changes.revision.table,
            stamp: changes.revision.number,
            whole: changes.is_complete,
            age_ms: age.map(|it| it.as_millis() as u64),
            rows: changes.entries.into_iter().map(row).collect(),
        };
        (servers, addition)
    }

    /// Handles a message of another router: merges it, and updates the loads and the
    /// ejection of backend servers accordingly.
    pub(crate) fn receive(&self, message: Message) {
        let now = self.relay.clock().now();
        let Message { exchange, news } = message;
        self.relay.merge_part_news(part_news_from_wire(news.parts, now));
        self.relay.merge_evacuations(news.evacuations, now);
        merge_limits(&self.relay, &news.limits, now);
        merge_leaving(&self.relay, &news.leaving, now);
        merge_software(&self.relay, news.software, now);
        merge_paces(&self.relay, &news.paces, now);
        merge_demand(&self.relay, &exchange.own.router.name, &news.demand, now);
        for crash in &exchange.crashes {
            self.relay.crashes.insert(CrashReport::from_wire(crash, now), now);
        }
        let mut peers = self.peers.lock().unwrap();
        let sender = exchange.own.router.name.clone();
        peers.merge_message(exchange, now);
        self.merge_tokens(&mut peers, &sender, &news.tokens);
        peers.set_cut_off(&sender, news.cut_off.into());
        peers.merge_sightings(&sender, &news.sightings, now);
        peers.merge_failures(news.failures, now);
        if self.relay.cut_services.load(Relaxed) > 0 {
            self.update_forwarders(&peers, now);
        }
        self.relay.routers.store(peers.alive_count(now) + 1, Relaxed);
        let own = hash_bytes(self.settings.name.as_bytes());
        let senders = LimitSenders { own, others: peers.recent_senders(now).collect() };
        let loads = peers.loads(now);
        drop(peers);
        self.relay.set_limit_senders(senders);
        let servers = self.relay.servers.lock().unwrap();
        for server in servers.all() {
            let PeerLoad { in_flight, results } =
                loads.get(&(server.hash as u32)).copied().unwrap_or_default();
            server.set_reported_by_peers(in_flight, results);
        }
        self.relay.room.waiters.wake_services();
        servers.update_ejections(now, |server, all| {
            let ejected = server.is_ejected();
            let code = if ejected { Code::ServerSetAside } else { Code::ServerProbed };
            let own = server.results(now);
            info!(self.logger, "{}", code.text();
                "event" => code.number(), "server" => &*server.id, "good" => own.good,
                "bad" => own.bad, "service_good" => all.good, "service_bad" => all.bad);
        });
    }
}
