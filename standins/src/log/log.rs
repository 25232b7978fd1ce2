//! HTTP server of the log service.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};
use warp::Filter;
use warp::http::{Response, StatusCode};

use crate::log::stream::Stream;
use crate::log::{Faults, Page};
use crate::server::{Server, Switch, json_reply, not_found, status_reply};

/// Maximum time that a read waits for new records.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Maximum number of records in one answer.
const MAX_PAGE_RECORDS: usize = 1_000;
/// How long the caller of a lost reply is left waiting.
const LOST_REPLY_TIME: Duration = Duration::from_secs(3_600);

/// Query parameters of a read.
#[derive(Debug, Deserialize)]
struct ReadQuery {
    #[serde(default)]
    from: u64,
    #[serde(default)]
    wait_ms: u64,
}

#[derive(Debug)]
struct State {
    faults: Faults,
    streams: HashMap<String, Stream>,
    retention: Duration,
    /// Maximum number of appends per second.
    rate: u32,
    /// Start of the current second and the appends in it.
    window: (Instant, u32),
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    appended: Notify,
}

/// Log service on a loopback address.
#[derive(Debug)]
pub struct LogService {
    server: Server,
    shared: Arc<Shared>,
}

impl LogService {
    /// Starts a log that retains records for `retention` and accepts `rate` appends per second.
    ///
    /// # Errors
    /// Fails when the address cannot be bound.
    pub async fn start(addr: SocketAddr, retention: Duration, rate: u32) -> io::Result<LogService> {
        let state = State {
            faults: Faults::default(),
            streams: HashMap::new(),
            retention,
            rate,
            window: (Instant::now(), 0),
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), appended: Notify::new() });
        let it = Arc::clone(&shared);
        let append = warp::post()
            .and(warp::path!("streams" / String / "records"))
            .and(warp::body::json())
            .then(move |name: String, body: Value| append(Arc::clone(&it), name, body));
        let it = Arc::clone(&shared);
        let read = warp::get()
            .and(warp::path!("streams" / String / "records"))
            .and(warp::query())
            .then(move |name: String, query: ReadQuery| read(Arc::clone(&it), name, query));
        let it = Arc::clone(&shared);
        let faults = warp::post().and(warp::path!("faults")).and(warp::body::json()).map(
            move |faults: Faults| {
                it.state.lock().unwrap().faults = faults;
                json_reply(StatusCode::OK, &true)
            },
        );
        let routes = append.or(read).unify().or(faults).unify().recover(not_found).unify();
        let server = Server::start(addr, Arc::new(Switch::default()), routes).await?;
        Ok(LogService { server, shared })
    }

    /// Address on which the log listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.state.lock().unwrap().faults = faults;
    }

    /// Sets how long records are retained.
    pub fn set_retention(&self, retention: Duration) {
        self.shared.state.lock().unwrap().retention = retention;
    }

    /// Truncates `stream` so that its next offset is `next`.
    pub fn rewind(&self, stream: &str, next: u64) {
        let mut state = self.shared.state.lock().unwrap();
        if let Some(it) = state.streams.get_mut(stream) {
            it.rewind(next);
        }
    }

    /// Reads `stream` without HTTP.
    pub fn page(&self, stream: &str, from: u64) -> Page {
        let mut state = self.shared.state.lock().unwrap();
        page(&mut state, stream, from)
    }
}

/// Reads one page after removing expired records.
fn page(state: &mut State, name: &str, from: u64) -> Page {
    let retention = state.retention;
    let stream = state.streams.entry(name.to_owned()).or_default();
    stream.expire(Instant::now(), retention);
    stream.read(from, MAX_PAGE_RECORDS)
}

/// Counts one append against the rate; false once the current second has no capacity remaining.
fn within_rate(state: &mut State, now: Instant) -> bool {
    if now.duration_since(state.window.0) >= Duration::from_secs(1) {
        state.window = (now, 0);
    }
    state.window.1 += 1;
    state.window.1 <= state.rate
}

async fn append(shared: Arc<Shared>, name: String, body: Value) -> Response<Bytes> {
    let delay = shared.state.lock().unwrap().faults.delay_ms;
    sleep(Duration::from_millis(delay)).await;
    let (offset, lost) = {
        let mut state = shared.state.lock().unwrap();
        if state.faults.out || state.faults.appends_out {
            return status_reply(StatusCode::SERVICE_UNAVAILABLE, "log is out");
        }
        let now = Instant::now();
        if !within_rate(&mut state, now) {
            return status_reply(StatusCode::TOO_MANY_REQUESTS, "append rate exceeded");
        }
        let offset = state.streams.entry(name).or_default().append(now, body);
        let lost = state.faults.lost_replies > 0;
        state.faults.lost_replies = state.faults.lost_replies.saturating_sub(1);
        (offset, lost)
    };
    shared.appended.notify_waiters();
    if lost {
        sleep(LOST_REPLY_TIME).await;
    }
    json_reply(StatusCode::OK, &serde_json::json!({ "offset": offset }))
}

async fn read(shared: Arc<Shared>, name: String, query: ReadQuery) -> Response<Bytes> {
    let delay = shared.state.lock().unwrap().faults.delay_ms;
    sleep(Duration::from_millis(delay)).await;
    let wait = Duration::from_millis(query.wait_ms).min(MAX_WAIT);
    let deadline = Instant::now() + wait;
    loop {
        let appended = shared.appended.notified();
        tokio::pin!(appended);
        appended.as_mut().enable();
        let found = {
            let mut state = shared.state.lock().unwrap();
            if state.faults.out {
                return status_reply(StatusCode::SERVICE_UNAVAILABLE, "log is out");
            }
            page(&mut state, &name, query.from)
        };
        let remaining = deadline.saturating_duration_since(Instant::now());
        if !found.records.is_empty() || remaining.is_zero() || query.from > found.next {
            return json_reply(StatusCode::OK, &found);
        }
        let _ = timeout(remaining, appended).await;
    }
}
