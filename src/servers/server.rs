//! One incarnation of a backend server.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::decide::{Results, hash_bytes};
use crate::servers::result_window::ResultWindow;
use crate::servers::{ServerRecord, ServerState};

/// Pause after the first failed connection.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after failed connections.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

#[derive(Debug, Default)]
struct Reach {
    /// Failures in a row.
    failures: u32,
    /// No request until then.
    until: Option<Instant>,
}

/// How long what a server told of its own load is used; about as old is what other
/// routers tell.
const SEEN_TIME: Duration = Duration::from_millis(700);

/// What a server told of its own load.
#[derive(Debug, Clone, Copy)]
struct Seen {
    at: Instant,
    /// Requests of the other routers among it.
    others: u32,
}

/// A backend server as this router knows it. A restart makes a new value, so
/// that nothing learnt of the former incarnation is used for the next.
#[derive(Debug)]
pub struct Server {
    /// Its id.
    pub id: Arc<str>,
    /// Hash of its id; the same at all routers.
    pub hash: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests that run at once.
    pub slots: u32,
    /// When it started, in milliseconds since 1970.
    pub born: u64,
    leaving: AtomicBool,
    gone: AtomicBool,
    /// Requests of this router that it holds.
    own: AtomicU32,
    /// Requests of the other routers, as they told last.
    others: AtomicU32,
    /// What it told itself last.
    seen: Mutex<Option<Seen>>,
    reach: Mutex<Reach>,
    /// Results at this router.
    window: Mutex<ResultWindow>,
    /// Results at the other routers, as they told last.
    told: Mutex<Results>,
    ejected: AtomicBool,
}

impl Server {
    /// A server with nothing in flight.
    pub fn new(id: &str, record: &ServerRecord) -> Server {
        Server {
            id: id.into(),
            hash: hash_bytes(id.as_bytes()),
            address: record.address,
            slots: record.slots,
            born: record.born,
            leaving: AtomicBool::new(false),
            gone: AtomicBool::new(false),
            own: AtomicU32::new(0),
            others: AtomicU32::new(0),
            seen: Mutex::default(),
            reach: Mutex::default(),
            window: Mutex::default(),
            told: Mutex::default(),
            ejected: AtomicBool::new(false),
        }
    }

    /// Whether `record` tells of this server, unchanged but for its leaving.
    pub fn matches(&self, record: &ServerRecord) -> bool {
        let same = self.born == record.born && self.address == record.address;
        let returned = self.is_leaving() && record.state == ServerState::Ready;
        same && self.slots == record.slots && !returned
    }

    /// Whether it takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// It takes no new work from now on.
    pub fn mark_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether its process has likely ended.
    pub fn is_gone(&self) -> bool {
        self.gone.load(Ordering::Relaxed)
    }

    /// Its record is gone: it takes no new work and hands nothing over.
    pub fn mark_gone(&self) {
        self.mark_leaving();
        self.gone.store(true, Ordering::Relaxed);
    }

    /// Requests of this router that it holds.
    pub fn own(&self) -> u32 {
        self.own.load(Ordering::Relaxed)
    }

    /// Requests of all routers that it holds, as far as known: what it told itself
    /// lately, else what the other routers told.
    pub fn load(&self, now: Instant) -> u32 {
        let seen = *self.seen.lock().unwrap();
        let fresh = seen.filter(|it| now.saturating_duration_since(it.at) < SEEN_TIME);
        let others = fresh.map_or_else(|| self.others.load(Ordering::Relaxed), |it| it.others);
        self.own() + others
    }

    /// It said with an answer that it holds `total` requests.
    pub fn set_reported_load(&self, total: u32, now: Instant) {
        let others = total.saturating_sub(self.own());
        *self.seen.lock().unwrap() = Some(Seen { at: now, others });
    }

    /// What the other routers have there, and how it went.
    pub fn set_reported_by_peers(&self, count: u32, results: Results) {
        self.others.store(count, Ordering::Relaxed);
        *self.told.lock().unwrap() = results;
    }

    /// Counts the result of a request.
    pub fn record_result(&self, good: bool, now: Instant) {
        self.window.lock().unwrap().add(good, now);
    }

    /// Results at this router.
    pub fn local_results(&self, now: Instant) -> Results {
        self.window.lock().unwrap().results(now)
    }

    /// Results at all routers, as far as known.
    pub fn results(&self, now: Instant) -> Results {
        self.local_results(now).and(*self.told.lock().unwrap())
    }

    /// Whether it gets no requests as it fails too many.
    pub fn is_ejected(&self) -> bool {
        self.ejected.load(Ordering::Relaxed)
    }

    /// Sets whether it gets no requests as it fails too many.
    pub fn set_ejected(&self, ejected: bool) {
        self.ejected.store(ejected, Ordering::Relaxed);
    }

    /// Counts a request for as long as the value lives.
    pub fn begin_request(self: &Arc<Server>) -> InFlight {
        self.own.fetch_add(1, Ordering::Relaxed);
        InFlight { server: Arc::clone(self) }
    }

    /// Whether requests may be sent to it now, as far as connections tell.
    pub fn is_reachable(&self, now: Instant) -> bool {
        self.reach.lock().unwrap().until.is_none_or(|until| now >= until)
    }

    /// A connection or an answer came about; true when that was not so before.
    pub fn record_reached(&self) -> bool {
        let former = std::mem::take(&mut *self.reach.lock().unwrap());
        former.failures > 0
    }

    /// It could not be reached: no request for a while, longer each time. Returns how long;
    /// none while it is left alone already, as many requests may fail at one moment.
    pub fn record_unreached(&self, now: Instant) -> Option<Duration> {
        let mut reach = self.reach.lock().unwrap();
        if reach.until.is_some_and(|until| now < until) {
            return None;
        }
        let pause = FIRST_PAUSE * 2u32.saturating_pow(reach.failures.min(8));
        let pause = pause.min(LONGEST_PAUSE);
        reach.failures += 1;
        reach.until = Some(now + pause);
        Some(pause)
    }
}

/// A request at a backend server; leaving the scope ends it.
#[derive(Debug)]
pub struct InFlight {
    server: Arc<Server>,
}

impl InFlight {
    /// The server that holds it.
    pub fn server(&self) -> &Arc<Server> {
        &self.server
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.server.own.fetch_sub(1, Ordering::Relaxed);
    }
}
