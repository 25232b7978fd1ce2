//! One incarnation of a backend server.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::decide::{
    LimitSenders, RequestTokens, Results, ServerPace, TokenLedger, combine, hash_bytes,
};
use crate::servers::result_window::ResultWindow;
use crate::servers::{
    ColdTerms, LimitChange, LimitStatement, RoomSignal, ServerRecord, ServerState, SoftwareVersion,
    StatedCondition,
};

/// Pause after the first failed connection.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Limit on the pause after failed connections.
const MAX_PAUSE: Duration = Duration::from_secs(2);

#[derive(Debug, Default)]
struct Reachability {
    /// Consecutive failures to reach it.
    failures: u32,
    /// Until then it gets no requests.
    paused_until: Option<Instant>,
}

/// How long a load reported by the server itself is used; reports of other routers
/// are about as old.
const REPORTED_LOAD_TIME: Duration = Duration::from_millis(700);

/// The load that a server reported itself.
#[derive(Debug, Clone, Copy)]
struct ReportedLoad {
    at: Instant,
    /// Requests of the other routers in it.
    others: u32,
}

/// The state of a backend server at this router. A restart creates a new value, so
/// that no state of the former incarnation is used for the next.
#[derive(Debug)]
pub struct Server {
    /// Its id.
    pub id: Arc<str>,
    /// Hash of its id, equal at all routers.
    pub hash: u64,
    /// Version of its software.
    pub software: SoftwareVersion,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Requests that run at once.
    pub slots: u32,
    /// When it started, in milliseconds since 1970.
    pub born: u64,
    /// Its record says that it leaves, or is gone.
    leaving: AtomicBool,
    gone: AtomicBool,
    /// Requests of this router in flight there.
    own: AtomicU32,
    /// Requests of the other routers in flight there, as they last reported.
    others: AtomicU32,
    /// The load that it last reported itself.
    reported_load: Mutex<Option<ReportedLoad>>,
    reachability: Mutex<Reachability>,
    /// Results at this router.
    window: Mutex<ResultWindow>,
    /// Results at the other routers, as they last reported.
    peer_results: Mutex<Results>,
    ejected: AtomicBool,
    /// Streams that callers may take up can begin at its software version.
    registered: AtomicBool,
    /// How long work takes there at present.
    pub pace: ServerPace,
    /// Tokens of the requests in flight there.
    pub tokens: TokenLedger,
    /// What it stated itself, shared with other values of the same incarnation.
    pub stated: Arc<StatedCondition>,
}

impl Server {
    /// A server with no requests in flight.
    pub fn new(id: &str, record: &ServerRecord) -> Server {
        Server {
            id: id.into(),
            hash: hash_bytes(id.as_bytes()),
            software: record.software.clone(),
            address: record.address,
            domain: record.domain.as_str().into(),
            slots: record.slots,
            born: record.born,
            leaving: AtomicBool::new(false),
            gone: AtomicBool::new(false),
            own: AtomicU32::new(0),
            others: AtomicU32::new(0),
            reported_load: Mutex::default(),
            reachability: Mutex::default(),
            window: Mutex::default(),
            peer_results: Mutex::default(),
            ejected: AtomicBool::new(false),
            registered: AtomicBool::new(false),
            pace: ServerPace::default(),
            tokens: TokenLedger::default(),
            stated: Arc::default(),
        }
    }

    /// This server with what its incarnation stated before its record changed.
    pub fn with_condition(self, stated: Arc<StatedCondition>) -> Server {
        Server { stated, ..self }
    }

    /// Whether `record` describes this server, unchanged except that it may be leaving.
    pub fn matches(&self, record: &ServerRecord) -> bool {
        let same = self.born == record.born
            && self.address == record.address
            && *self.domain == *record.domain
            && self.software == record.software;
        let is_ready_again =
            self.leaving.load(Ordering::Relaxed) && record.state == ServerState::Ready;
        same && self.slots == record.slots && !is_ready_again
    }

    /// Whether it may go on with a stream that the version with the key `software` began; any
    /// server may begin one.
    pub fn fits_software(&self, software: Option<u64>) -> bool {
        software.is_none_or(|it| it == self.software.key())
    }

    /// Whether its software version is registered in the platform's store, so that streams that
    /// callers may take up can begin at it.
    pub fn is_registered(&self) -> bool {
        self.registered.load(Ordering::Relaxed)
    }

    /// Sets whether its software version is registered.
    pub fn set_registered(&self, registered: bool) {
        self.registered.store(registered, Ordering::Relaxed);
    }

    /// Hash of this incarnation, equal at all routers.
    pub fn incarnation(&self) -> u64 {
        combine(self.hash, self.born)
    }

    /// Takes in what the server said of its limit; `senders` share it.
    pub fn state_limit(
        &self,
        statement: LimitStatement,
        senders: &LimitSenders,
        now: Instant,
    ) -> LimitChange {
        let mut limit = self.stated.limit.lock().unwrap();
        let former = limit.limit();
        let change = limit.update(statement, now);
        if limit.limit() != former {
            limit.set_senders(self.hash, senders);
        }
        change
    }

    /// Sets the routers that share its limit.
    pub fn set_limit_senders(&self, senders: &LimitSenders) {
        self.stated.limit.lock().unwrap().set_senders(self.hash, senders);
    }

    /// Notes that it stays cold for `time`.
    pub fn extend_cold(&self, time: Duration, now: Instant) {
        self.stated.cold.lock().unwrap().extend(time, now);
    }

    /// How much longer it is cold.
    pub fn cold_time(&self, now: Instant) -> Duration {
        self.stated.cold.lock().unwrap().remaining(now)
    }

    /// To be called when other routers than before share what cold servers take.
    pub fn forget_cold_share(&self) {
        self.stated.cold.lock().unwrap().forget_share();
    }

    /// Requests a second that this router may send to it while it is cold; absent where nothing
    /// limits them.
    pub fn cold_share(&self, terms: &ColdTerms, now: Instant) -> Option<f64> {
        self.stated.cold.lock().unwrap().share(self.hash, terms, now)
    }

    /// Counts a request against this router's share of what it takes while it is cold; false if
    /// that is spent.
    pub fn take_cold_allowance(&self, terms: &ColdTerms, now: Instant) -> bool {
        self.stated.cold.lock().unwrap().take(self.hash, terms, now)
    }

    /// What it last said of its limit, if it ever named one, and whether other routers are
    /// told at once.
    pub fn limit_statement(&self, now: Instant) -> Option<(LimitStatement, bool)> {
        let limit = self.stated.limit.lock().unwrap();
        Some((limit.statement()?, limit.is_news(now)))
    }

    /// Whether this router may send a request within its shares of the limit and of what a cold
    /// server takes, and the server has not asked for time, as far as is known.
    pub fn has_allowance(&self, terms: &ColdTerms, now: Instant) -> bool {
        let takes_work = !self.is_unconfirmed() && !self.stated.backoff.holds(now);
        takes_work
            && self.stated.limit.lock().unwrap().has_allowance(now)
            && self.stated.cold.lock().unwrap().has_allowance(self.hash, terms, now)
    }

    /// Whether it is unclear which incarnation stated that it leaves or wants time.
    pub fn is_unconfirmed(&self) -> bool {
        self.stated.is_unconfirmed()
    }

    /// Marks that it has answered a health check, so that what it states is known.
    pub fn confirm(&self) {
        self.stated.unconfirmed.store(false, Ordering::Relaxed);
    }

    /// Counts a request against this router's shares; false if one is spent.
    pub fn take_allowance(&self, terms: &ColdTerms, now: Instant) -> bool {
        self.stated.limit.lock().unwrap().take(now) && self.take_cold_allowance(terms, now)
    }

    /// Whether it takes no new work, by its record or by what it said itself.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed) || self.stated.leaving.load(Ordering::Relaxed)
    }

    /// Marks that its record says that it takes no new work.
    pub fn mark_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Marks that it said that it leaves; false if it is marked already.
    pub fn mark_stated_leaving(&self) -> bool {
        !self.stated.leaving.swap(true, Ordering::Relaxed)
    }

    /// Whether its process has likely ended.
    pub fn is_gone(&self) -> bool {
        self.gone.load(Ordering::Relaxed)
    }

    /// Marks that its record is gone: it takes no new work and hands over no prefix.
    pub fn mark_gone(&self) {
        self.mark_leaving();
        self.gone.store(true, Ordering::Relaxed);
    }

    /// Requests of this router in flight at the server.
    pub fn own(&self) -> u32 {
        self.own.load(Ordering::Relaxed)
    }

    /// Requests of all routers in flight at the server, as far as known: from its own
    /// recent report, or else from the reports of the other routers.
    pub fn load(&self, now: Instant) -> u32 {
        let reported = *self.reported_load.lock().unwrap();
        let recent =
            reported.filter(|it| now.saturating_duration_since(it.at) < REPORTED_LOAD_TIME);
        let others = recent.map_or_else(|| self.others.load(Ordering::Relaxed), |it| it.others);
        self.own() + others
    }

    /// Records that the server reported `total` requests with an answer.
    pub fn set_reported_load(&self, total: u32, now: Instant) {
        let others = total.saturating_sub(self.own());
        *self.reported_load.lock().unwrap() = Some(ReportedLoad { at: now, others });
    }

    /// Sets the requests of the other routers in flight at the server, and their results.
    pub fn set_reported_by_peers(&self, count: u32, results: Results) {
        self.others.store(count, Ordering::Relaxed);
        *self.peer_results.lock().unwrap() = results;
    }

    /// Records the result of a request.
    pub fn record_result(&self, good: bool, now: Instant) {
        self.window.lock().unwrap().add(good, now);
    }

    /// Results at this router.
    pub fn local_results(&self, now: Instant) -> Results {
        self.window.lock().unwrap().results(now)
    }

    /// Results at all routers, as far as known.
    pub fn results(&self, now: Instant) -> Results {
        self.local_results(now).and(*self.peer_results.lock().unwrap())
    }

    /// Whether it is ejected: it gets no requests, as it fails too many.
    pub fn is_ejected(&self) -> bool {
        self.ejected.load(Ordering::Relaxed)
    }

    /// Sets whether it is ejected.
    pub fn set_ejected(&self, ejected: bool) {
        self.ejected.store(ejected, Ordering::Relaxed);
    }

    /// Counts a request of `tokens` as in flight until the returned value is dropped.
    pub fn begin_request(self: &Arc<Server>, tokens: RequestTokens) -> InFlight {
        self.own.fetch_add(1, Ordering::Relaxed);
        self.tokens.begin(&tokens);
        InFlight { server: Arc::clone(self), unread: tokens.unread, tokens, room: None }
    }

    /// Whether requests may be sent to it now, judged by connections alone.
    pub fn is_reachable(&self, now: Instant) -> bool {
        self.reachability.lock().unwrap().paused_until.is_none_or(|until| now >= until)
    }

    /// Records that it was reached by a connection or an answer; true when the last
    /// attempt had failed to reach it.
    pub fn record_reached(&self) -> bool {
        let previous = std::mem::take(&mut *self.reachability.lock().unwrap());
        previous.failures > 0
    }

    /// Records that it could not be reached, and pauses requests to it, each time for
    /// longer. Returns the pause; `None` if it is paused already, as many requests may
    /// fail at the same moment.
    pub fn record_unreached(&self, now: Instant) -> Option<Duration> {
        let mut state = self.reachability.lock().unwrap();
        if state.paused_until.is_some_and(|until| now < until) {
            return None;
        }
        let pause = FIRST_PAUSE * 2u32.saturating_pow(state.failures.min(8));
        let pause = pause.min(MAX_PAUSE);
        state.failures += 1;
        state.paused_until = Some(now + pause);
        Some(pause)
    }
}

/// A request in flight at a backend server; dropping it ends the count.
#[derive(Debug)]
pub struct InFlight {
    server: Arc<Server>,
    tokens: RequestTokens,
    /// What counts as unread of its prompt.
    unread: u64,
    /// Sent once it ends.
    room: Option<RoomSignal>,
}

impl InFlight {
    /// The same request, whose end wakes those that wait for room.
    pub fn with_signal(mut self, room: RoomSignal) -> InFlight {
        self.room = Some(room);
        self
    }

    /// The server that it was sent to.
    pub fn server(&self) -> &Arc<Server> {
        &self.server
    }

    /// Tokens of the request.
    pub fn tokens(&self) -> &RequestTokens {
        &self.tokens
    }

    /// Counts its prompt as read, once its answer has begun.
    pub fn end_reading(&mut self, now: Instant) {
        self.server.tokens.end_reading(&self.tokens, now);
        self.unread = 0;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.server.own.fetch_sub(1, Ordering::Relaxed);
        self.server.tokens.end(&self.tokens, self.unread);
        if let Some(room) = &self.room {
            room.send();
        }
    }
}
