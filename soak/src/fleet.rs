//! The fleet of one soak: metadata store, backend servers, links and routers.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use standins::Link;
use standins::platform::fixture::{rules, server_record, settings};
use standins::platform::{MetaStore, ServerStandin, StoreCopy, StoreView};

use crate::router_process::RouterProcess;
use crate::{Programs, Steps};

/// Number of backend servers that get faults; the others get none, so that callers can be
/// served.
pub const FAULTY_BACKENDS: usize = 3;

/// Largest fleet in which all routers read the store.
const MAX_LINKED_ROUTERS: usize = 4;

/// Time between two events of a stream, and before other answers.
const DELAY: Duration = Duration::from_millis(15);
/// The same where callers take streams up: streams last longer, so that more of them break off.
const LONG_DELAY: Duration = Duration::from_millis(60);

/// A backend server behind its link.
#[derive(Debug)]
pub struct Backend {
    pub server: ServerStandin,
    pub link: Link,
    /// Version of its software.
    pub version: &'static str,
    /// It drains, or says in its answers that it leaves.
    pub is_leaving: bool,
    /// When its record changed to draining.
    pub draining_since: Option<Instant>,
}

/// An API key of the organisation.
#[derive(Debug, Clone)]
pub struct Key {
    pub text: String,
    /// When the store acknowledged its revocation.
    pub revoked: Option<Instant>,
}

/// A graceful shutdown of a router that had no fault shortly before.
#[derive(Debug, Clone, Copy)]
pub struct Shutdown {
    /// Number of the router.
    pub router: usize,
    /// Address for callers.
    pub callers: SocketAddr,
    /// When SIGTERM was sent.
    pub at: Instant,
}

/// A simulated suspension of a router's machine.
#[derive(Debug, Clone, Copy)]
pub struct Suspension {
    /// Number of the router.
    pub router: usize,
    /// When its time since boot jumped ahead.
    pub at: Instant,
}

/// A time in which a router was cut off from all servers.
#[derive(Debug, Clone, Copy)]
pub struct RouterCut {
    /// Number of the router.
    pub router: usize,
    pub began: Instant,
    /// Absent while it lasts.
    pub ended: Option<Instant>,
}

/// State of the operator: configuration version and API keys.
#[derive(Debug)]
pub struct Operator {
    pub version: u64,
    pub keys: Vec<Key>,
    sequence: u64,
}

/// The links of one router to the backend servers. They lead to the links of the servers.
#[derive(Debug)]
pub struct RouterLinks {
    view: StoreView,
    pub links: Mutex<Vec<Link>>,
}

/// A running deployment.
#[derive(Debug)]
pub struct Fleet {
    pub store: MetaStore,
    /// One link to the store for each router.
    pub store_links: Vec<Link>,
    /// The store as each router sees it, with the router's links to the backend servers.
    pub router_links: Vec<RouterLinks>,
    pub backends: Mutex<Vec<Backend>>,
    pub routers: tokio::sync::Mutex<Vec<Option<RouterProcess>>>,
    pub operator: Mutex<Operator>,
    pub shutdowns: Mutex<Vec<Shutdown>>,
    pub suspensions: Mutex<Vec<Suspension>>,
    pub cuts: Mutex<Vec<RouterCut>>,
    /// Servers have one of two software versions, and callers take streams up.
    pub has_versions: bool,
    has_router_links: bool,
    /// Clock offsets of each router.
    clocks: Mutex<Vec<Steps>>,
    programs: Programs,
    /// Number of router processes that were started.
    starts: AtomicUsize,
    folder: PathBuf,
}

impl Fleet {
    /// Starts all processes; settings and logs are written to `folder`.
    ///
    /// # Errors
    /// Fails when a port cannot be bound or a router does not start.
    pub async fn start(
        programs: &Programs,
        folder: &Path,
        routers: usize,
        backends: usize,
        has_versions: bool,
        has_router_links: bool,
    ) -> io::Result<Fleet> {
        std::fs::create_dir_all(folder)?;
        let store = MetaStore::start().await?;
        let mut links = Vec::new();
        let mut router_links = Vec::new();
        for _ in 0..routers {
            let view = store.view().await?;
            links.push(Link::start(view.address()).await?);
            router_links.push(RouterLinks { view, links: Mutex::default() });
        }
        let keys = (0..4).map(|it| Key { text: format!("key-{it}"), revoked: None }).collect();
        let fleet = Fleet {
            store,
            store_links: links,
            router_links,
            backends: Mutex::default(),
            routers: tokio::sync::Mutex::new((0..routers).map(|_| None).collect()),
            operator: Mutex::new(Operator { version: 0, keys, sequence: 0 }),
            shutdowns: Mutex::default(),
            suspensions: Mutex::default(),
            cuts: Mutex::default(),
            has_versions,
            has_router_links,
            clocks: Mutex::new(vec![Steps::default(); routers]),
            programs: programs.clone(),
            starts: AtomicUsize::new(0),
            folder: folder.to_owned(),
        };
        fleet.put_rules();
        for _ in 0..backends {
            fleet.add_backend().await?;
        }
        for number in 0..routers {
            // Resets the file of an earlier run: otherwise the first step would set the time
            // since boot back.
            fleet.step_clock(number, |_| {})?;
            fleet.start_router(number).await?;
        }
        Ok(fleet)
    }

    /// Starts the process of router `number`.
    ///
    /// # Errors
    /// Fails when it does not start.
    pub async fn start_router(&self, number: usize) -> io::Result<()> {
        let path = self.settings_path(number);
        let text = settings(&format!("front-{number}"), self.store_links[number].address());
        std::fs::write(&path, text)?;
        let start = self.next_sequence();
        let log = self.folder.join(format!("front-{number}-{start}.log"));
        let program = self.programs.of_start(self.starts.fetch_add(1, Ordering::Relaxed));
        let process = RouterProcess::start(program, &path, log).await?;
        self.routers.lock().await[number] = Some(process);
        Ok(())
    }

    /// Whether each router has links of its own. Larger fleets take the addresses of servers from
    /// each other.
    pub fn has_cuts(&self) -> bool {
        self.has_router_links && self.router_links.len() <= MAX_LINKED_ROUTERS
    }

    fn settings_path(&self, number: usize) -> PathBuf {
        self.folder.join(format!("front-{number}.conf"))
    }

    /// Steps the clocks of router `number`; `change` edits the current offsets.
    ///
    /// # Errors
    /// Fails when the clock file cannot be written.
    pub fn step_clock(&self, number: usize, change: impl FnOnce(&mut Steps)) -> io::Result<()> {
        let mut clocks = self.clocks.lock().unwrap();
        change(&mut clocks[number]);
        clocks[number].write(&self.settings_path(number))
    }

    /// Starts one more backend server; software versions alternate, if there are two.
    ///
    /// # Errors
    /// Fails when no port can be bound.
    pub async fn add_backend(&self) -> io::Result<()> {
        let id = format!("i-{}", self.next_sequence());
        let server = ServerStandin::start(&id).await?;
        let number = self.backends.lock().unwrap().len();
        let version = if self.has_versions && number % 2 == 1 { "v2" } else { "v1" };
        if self.has_versions {
            server.set_version(version);
        }
        server.set_delay(if self.has_versions { LONG_DELAY } else { DELAY });
        let link = Link::start(server.address()).await?;
        for it in self.router_links.iter().filter(|_| self.has_cuts()) {
            let own = Link::start(link.address()).await?;
            it.view.set_server(server.id(), own.address());
            it.links.lock().unwrap().push(own);
        }
        let backend = Backend { server, link, version, is_leaving: false, draining_since: None };
        self.put_record(&backend, "ready");
        self.backends.lock().unwrap().push(backend);
        Ok(())
    }

    /// Writes the record of a backend server.
    pub fn put_record(&self, backend: &Backend, state: &str) {
        let sequence = self.next_sequence();
        let mut record = server_record(backend.link.address(), state, sequence);
        record["version"] = backend.version.into();
        self.store.put("keyed.servers", backend.server.id(), record.to_string().as_bytes());
    }

    /// Restores the store from `copy`; the operator and the backend servers write again what
    /// they had written since.
    pub fn restore(&self, copy: &StoreCopy) {
        let era = self.next_sequence();
        self.store.restore(copy, &era.to_string());
        self.put_rules();
        for it in self.backends.lock().unwrap().iter() {
            let state = if it.draining_since.is_some() { "draining" } else { "ready" };
            self.put_record(it, state);
        }
    }

    /// Writes the next version of the configuration.
    pub fn put_rules(&self) {
        let mut operator = self.operator.lock().unwrap();
        operator.version += 3;
        let valid = operator.keys.iter().filter(|it| it.revoked.is_none());
        let keys: Vec<String> = valid.map(|it| it.text.clone()).collect();
        let rules = rules(operator.version, &keys);
        self.store.put("keyed.op", "config", rules.to_string().as_bytes());
    }

    /// Revokes one key and issues a new one.
    pub fn revoke_key(&self, choice: usize) {
        let mut operator = self.operator.lock().unwrap();
        let number = operator.keys.len();
        let valid = operator.keys.iter_mut().filter(|it| it.revoked.is_none());
        let mut valid: Vec<&mut Key> = valid.collect();
        let choice = choice % valid.len();
        valid[choice].revoked = Some(Instant::now());
        operator.keys.push(Key { text: format!("key-{number}"), revoked: None });
        drop(operator);
        self.put_rules();
        // The limit counts from the store's acknowledgement.
        let mut operator = self.operator.lock().unwrap();
        let now = Instant::now();
        let revoked = operator.keys.iter_mut().filter_map(|it| it.revoked.as_mut());
        if let Some(last) = revoked.max() {
            *last = now;
        }
    }

    fn next_sequence(&self) -> u64 {
        let mut operator = self.operator.lock().unwrap();
        operator.sequence += 1;
        operator.sequence
    }
}
