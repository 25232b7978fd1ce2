//! The platform's metadata store: one log per topic, and the newest record of each key.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Deserialize;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use warp::Filter;
use warp::http::{HeaderValue, Response, StatusCode};

use crate::platform::StoreView;
use crate::platform::store_view::Addresses;
use crate::server::{Server, Switch, json_reply, not_found, status_reply};

/// Delay of an answer that never comes; longer than any caller's timeout.
const HANG_TIME: Duration = Duration::from_secs(3_600);
/// Maximum number of entries in one page.
const MAX_PAGE_ENTRIES: usize = 500;

/// Fault of the store; it applies to every call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    None,
    /// Refuses calls with this status.
    Refuse(u16),
    /// Never answers.
    Silent,
    /// Answers after this delay.
    Slow(Duration),
    /// Executes calls and never answers.
    LoseAnswer,
}

#[derive(Debug, Default, Clone)]
struct Topic {
    /// Offset of the first retained record.
    first: u64,
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (Vec<u8>, u64)>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn append(&mut self, record: Vec<u8>) {
        let (length, rest) = record.split_first().expect("a record has a key");
        let (key, value) = rest.split_at(usize::from(*length));
        let key = String::from_utf8_lossy(key).into_owned();
        if value.is_empty() {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key, (value.to_vec(), self.end()));
        }
        self.records.push(record);
    }
}

#[derive(Debug)]
struct Shared {
    topics: Mutex<HashMap<String, Topic>>,
    fault: Mutex<StoreFault>,
    written: Notify,
    calls: AtomicU64,
    /// What all answers say of the store's restorations.
    era: Mutex<String>,
}

/// A copy of all that a store holds.
#[derive(Debug, Clone)]
pub struct StoreCopy(HashMap<String, Topic>);

/// A running store; it stops when dropped.
#[derive(Debug)]
pub struct MetaStore {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Query {
    topic: String,
    #[serde(default)]
    from: u64,
    #[serde(default)]
    wait_ms: u64,
    #[serde(default)]
    after: String,
    #[serde(default = "default_max_kb")]
    max_kb: usize,
    /// Appends only if the log ends there.
    at: Option<u64>,
}

/// Limit on the data of one read that names none, in kilobytes.
fn default_max_kb() -> usize {
    1_024
}

impl MetaStore {
    /// Starts an empty store on a free port.
    ///
    /// # Errors
    /// Fails when no port can be bound.
    pub async fn start() -> io::Result<MetaStore> {
        let shared = Arc::new(Shared {
            topics: Mutex::default(),
            fault: Mutex::new(StoreFault::None),
            written: Notify::new(),
            calls: AtomicU64::new(0),
            era: Mutex::new("1".to_owned()),
        });
        let server = serve(&shared, Addresses::default()).await?;
        Ok(MetaStore { server, shared })
    }

    /// Starts a view in which records name other addresses of backend servers.
    ///
    /// # Errors
    /// Fails when no port can be bound.
    pub async fn view(&self) -> io::Result<StoreView> {
        let addresses = Addresses::default();
        let server = serve(&self.shared, addresses.clone()).await?;
        Ok(StoreView { server, addresses })
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Writes the newest value of a key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        self.append(topic, key, value);
    }

    /// The newest value of a key.
    pub fn get(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let topics = self.shared.topics();
        let (value, _) = topics.get(topic)?.newest.get(key)?;
        Some(value.clone())
    }

    /// All keys that have a value.
    pub fn keys(&self, topic: &str) -> Vec<String> {
        let topics = self.shared.topics();
        topics.get(topic).map_or_else(Vec::new, |it| it.newest.keys().cloned().collect())
    }

    /// Deletes a key.
    pub fn remove(&self, topic: &str, key: &str) {
        self.append(topic, key, &[]);
    }

    /// Drops the records of a topic; the newest value of each key stays.
    pub fn drop_history(&self, topic: &str) {
        let mut topics = self.shared.topics();
        let topic = topics.entry(topic.to_owned()).or_default();
        topic.first = topic.end();
        topic.records.clear();
    }

    /// Copies all that it holds.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.shared.topics().clone())
    }

    /// Restores it from a copy; `era` is what all later answers say.
    pub fn restore(&self, copy: &StoreCopy, era: &str) {
        *self.shared.topics() = copy.0.clone();
        self.set_era(era);
        self.shared.written.notify_waiters();
    }

    /// Sets what all later answers say of its restorations.
    pub fn set_era(&self, era: &str) {
        *self.shared.era.lock().unwrap() = era.to_owned();
    }

    /// Sets the fault for all later calls.
    pub fn set_fault(&self, fault: StoreFault) {
        *self.shared.fault.lock().unwrap() = fault;
    }

    /// Number of calls received.
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }

    fn append(&self, topic: &str, key: &str, value: &[u8]) {
        let length = u8::try_from(key.len()).expect("a short key");
        let record = [&[length], key.as_bytes(), value].concat();
        self.shared.append(topic, vec![record]);
    }
}

/// Serves the store on a free port; records name `addresses`.
async fn serve(shared: &Arc<Shared>, addresses: Addresses) -> io::Result<Server> {
    let it = Arc::clone(shared);
    let routes = warp::any()
        .and(warp::path::param::<String>())
        .and(warp::query::<Query>())
        .and(warp::body::bytes())
        .then(move |call: String, query, body| {
            let it = Arc::clone(&it);
            let addresses = addresses.clone();
            async move { it.answer(&call, &query, &body, &addresses).await }
        });
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let routes = routes.recover(not_found).unify();
    Server::start(any, Arc::new(Switch::default()), routes).await
}

impl Shared {
    fn topics(&self) -> MutexGuard<'_, HashMap<String, Topic>> {
        self.topics.lock().unwrap()
    }

    fn append(&self, topic: &str, records: Vec<Vec<u8>>) -> (u64, u64) {
        let mut topics = self.topics();
        let topic = topics.entry(topic.to_owned()).or_default();
        let offset = topic.end();
        records.into_iter().for_each(|it| topic.append(it));
        let end = topic.end();
        drop(topics);
        self.written.notify_waiters();
        (offset, end)
    }

    async fn answer(
        &self,
        call: &str,
        query: &Query,
        body: &Bytes,
        addresses: &Addresses,
    ) -> Response<Bytes> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let fault = *self.fault.lock().unwrap();
        match fault {
            StoreFault::None | StoreFault::LoseAnswer => {}
            StoreFault::Refuse(status) => return refuse(status),
            StoreFault::Silent => sleep(HANG_TIME).await,
            StoreFault::Slow(time) => sleep(time).await,
        }
        let mut response = match call {
            "log-append" => self.log_append(query, body),
            "log-read" => self.log_read(query, addresses).await,
            "log-newest" => self.log_newest(query, addresses),
            _ => status_reply(StatusCode::NOT_FOUND, "no such call"),
        };
        if let Ok(era) = HeaderValue::from_str(&self.era.lock().unwrap()) {
            response.headers_mut().insert("store-era", era);
        }
        if fault == StoreFault::LoseAnswer {
            sleep(HANG_TIME).await;
        }
        response
    }

    fn log_append(&self, query: &Query, body: &[u8]) -> Response<Bytes> {
        let mut records = Vec::new();
        let mut left = body;
        while let Some((length, rest)) = left.split_first_chunk::<4>() {
            let (record, rest) = rest.split_at(u32::from_be_bytes(*length) as usize);
            records.push(record.to_vec());
            left = rest;
        }
        let topics = self.topics();
        let end = topics.get(&query.topic).map_or(0, Topic::end);
        if query.at.is_some_and(|it| it != end) {
            let body = serde_json::json!({ "end": end });
            return json_reply(StatusCode::PRECONDITION_FAILED, &body);
        }
        drop(topics);
        let (offset, end) = self.append(&query.topic, records);
        json_reply(StatusCode::OK, &serde_json::json!({ "offset": offset, "end": end }))
    }

    async fn log_read(&self, query: &Query, addresses: &Addresses) -> Response<Bytes> {
        let written = self.written.notified();
        if let Some(found) = self.records(query, false, addresses) {
            return found;
        }
        let waited = timeout(Duration::from_millis(query.wait_ms), async {
            let mut written = std::pin::pin!(written);
            loop {
                written.as_mut().await;
                written.set(self.written.notified());
                if let Some(found) = self.records(query, false, addresses) {
                    return found;
                }
            }
        });
        match waited.await {
            Ok(found) => found,
            Err(_) => self.records(query, true, addresses).unwrap_or_default(),
        }
    }

    /// Records from an offset on. Without such records, the result is `None` unless `empty`
    /// is set.
    fn records(
        &self,
        query: &Query,
        empty: bool,
        addresses: &Addresses,
    ) -> Option<Response<Bytes>> {
        let mut topics = self.topics();
        let topic = topics.entry(query.topic.clone()).or_default();
        if query.from < topic.first || query.from > topic.end() {
            return Some(status_reply(StatusCode::GONE, "no longer kept"));
        }
        let known = (query.from - topic.first) as usize;
        let records = topic.records.get(known..).unwrap_or_default();
        if records.is_empty() && !empty {
            return None;
        }
        let mut body = [topic.end().to_be_bytes(), topic.first.to_be_bytes()].concat();
        let limit = query.max_kb * 1_024;
        for (number, it) in records.iter().enumerate() {
            let record = addresses.replace_in_record(&query.topic, it);
            if number > 0 && body.len() + record.len() > limit {
                break;
            }
            body.extend((record.len() as u32).to_be_bytes());
            body.extend(record);
        }
        Some(Response::new(body.into()))
    }

    fn log_newest(&self, query: &Query, addresses: &Addresses) -> Response<Bytes> {
        let mut topics = self.topics();
        let topic = topics.entry(query.topic.clone()).or_default();
        let mut rest = topic.newest.iter().filter(|(key, _)| **key > query.after);
        let entries: Vec<_> = rest
            .by_ref()
            .take(MAX_PAGE_ENTRIES)
            .map(|(key, (value, offset))| {
                let value = addresses.replace_in(&query.topic, key, value);
                serde_json::json!({ "key": key, "value": STANDARD.encode(value), "offset": offset })
            })
            .collect();
        let more = rest.next().is_some();
        json_reply(
            StatusCode::OK,
            &serde_json::json!({ "entries": entries, "hasMore": more, "end": topic.end() }),
        )
    }
}

fn refuse(status: u16) -> Response<Bytes> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    status_reply(status, "refused")
}
