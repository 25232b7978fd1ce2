//! Routers that dispatch orders step by step, each with its own view, to stand-ins of
//! engines and of the log.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use filberttiller::backend::{ControlHttp, EngineClient, LogClient};
use filberttiller::clock::{ManualClock, SharedClock};
use filberttiller::controllers::{
    ListRead, LoadReported, ORDER_STREAM, OrderDispatcher, OrderParts, OrderQuery, Publisher,
    PublisherParts, RecordsRead, TicketRecord,
};
use filberttiller::events::{Code, EventLog, discard_logger};
use filberttiller::fleet::{Budget, CrashTable, ViewCell};
use filberttiller::settings::{Orders, StateSync};
use filberttiller::wire::{
    Instance, InstanceState, LoadReport, MemberStatus, OrderRequest, Role, WireMember, WireOrder,
    parse_ticket,
};
use prometheus::IntCounter;
use serde_json::Value;
use standins::engine::{EngineStandin, Loaded, Options};
use standins::log::LogService;
use xtra::{Address, Mailbox};

const ANY_LOCAL_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// A router that polls its engines only when a test does so.
pub(crate) struct TestRouter {
    pub(crate) events: Arc<EventLog>,
    publisher: Address<Publisher>,
    dispatcher: OrderDispatcher,
}

/// A log, engines and a clock that only tests advance.
pub(crate) struct Harness {
    pub(crate) log: LogService,
    pub(crate) engines: Vec<EngineStandin>,
    pub(crate) clock: Arc<ManualClock>,
    client: EngineClient,
    http: ControlHttp,
}

impl Harness {
    /// Engines that hold the versions in `loaded`, each in its own pool and domain.
    pub(crate) async fn start(loaded: &[&[&str]], checks_fencing: bool) -> Harness {
        let hour = Duration::from_secs(3_600);
        let log = LogService::start(ANY_LOCAL_PORT, hour, 300).await.unwrap();
        let mut engines = Vec::new();
        for versions in loaded {
            let options = Options {
                load_lag: Duration::ZERO,
                checks_fencing,
                loaded: versions.iter().copied().map(loaded_model).collect(),
                ..Options::default()
            };
            engines.push(EngineStandin::start(ANY_LOCAL_PORT, options).await.unwrap());
        }
        let http = ControlHttp::new(reqwest::Client::new(), Arc::default());
        let client = EngineClient::new(http.clone());
        Harness { log, engines, clock: Arc::new(ManualClock::new()), client, http }
    }

    /// A router that has folded `tickets` and knows of no other router.
    pub(crate) async fn router(&self, name: &str, tickets: &[Value]) -> TestRouter {
        let clock: SharedClock = Arc::clone(&self.clock) as SharedClock;
        let events = Arc::new(EventLog::new(name, Arc::clone(&clock), discard_logger()));
        let parts = PublisherParts {
            own: WireMember {
                name: name.to_owned(),
                incarnation: 1,
                status: MemberStatus::Alive,
                address: ANY_LOCAL_PORT,
                control: ANY_LOCAL_PORT,
                domain: String::new(),
            },
            cell: Arc::new(ViewCell::default()),
            events: Arc::clone(&events),
            clock: Arc::clone(&clock),
            marks: Arc::default(),
            crashes: Arc::new(CrashTable::new(Duration::from_secs(600))),
            budget: Arc::new(Budget::new(1 << 40, Arc::clone(&clock))),
            settings: StateSync::default(),
            seeds: Vec::new(),
        };
        let actor = Publisher::new(parts, Arc::default());
        let publisher = xtra::spawn_tokio(actor, Mailbox::unbounded());
        publisher.send(ListRead { instances: self.instances(None) }).await.unwrap();
        let dispatcher = OrderDispatcher::new(OrderParts {
            router: name.to_owned(),
            log: LogClient::new(self.http.clone(), self.log.addr()).with_timeout(CALL_TIMEOUT),
            engines: self.client.clone(),
            publisher: publisher.clone(),
            events: Arc::clone(&events),
            clock,
            settings: Orders::default(),
            sent: IntCounter::new("sent", "sent").unwrap(),
            refused: IntCounter::new("refused", "refused").unwrap(),
        });
        let router = TestRouter { events, publisher, dispatcher };
        router.fold(tickets).await;
        router
    }

    /// The instance list; `leaving` is the index of the engine that leaves.
    pub(crate) fn instances(&self, leaving: Option<usize>) -> Vec<Instance> {
        let instance = |(i, it): (usize, &EngineStandin)| Instance {
            name: format!("engine-{i}"),
            address: it.addr(),
            control: None,
            domain: format!("domain-{i}"),
            role: Role::Engine,
            pool: format!("pool-{i}"),
            standing: if leaving == Some(i) { InstanceState::Leaving } else { InstanceState::Live },
        };
        self.engines.iter().enumerate().map(instance).collect()
    }

    /// Lets `router` poll all engines and dispatch orders once.
    pub(crate) async fn poll(&self, router: &mut TestRouter) {
        for (i, it) in self.engines.iter().enumerate() {
            let report = self.current_report(it).await;
            let name = format!("engine-{i}");
            router.publisher.send(LoadReported { name, report }).await.unwrap();
        }
        let plan = router.publisher.send(OrderQuery).await.unwrap();
        router.dispatcher.poll(&plan).await;
    }

    /// The report of `it` once it reflects all orders.
    async fn current_report(&self, it: &EngineStandin) -> LoadReport {
        loop {
            let report = self.client.load(it.addr()).await.unwrap();
            let now = it.load();
            if report.fencing == now.fencing && report.loaded.len() == now.loaded.len() {
                return report;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Sends the order of a paused router: unload `version` from engine `i`; true when the
    /// engine accepts it.
    pub(crate) async fn send_late_unload(&self, i: usize, version: &str, fencing: u64) -> bool {
        let it = loaded_model(version);
        let what = filberttiller::wire::ModelRef {
            model: it.model,
            version: it.version,
            adapter: it.adapter,
        };
        let order = OrderRequest { fencing, order: WireOrder::Unload(what) };
        self.client.order(self.engines[i].addr(), &order).await.is_ok()
    }

    /// Records in the log that open and close claims.
    pub(crate) fn records(&self) -> Vec<Value> {
        self.log.page(ORDER_STREAM, 0).records.into_iter().map(|it| it.body).collect()
    }
}

impl TestRouter {
    /// Folds `tickets`, which begin with the first one of the log.
    pub(crate) async fn fold(&self, tickets: &[Value]) {
        let record = |(offset, it): (usize, &Value)| {
            let text = it.to_string();
            let ticket = Ok(parse_ticket(&text).unwrap().1);
            TicketRecord { offset: offset as u64, text, ticket }
        };
        let records = tickets.iter().enumerate().map(record).collect();
        self.publisher.send(RecordsRead { records }).await.unwrap();
    }

    /// Replaces the router's instance list.
    pub(crate) async fn set_list(&self, instances: Vec<Instance>) {
        self.publisher.send(ListRead { instances }).await.unwrap();
    }

    pub(crate) fn has_event(&self, code: Code) -> bool {
        self.events.since(0).iter().any(|it| it.code == code.number())
    }
}

fn loaded_model(version: &str) -> Loaded {
    Loaded { model: "assistant".to_owned(), version: version.to_owned(), adapter: String::new() }
}
