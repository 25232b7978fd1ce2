//! All clients of a process, and the limits on what it holds for them.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use prometheus::{IntCounterVec, Opts, Registry};
use slog::{Logger, warn};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::clock::SharedClock;
use crate::decide::{ClientState, Scarcity, client_to_close, is_over_share};
use crate::events::Code;
use crate::intake::{Client, IntakeLimits, Listener, MemoryBudget, OpenClient, Reservation};

/// Longest wait of a new connection for another one to close.
const OPEN_TIME: Duration = Duration::from_millis(1_500);
/// Pause after which it is looked again for a connection to close.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two log lines of the same kind.
const LINE_INTERVAL: Duration = Duration::from_secs(10);

/// Open connections.
#[derive(Debug, Default)]
struct Clients {
    all: HashMap<u64, Arc<Client>>,
    by_listener: HashMap<Listener, usize>,
    next: u64,
}

/// When the last log line of each kind was written.
#[derive(Debug, Default)]
struct Lines(HashMap<Code, Instant>);

/// All clients of a process.
#[derive(Debug)]
pub struct Intake {
    limits: IntakeLimits,
    callers: Arc<MemoryBudget>,
    control: Arc<MemoryBudget>,
    clients: Mutex<Clients>,
    /// Notified when a connection is closed.
    removed: Notify,
    clock: SharedClock,
    logger: Logger,
    lines: Mutex<Lines>,
    closed: IntCounterVec,
}

impl Intake {
    /// An intake without clients, with its metrics in `registry`.
    ///
    /// # Errors
    /// Fails when a metric of the same name is registered already.
    pub fn new(
        limits: IntakeLimits,
        clock: SharedClock,
        logger: Logger,
        registry: &Registry,
    ) -> Result<Intake, prometheus::Error> {
        let help = "Connections closed or not accepted, and requests refused, for lack of room";
        let opts = Opts::new("filberttiller_intake_closed_total", help);
        let closed = IntCounterVec::new(opts, &["reason"])?;
        registry.register(Box::new(closed.clone()))?;
        Ok(Intake {
            limits,
            callers: Arc::new(MemoryBudget::new(limits.callers_bytes)),
            control: Arc::new(MemoryBudget::new(limits.control_bytes)),
            clients: Mutex::default(),
            removed: Notify::new(),
            clock,
            logger,
            lines: Mutex::default(),
            closed,
        })
    }

    /// The budget for requests of `listener`.
    pub fn budget(&self, listener: Listener) -> &Arc<MemoryBudget> {
        match listener {
            Listener::Callers => &self.callers,
            _ => &self.control,
        }
    }

    /// Counts a new connection; `None` if there is no room and no other connection can be closed
    /// for it.
    pub async fn open(self: &Arc<Self>, listener: Listener, address: IpAddr) -> Option<OpenClient> {
        let until = self.clock.now() + OPEN_TIME;
        loop {
            if let Some(open) = self.try_open(listener, address) {
                return Some(open);
            }
            let now = self.clock.now();
            let is_full = self.is_full(listener);
            let may_close =
                |it: &Client| it.listener == listener && (is_full || it.address() == address);
            self.close_one(Scarcity::Connections, may_close, now);
            if now >= until {
                self.note(Code::ConnectionRefused, "connection_refused", now);
                return None;
            }
            // Another connection may become old enough to be closed meanwhile.
            let _ = timeout(LOOK_INTERVAL, self.removed.notified()).await;
        }
    }

    /// Whether `listener` has as many connections as it may have; else an address has its share.
    fn is_full(&self, listener: Listener) -> bool {
        let clients = self.clients.lock().unwrap();
        clients.by_listener.get(&listener).copied().unwrap_or(0)
            >= self.limits.connections(listener)
    }

    /// Counts a new connection; `None` if there is no room for it at once.
    pub fn try_open(self: &Arc<Self>, listener: Listener, address: IpAddr) -> Option<OpenClient> {
        let mut clients = self.clients.lock().unwrap();
        let limit = self.limits.connections(listener);
        let count = clients.by_listener.get(&listener).copied().unwrap_or(0);
        let is_same = |it: &&Arc<Client>| it.listener == listener && it.address() == address;
        let is_over = |own| is_over_share(own, count, limit);
        if count >= limit || is_over(limit) && is_over(clients.all.values().filter(is_same).count())
        {
            return None;
        }
        clients.by_listener.insert(listener, count + 1);
        let number = clients.next;
        clients.next += 1;
        let client = Arc::new(Client::new(self, listener, address, self.clock.now()));
        clients.all.insert(number, Arc::clone(&client));
        Some(OpenClient { client, number })
    }

    /// Notes that a connection was closed, as too many wait for room already.
    pub fn note_refused(&self) {
        self.note(Code::ConnectionRefused, "connection_refused", self.clock.now());
    }

    pub(crate) fn remove(&self, number: u64) {
        let mut clients = self.clients.lock().unwrap();
        let Some(client) = clients.all.remove(&number) else { return };
        if let Some(count) = clients.by_listener.get_mut(&client.listener) {
            *count -= 1;
        }
        drop(clients);
        self.removed.notify_one();
    }

    /// Reserves bytes for `client` by `until`, and closes the connections of others for them
    /// where that is right. `None` if there is no room.
    pub async fn reserve(
        &self,
        client: &Client,
        budget: &Arc<MemoryBudget>,
        bytes: usize,
        until: Instant,
    ) -> Option<Reservation> {
        loop {
            let is_share_spent = self.is_share_spent(client, budget);
            if !is_share_spent && let Some(reservation) = budget.reserve(bytes) {
                return Some(reservation);
            }
            let now = self.clock.now();
            let may_close = |it: &Client| {
                let is_other = !std::ptr::eq(it, client) && Arc::ptr_eq(it.budget(), budget);
                is_other && (!is_share_spent || it.address() == client.address())
            };
            self.close_one(Scarcity::Memory, may_close, now);
            if now >= until {
                self.note(Code::MemoryShort, "memory_short", now);
                return None;
            }
            let pause = LOOK_INTERVAL.min(until.saturating_duration_since(now));
            let _ = timeout(pause, budget.until_released()).await;
        }
    }

    /// Whether the address of `client` holds its share of `budget`.
    fn is_share_spent(&self, client: &Client, budget: &Arc<MemoryBudget>) -> bool {
        let (used, limit) = (budget.used(), budget.limit());
        // Most of the time this alone tells it, without a look at all clients.
        if !is_over_share(limit, used, limit) {
            return false;
        }
        let clients = self.clients.lock().unwrap();
        let same = clients.all.values().filter(|it| it.address() == client.address());
        is_over_share(same.map(|it| it.held()).sum(), used, limit)
    }

    /// Closes one connection for which `is_right` holds, if one may be closed and none is about to.
    fn close_one(&self, scarcity: Scarcity, is_right: impl Fn(&Client) -> bool, now: Instant) {
        let clients = self.clients.lock().unwrap();
        let candidates: Vec<&Arc<Client>> =
            clients.all.values().filter(|it| is_right(it)).collect();
        if candidates.iter().any(|it| it.is_closed()) {
            return;
        }
        let states: Vec<ClientState> = candidates.iter().map(|it| it.state(now)).collect();
        let Some(place) = client_to_close(&states, scarcity, now) else { return };
        candidates[place].close();
        drop(clients);
        self.note(Code::ClientClosed, "client_closed", now);
    }

    fn note(&self, code: Code, reason: &str, now: Instant) {
        self.closed.with_label_values(&[reason]).inc();
        let mut lines = self.lines.lock().unwrap();
        let last = lines.0.get(&code);
        if last.is_some_and(|it| now.saturating_duration_since(*it) < LINE_INTERVAL) {
            return;
        }
        lines.0.insert(code, now);
        drop(lines);
        let count = self.closed.with_label_values(&[reason]).get();
        warn!(self.logger, "{}", code.text(); "event" => code.number(), "count" => count,
            "callers_bytes" => self.callers.used(), "control_bytes" => self.control.used());
    }
}
