//! Routers that give orders step by step, each with its own view, before
//! engines and a log that are real stand-ins.

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

const NOWHERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const CALL: Duration = Duration::from_millis(300);

/// A router that looks at its engines only when told.
pub(crate) struct Actor {
    pub(crate) events: Arc<EventLog>,
    publisher: Address<Publisher>,
    giver: OrderDispatcher,
}

/// A log, engines and a clock that stands still.
pub(crate) struct Harness {
    pub(crate) log: LogService,
    pub(crate) engines: Vec<EngineStandin>,
    pub(crate) clock: Arc<ManualClock>,
    client: EngineClient,
    http: ControlHttp,
}

impl Harness {
    /// Engines that hold `loaded`, each in a pool and a domain of its own.
    pub(crate) async fn start(loaded: &[&[&str]], checks_fencing: bool) -> Harness {
        let hour = Duration::from_secs(3_600);
        let log = LogService::start(NOWHERE, hour, 300).await.unwrap();
        let mut engines = Vec::new();
        for versions in loaded {
            let options = Options {
                load_lag: Duration::ZERO,
                checks_fencing,
                loaded: versions.iter().copied().map(held).collect(),
                ..Options::default()
            };
            engines.push(EngineStandin::start(NOWHERE, options).await.unwrap());
        }
        let http = ControlHttp::new(reqwest::Client::new(), Arc::default());
        let client = EngineClient::new(http.clone());
        Harness { log, engines, clock: Arc::new(ManualClock::new()), client, http }
    }

    /// A router that has folded `tickets` and knows no other router.
    pub(crate) async fn actor(&self, name: &str, tickets: &[Value]) -> Actor {
        let clock: SharedClock = Arc::clone(&self.clock) as SharedClock;
        let events = Arc::new(EventLog::new(name, Arc::clone(&clock), discard_logger()));
        let parts = PublisherParts {
            own: WireMember {
                name: name.to_owned(),
                incarnation: 1,
                status: MemberStatus::Alive,
                address: NOWHERE,
                control: NOWHERE,
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
        publisher.send(ListRead { instances: self.list(None) }).await.unwrap();
        let giver = OrderDispatcher::new(OrderParts {
            router: name.to_owned(),
            log: LogClient::new(self.http.clone(), self.log.addr()).with_timeout(CALL),
            engines: self.client.clone(),
            publisher: publisher.clone(),
            events: Arc::clone(&events),
            clock,
            settings: Orders::default(),
            sent: IntCounter::new("sent", "sent").unwrap(),
            refused: IntCounter::new("refused", "refused").unwrap(),
        });
        let actor = Actor { events, publisher, giver };
        actor.fold(tickets).await;
        actor
    }

    /// The list; `leaving` is the engine that leaves.
    pub(crate) fn list(&self, leaving: Option<usize>) -> Vec<Instance> {
        let line = |(i, it): (usize, &EngineStandin)| Instance {
            name: format!("engine-{i}"),
            address: it.addr(),
            control: None,
            domain: format!("domain-{i}"),
            role: Role::Engine,
            pool: format!("pool-{i}"),
            standing: if leaving == Some(i) { InstanceState::Leaving } else { InstanceState::Live },
        };
        self.engines.iter().enumerate().map(line).collect()
    }

    /// The router reads all engines and looks once at what is to be done.
    pub(crate) async fn poll(&self, actor: &mut Actor) {
        for (i, it) in self.engines.iter().enumerate() {
            let report = self.report(it).await;
            let name = format!("engine-{i}");
            actor.publisher.send(LoadReported { name, report }).await.unwrap();
        }
        let plan = actor.publisher.send(OrderQuery).await.unwrap();
        actor.giver.poll(&plan).await;
    }

    /// The report of `it` once it tells of all orders.
    async fn report(&self, it: &EngineStandin) -> LoadReport {
        loop {
            let report = self.client.load(it.addr()).await.unwrap();
            let now = it.load();
            if report.fencing == now.fencing && report.loaded.len() == now.loaded.len() {
                return report;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// What a paused router sends late: unload `version` from engine `i`.
    pub(crate) async fn send_late(&self, i: usize, version: &str, fencing: u64) -> bool {
        let it = held(version);
        let what = filberttiller::wire::Loaded {
            model: it.model,
            version: it.version,
            adapter: it.adapter,
        };
        let order = OrderRequest { fencing, order: WireOrder::Unload(what) };
        self.client.order(self.engines[i].addr(), &order).await.is_ok()
    }

    /// Claims and their ends in the log.
    pub(crate) fn records(&self) -> Vec<Value> {
        self.log.page(ORDER_STREAM, 0).records.into_iter().map(|it| it.body).collect()
    }
}

impl Actor {
    /// Folds `tickets`, all from the first one on.
    pub(crate) async fn fold(&self, tickets: &[Value]) {
        let record = |(offset, it): (usize, &Value)| {
            let text = it.to_string();
            let ticket = Ok(parse_ticket(&text).unwrap().1);
            TicketRecord { offset: offset as u64, text, ticket }
        };
        let records = tickets.iter().enumerate().map(record).collect();
        self.publisher.send(RecordsRead { records }).await.unwrap();
    }

    /// Replaces the router's list.
    pub(crate) async fn list(&self, instances: Vec<Instance>) {
        self.publisher.send(ListRead { instances }).await.unwrap();
    }

    pub(crate) fn saw(&self, code: Code) -> bool {
        self.events.since(0).iter().any(|it| it.code == code.number())
    }
}

fn held(version: &str) -> Loaded {
    Loaded { model: "assistant".to_owned(), version: version.to_owned(), adapter: String::new() }
}
