//! A fleet of routers and stand-ins on loopback.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use serde_json::{Value, json};
use standins::engine::{EngineStandin, Options};
use standins::list::{Entry, InstanceList, InstanceState, Role};
use standins::log::LogService;
use standins::service::ServiceStandin;
use tokio::time::{Instant, sleep};

use crate::clock::{SharedClock, SystemClock};
use crate::controllers::TICKET_STREAM;
use crate::daemon::Daemon;
use crate::demo::FleetOptions;
use crate::demo::fleet_options::LOOPBACK;
use crate::events::discard_logger;
use crate::settings::Settings;

/// Failure domains, assigned round robin.
const DOMAINS: [&str; 3] = ["luzon-a", "luzon-b", "luzon-c"];
/// Time between two polls of the routers.
const POLL_EVERY: Duration = Duration::from_millis(10);

/// Failure to start a part of the fleet or to publish a ticket.
#[derive(Debug)]
pub struct DemoError {
    what: String,
}

impl DemoError {
    pub(crate) fn new(what: impl Into<String>) -> DemoError {
        DemoError { what: what.into() }
    }
}

impl fmt::Display for DemoError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.what)
    }
}

impl std::error::Error for DemoError {}

/// A complete fleet on loopback.
#[derive(Debug)]
pub struct Fleet {
    /// The log service.
    pub log: LogService,
    /// The instance list.
    pub list: InstanceList,
    /// Engines of the pool `assistant-llm`.
    pub engines: Vec<EngineStandin>,
    /// Engines of the pool `canary-llm`.
    pub canaries: Vec<EngineStandin>,
    /// Instances of the pool `stockroom-app`.
    pub services: Vec<ServiceStandin>,
    /// Routers.
    pub routers: Vec<Daemon>,
    /// HTTP client of the callers.
    pub http: reqwest::Client,
    /// When the fleet was started.
    pub began: Instant,
    options: FleetOptions,
}

impl Fleet {
    /// Starts everything and waits until all routers know all backend servers and routers.
    ///
    /// # Errors
    /// Fails when an address cannot be bound.
    pub async fn start(options: FleetOptions) -> Result<Fleet, Report<DemoError>> {
        let failed = || DemoError::new("cannot start the stand-ins");
        let log = LogService::start(options.log, options.retention, options.append_rate)
            .await
            .change_context_lazy(failed)?;
        let list = InstanceList::start(options.list).await.change_context_lazy(failed)?;
        let http = reqwest::Client::builder().no_proxy().build().change_context_lazy(failed)?;
        let mut fleet = Fleet {
            engines: engines(&list, "assistant-llm", options.engines, &options.engine)
                .await
                .change_context_lazy(failed)?,
            canaries: engines(&list, "canary-llm", options.canaries, &options.engine)
                .await
                .change_context_lazy(failed)?,
            services: services(&list, &options).await.change_context_lazy(failed)?,
            routers: Vec::new(),
            log,
            list,
            http,
            began: Instant::now(),
            options,
        };
        for _ in 0..fleet.options.routers {
            fleet.add_router()?;
        }
        fleet.wait_until(|it| it.routers.iter().all(|r| it.is_known_by(r))).await;
        Ok(fleet)
    }

    /// Starts one more router.
    ///
    /// # Errors
    /// Fails when an address cannot be bound.
    pub fn add_router(&mut self) -> Result<(), Report<DemoError>> {
        self.add_router_with_clock(Arc::new(SystemClock))
    }

    /// Starts one more router that reads the time from `clock`.
    ///
    /// # Errors
    /// Fails when an address cannot be bound.
    pub fn add_router_with_clock(&mut self, clock: SharedClock) -> Result<(), Report<DemoError>> {
        let index = self.routers.len();
        let domain = DOMAINS[index % DOMAINS.len()];
        let settings = Settings {
            name: format!("entry-{index}"),
            domain: domain.to_owned(),
            log: self.log.addr(),
            list: self.list.addr(),
            ..self.options.settings.clone()
        };
        let router = Daemon::start(settings, clock, discard_logger())
            .change_context_lazy(|| DemoError::new(format!("cannot start router {index}")))?;
        let name = format!("entry-{index}");
        let it = entry(&name, router.address(), Role::Entry, "entry", domain);
        self.list.put(Entry { control: Some(router.control()), ..it });
        self.routers.push(router);
        Ok(())
    }

    /// Publishes the ticket that puts the model `assistant`, the service
    /// `stockroom` and the organisation `dalisay` in force.
    ///
    /// # Errors
    /// Fails when the log does not append it.
    pub async fn publish_first_ticket(&self) -> Result<Duration, Report<DemoError>> {
        self.publish(&json!({
            "version": 1, "number": 1, "author": "demo", "note": "first state",
            "objects": [
                { "kind": "model", "name": "assistant", "spec": { "pool": "assistant-llm" } },
                { "kind": "service", "name": "stockroom", "spec": {
                    "pool": "stockroom-app",
                    "once": ["/reservations"],
                    "checks_keys": self.options.checks_keys,
                } },
                { "kind": "organisation", "name": "dalisay", "spec": { "weight": 2.0 } },
            ],
        }))
        .await
    }

    /// Publishes the ticket that moves the model to the pool `canary-llm`.
    ///
    /// # Errors
    /// Fails when the log does not append it.
    pub async fn move_model(&self) -> Result<Duration, Report<DemoError>> {
        self.publish(&json!({
            "version": 1, "number": 2, "author": "demo", "note": "to the canary pool",
            "objects": [
                { "kind": "model", "name": "assistant", "spec": { "pool": "canary-llm" } },
            ],
        }))
        .await
    }

    /// Publishes a ticket and waits until it is in force on all routers; returns the time
    /// that took.
    ///
    /// # Errors
    /// Fails when the log does not append it.
    pub async fn publish(&self, ticket: &Value) -> Result<Duration, Report<DemoError>> {
        let url = format!("http://{}/streams/{TICKET_STREAM}/records", self.log.addr());
        let begin = Instant::now();
        let sent = self.http.post(url).json(ticket).send().await;
        sent.and_then(reqwest::Response::error_for_status)
            .change_context_lazy(|| DemoError::new("the log did not append the ticket"))?;
        let number = ticket["number"].as_u64().unwrap_or(0);
        self.wait_until(|it| it.routers.iter().all(|r| has_accepted(r, number))).await;
        Ok(begin.elapsed())
    }

    /// Names and control addresses of the routers.
    pub fn control(&self) -> Vec<(String, SocketAddr)> {
        let each = |it: &Daemon| (it.shared().settings.name.clone(), it.control());
        self.routers.iter().map(each).collect()
    }

    /// Token for control calls.
    pub fn token(&self) -> &str {
        &self.options.settings.token
    }

    /// Waits until `done` holds, without a time limit.
    pub async fn wait_until(&self, done: impl Fn(&Fleet) -> bool) {
        while !done(self) {
            sleep(POLL_EVERY).await;
        }
    }

    /// Whether `router` knows all backend servers and routers.
    fn is_known_by(&self, router: &Daemon) -> bool {
        let view = router.shared().view.peek();
        let known: usize = view.pools.values().map(|it| it.servers.len()).sum();
        let servers = self.engines.len() + self.canaries.len() + self.services.len();
        known == servers && view.routers.len() == self.routers.len()
    }
}

/// Whether `router` has accepted the ticket with `number`.
fn has_accepted(router: &Daemon, number: u64) -> bool {
    router.shared().view.peek().state.accepted.contains_key(&number)
}

async fn engines(
    list: &InstanceList,
    pool: &str,
    count: usize,
    options: &Options,
) -> io::Result<Vec<EngineStandin>> {
    let mut engines = Vec::new();
    for i in 0..count {
        let engine = EngineStandin::start(LOOPBACK, options.clone()).await?;
        let domain = DOMAINS[i % DOMAINS.len()];
        list.put(entry(&format!("{pool}-{i}"), engine.addr(), Role::Engine, pool, domain));
        engines.push(engine);
    }
    Ok(engines)
}

async fn services(list: &InstanceList, options: &FleetOptions) -> io::Result<Vec<ServiceStandin>> {
    let mut services = Vec::new();
    for i in 0..options.services {
        let service = ServiceStandin::start(LOOPBACK, options.checks_keys).await?;
        let domain = DOMAINS[i % DOMAINS.len()];
        let name = format!("stockroom-app-{i}");
        list.put(entry(&name, service.addr(), Role::Service, "stockroom-app", domain));
        services.push(service);
    }
    Ok(services)
}

fn entry(name: &str, address: SocketAddr, role: Role, pool: &str, domain: &str) -> Entry {
    Entry {
        name: name.to_owned(),
        address,
        control: None,
        domain: domain.to_owned(),
        role,
        pool: pool.to_owned(),
        standing: InstanceState::Live,
    }
}
