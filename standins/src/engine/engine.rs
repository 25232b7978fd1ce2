//! Engine stand-in: shared state and controls for tests.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::engine::cache::CacheEvent;
use crate::engine::feed::{End, Feed};
use crate::engine::slots::Slots;
use crate::engine::{Faults, Options, Order, OrderRequest, PrefixCache, http};
use crate::server::{Server, Switch};

/// Number of recent cache events retained for readers.
const EVENT_WINDOW: usize = 4_096;
/// Number of recent orders retained for tests.
const ORDER_WINDOW: usize = 256;

/// Start counter, so that engines that start in the same microsecond differ in incarnation.
static STARTS: AtomicU64 = AtomicU64::new(0);

/// A model version or adapter that an engine has loaded.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Loaded {
    /// Model name.
    pub model: String,
    /// Version of the model.
    #[serde(default)]
    pub version: String,
    /// Adapter on top of the model; empty for none.
    #[serde(default)]
    pub adapter: String,
}

/// Answer to `GET /load`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Changes at each start of the engine.
    pub incarnation: u64,
    /// Role, such as `serve`.
    pub role: String,
    /// Number of running requests.
    pub running: usize,
    /// Number of queued requests.
    pub queued: usize,
    /// Tokens that running and queued requests still have to prefill or decode.
    pub tokens: u64,
    /// Maximum number of requests that run at the same time.
    pub slots: usize,
    /// Loaded model versions and adapters.
    pub loaded: Vec<Loaded>,
    /// Number of cached blocks.
    pub cached: usize,
    /// Highest fencing number seen.
    pub fencing: u64,
}

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) faults: Faults,
    pub(crate) cache: PrefixCache,
    pub(crate) streams: HashMap<String, Arc<Feed>>,
    pub(crate) running: usize,
    pub(crate) queued: usize,
    pub(crate) tokens: u64,
    loaded: Vec<Loaded>,
    loading: Vec<Loaded>,
    role: String,
    fencing: u64,
    orders: VecDeque<OrderRequest>,
    incarnation: u64,
    reports: VecDeque<(Instant, LoadReport)>,
    events: VecDeque<(Instant, CacheEvent)>,
    /// Number of runs started, by request id.
    runs: HashMap<String, u32>,
}

#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) options: Options,
    pub(crate) slots: Slots,
    pub(crate) switch: Arc<Switch>,
    state: Mutex<State>,
}

/// Engine on a loopback address.
#[derive(Debug)]
pub struct EngineStandin {
    server: Server,
    core: Arc<Core>,
    sampler: JoinHandle<()>,
}

impl EngineStandin {
    /// Starts an engine.
    ///
    /// # Errors
    /// Fails when the address cannot be bound.
    pub async fn start(addr: SocketAddr, options: Options) -> io::Result<EngineStandin> {
        let switch = Arc::new(Switch::default());
        let core = Arc::new(Core::new(options, Arc::clone(&switch)));
        let server = Server::start(addr, switch, http::routes(&core)).await?;
        let sampled_core = Arc::clone(&core);
        let period = (core.options.load_lag / 4).max(Duration::from_millis(5));
        let sampler = tokio::spawn(async move {
            loop {
                sampled_core.sample();
                sleep(period).await;
            }
        });
        Ok(EngineStandin { server, core, sampler })
    }

    /// Address on which the engine listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        self.core.state().faults = faults;
    }

    /// Aborts all requests, closes all connections and clears the cache; the engine restarts
    /// after `outage`.
    pub fn crash(&self, outage: Duration) {
        self.core.crash(outage);
    }

    /// Aborts all requests and closes all connections; the engine does not restart.
    pub fn kill(&self) {
        self.core.disconnect();
    }

    /// Current load, without lag.
    pub fn load(&self) -> LoadReport {
        self.core.report()
    }

    /// Number of runs started for the request `id`.
    pub fn runs(&self, id: &str) -> u32 {
        self.core.state().runs.get(id).copied().unwrap_or(0)
    }

    /// Number of runs started for all requests.
    pub fn total_runs(&self) -> u64 {
        self.core.state().runs.values().map(|it| u64::from(*it)).sum()
    }

    /// Accepted orders, oldest first.
    pub fn orders(&self) -> Vec<OrderRequest> {
        self.core.state().orders.iter().cloned().collect()
    }
}

impl Drop for EngineStandin {
    fn drop(&mut self) {
        self.sampler.abort();
    }
}

impl Core {
    fn new(options: Options, switch: Arc<Switch>) -> Core {
        let state = State {
            faults: Faults::default(),
            cache: PrefixCache::new(options.cache_blocks),
            streams: HashMap::new(),
            running: 0,
            queued: 0,
            tokens: 0,
            loaded: options.loaded.clone(),
            loading: Vec::new(),
            role: "serve".to_owned(),
            fencing: 0,
            orders: VecDeque::new(),
            incarnation: next_incarnation(),
            reports: VecDeque::new(),
            events: VecDeque::new(),
            runs: HashMap::new(),
        };
        Core { slots: Slots::new(options.slots), options, switch, state: Mutex::new(state) }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Scales a duration by the `slow` fault.
    pub(crate) fn scaled_time(&self, time: Duration) -> Duration {
        time * (1 + self.state().faults.slow)
    }

    /// Whether `model` can run; an engine with nothing loaded accepts any model.
    pub(crate) fn serves(&self, model: &str) -> bool {
        let state = self.state();
        state.loaded.is_empty() || state.loaded.iter().any(|it| it.serves(model))
    }

    /// Counts a started run of request `id`.
    pub(crate) fn count_run(&self, id: &str) {
        *self.state().runs.entry(id.to_owned()).or_default() += 1;
    }

    /// Accepts an order, or returns the highest fencing number seen when that is higher.
    pub(crate) fn order(self: &Arc<Core>, request: OrderRequest) -> Result<(), u64> {
        let checks = self.options.checks_fencing;
        let mut state = self.state();
        if checks && request.fencing < state.fencing {
            return Err(state.fencing);
        }
        state.fencing = state.fencing.max(request.fencing);
        match &request.order {
            Order::Load(it) if !state.loaded.contains(it) && !state.loading.contains(it) => {
                state.loading.push(it.clone());
                tokio::spawn(Arc::clone(self).load(it.clone()));
            }
            Order::Load(_) => {}
            Order::Unload(it) => {
                state.loaded.retain(|other| other != it);
                state.loading.retain(|other| other != it);
            }
            Order::Role { role } => state.role.clone_from(role),
        }
        if state.orders.len() == ORDER_WINDOW {
            state.orders.pop_front();
        }
        state.orders.push_back(request);
        Ok(())
    }

    /// Loads `it`; an unload order during the load cancels it.
    async fn load(self: Arc<Core>, it: Loaded) {
        self.options.store.begin();
        sleep(self.scaled_time(self.options.load_time)).await;
        self.options.store.end();
        let mut state = self.state();
        if state.loading.contains(&it) {
            state.loading.retain(|other| *other != it);
            state.loaded.push(it);
        }
    }

    /// Current load.
    pub(crate) fn report(&self) -> LoadReport {
        let state = self.state();
        LoadReport {
            incarnation: state.incarnation,
            role: state.role.clone(),
            running: state.running,
            queued: state.queued,
            tokens: state.tokens,
            slots: self.options.slots,
            loaded: state.loaded.clone(),
            cached: state.cache.len(),
            fencing: state.fencing,
        }
    }

    /// Newest load report that is at least as old as the load lag.
    pub(crate) fn lagged_report(&self) -> LoadReport {
        let now = Instant::now();
        let lag = self.options.load_lag;
        let found = {
            let mut state = self.state();
            while state.reports.len() > 1 && now.duration_since(state.reports[1].0) >= lag {
                state.reports.pop_front();
            }
            state.reports.front().map(|it| it.1.clone())
        };
        found.unwrap_or_else(|| self.report())
    }

    /// Cache events from `from` on that are at least as old as the event lag, without those
    /// that the event gap drops.
    pub(crate) fn events(&self, from: u64) -> Vec<CacheEvent> {
        let now = Instant::now();
        let gap = self.options.event_gap;
        let state = self.state();
        state
            .events
            .iter()
            .filter(|(at, it)| it.seq >= from && now.duration_since(*at) >= self.options.event_lag)
            .map(|(_, it)| *it)
            .filter(|it| gap == 0 || it.seq % gap != gap - 1)
            .collect()
    }

    fn sample(&self) {
        let report = self.report();
        let now = Instant::now();
        let mut state = self.state();
        state.reports.push_back((now, report));
        for it in state.cache.take_events() {
            state.events.push_back((now, it));
        }
        let extra = state.events.len().saturating_sub(EVENT_WINDOW);
        state.events.drain(..extra);
    }

    /// Aborts all streams, closes all connections and clears the cache.
    fn disconnect(&self) {
        self.switch.down();
        let mut state = self.state();
        for (_, feed) in state.streams.drain() {
            feed.finish(End::Aborted);
        }
        state.cache.clear();
        state.reports.clear();
    }

    /// Stops now and restarts as a new incarnation after `outage`.
    pub(crate) fn crash(self: &Arc<Core>, outage: Duration) {
        self.disconnect();
        let core = Arc::clone(self);
        tokio::spawn(async move {
            sleep(outage).await;
            core.state().incarnation = next_incarnation();
            core.switch.up();
        });
    }
}

impl Loaded {
    /// Whether a request for `model`, a model or adapter name with or without `@version`,
    /// can run on this.
    fn serves(&self, model: &str) -> bool {
        let (name, version) = model.split_once('@').unwrap_or((model, ""));
        let loaded_name = if self.adapter.is_empty() { &self.model } else { &self.adapter };
        loaded_name == name && (version.is_empty() || self.version == version)
    }
}

fn next_incarnation() -> u64 {
    let micros = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_micros() as u64);
    micros * 64 + STARTS.fetch_add(1, Ordering::Relaxed) % 64
}
