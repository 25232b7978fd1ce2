//! A running instance, and its start and shutdown.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use slog::Logger;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;

use crate::admission::AdmissionControl;
use crate::clock::SharedClock;
use crate::daemon::control_thread::ControlThread;
use crate::daemon::{Stop, Stopped, serve};
use crate::decide::{ChatTable, QueueLimits, hash_bytes};
use crate::events::{Code, EventLog, Fields};
use crate::filters::{Counters, Shared, Upstream, caller_api, client_builder};
use crate::fleet::{Budget, CrashTable, ViewCell};
use crate::keys::KeyRing;
use crate::once::OnceCoordinator;
use crate::settings::Settings;

/// Name of the threads that serve callers.
pub(crate) const TRAFFIC_THREAD: &str = "traffic";
/// The time until all routers know of a leaving router is taken as the time for which
/// callers cache the address, divided by this number.
const SPREAD_DIVISOR: u32 = 5;

/// Why an instance cannot start.
#[derive(Debug)]
pub enum DaemonError {
    /// An address cannot be bound.
    Bind(SocketAddr),
    /// Threads, clients or counters cannot be created.
    SetUp,
}

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DaemonError::Bind(addr) => write!(f, "cannot listen on {addr}"),
            DaemonError::SetUp => f.write_str("cannot create threads, HTTP clients or counters"),
        }
    }
}

impl std::error::Error for DaemonError {}

/// A running instance.
#[derive(Debug)]
pub struct Daemon {
    address: SocketAddr,
    control: SocketAddr,
    shared: Arc<Shared>,
    stop: watch::Sender<Stop>,
    done: Option<oneshot::Receiver<Stopped>>,
    traffic: Option<Runtime>,
    thread: Option<JoinHandle<()>>,
}

impl Daemon {
    /// Starts an instance; it stops when dropped.
    ///
    /// # Errors
    /// Fails when an address cannot be bound or threads cannot be started.
    pub fn start(
        settings: Settings,
        clock: SharedClock,
        logger: Logger,
    ) -> Result<Daemon, Report<DaemonError>> {
        let events = EventLog::new(&settings.name, Arc::clone(&clock), logger);
        let events = Arc::new(events.with_ring(settings.events.ring));
        let http = client_builder(&settings.traffic).build().change_context(DaemonError::SetUp)?;
        let router = hash_bytes(settings.name.as_bytes());
        let shared = Arc::new(Shared {
            view: Arc::new(ViewCell::default()),
            events,
            // Traffic of control calls in bytes.
            meter: Arc::default(),
            // Marks of backend servers that are leaving.
            marks: Arc::default(),
            // Byte budget of control calls.
            budget: Arc::new(Budget::new(settings.state_sync.budget.as_u64(), Arc::clone(&clock))),
            crashes: Arc::new(CrashTable::new(settings.crashes.release)),
            upstream: Upstream::new(&settings.traffic).change_context(DaemonError::SetUp)?,
            chats: ChatTable::new(settings.routing.chats),
            admission: AdmissionControl::new(QueueLimits::from(&settings.admission)),
            counters: Counters::new().change_context(DaemonError::SetUp)?,
            keys: KeyRing::new(&settings.keys, &settings.token),
            once: Arc::new(OnceCoordinator::new(router, &settings.once, &clock)),
            clock,
            http,
            settings,
        });
        let traffic = Builder::new_multi_thread()
            .worker_threads(shared.settings.traffic.threads)
            .thread_name(TRAFFIC_THREAD)
            .enable_all()
            .build()
            .change_context(DaemonError::SetUp)?;
        let listener = listen(shared.settings.listen)?;
        let address = listener.local_addr().change_context(DaemonError::SetUp)?;
        let (stop, stop_signal) = watch::channel(Stop::Run);
        let control = ControlThread::start(&shared, address, stop_signal.clone())?;
        let (finished, done) = oneshot::channel();
        let it = Arc::clone(&shared);
        // Stop signal for the traffic threads; a drain reaches them only after `drain_grace`.
        let drained = control.drained;
        traffic.spawn(async move {
            let stopped = serve_callers(&it, listener, drained).await;
            let _ = finished.send(stopped);
        });
        let detail = format!("callers {address}, control {}", control.address);
        let fields = Fields { subject: &shared.settings.name, detail: &detail };
        shared.events.record(Code::Started, fields);
        Ok(Daemon {
            address,
            control: control.address,
            shared,
            stop,
            done: Some(done),
            traffic: Some(traffic),
            thread: Some(control.thread),
        })
    }

    /// Address for callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address for operators and peers.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// State that all requests share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Signals the instance to stop as `how` says.
    pub fn stop(&self, how: Stop) {
        self.stop.send_replace(how);
    }

    /// A sender of stop signals, which can also end a drain early.
    pub fn stop_sender(&self) -> watch::Sender<Stop> {
        self.stop.clone()
    }

    /// Drains for at most `traffic.drain` of the settings, then closes the remaining
    /// connections.
    pub async fn drain(&mut self) -> Stopped {
        let subject = self.shared.settings.name.clone();
        let record = |code, detail: &str| {
            self.shared.events.record(code, Fields { subject: &subject, detail })
        };
        record(Code::ShutdownBegun, "");
        self.stop(Stop::Drain);
        let limit = self.shared.settings.traffic.drain;
        let Some(mut done) = self.done.take() else {
            return Stopped { cut: 0 };
        };
        let stopped = match timeout(limit, &mut done).await {
            Ok(stopped) => stopped.unwrap_or(Stopped { cut: 0 }),
            Err(_) => {
                self.stop(Stop::Cut);
                done.await.unwrap_or(Stopped { cut: 0 })
            }
        };
        match stopped.cut {
            0 => record(Code::ShutdownDone, ""),
            cut => record(Code::ShutdownCut, &format!("{cut} connections")),
        }
        stopped
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.stop.send_replace(Stop::Cut);
        if let Some(traffic) = self.traffic.take() {
            traffic.shutdown_background();
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Binds a non-blocking listener. It is not tied to a runtime until it becomes a tokio
/// listener.
pub(crate) fn listen(addr: SocketAddr) -> Result<std::net::TcpListener, Report<DaemonError>> {
    let bound = std::net::TcpListener::bind(addr).change_context(DaemonError::Bind(addr))?;
    bound.set_nonblocking(true).change_context(DaemonError::Bind(addr))?;
    Ok(bound)
}

/// Serves callers until the stop signal.
async fn serve_callers(
    shared: &Arc<Shared>,
    listener: std::net::TcpListener,
    stop: watch::Receiver<Stop>,
) -> Stopped {
    match TcpListener::from_std(listener) {
        Ok(listener) => serve(listener, caller_api(shared), &shared.settings.limits, stop).await,
        Err(_) => Stopped { cut: 0 },
    }
}

/// How long new callers may still arrive after this instance began to leave: the time
/// until all routers know of it plus the time for which callers cache the address, but at
/// most half of the drain time.
pub(crate) fn drain_grace(settings: &Settings) -> Duration {
    let ttl = settings.traffic.entry_ttl;
    (ttl + ttl / SPREAD_DIVISOR).min(settings.traffic.drain / 2)
}
