//! The platform's metadata store, as far as routers call it, with one address for each machine.

#![allow(dead_code)] // Not every case uses all of it.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, encode};
use crate::record::Record;

#[derive(Default, Clone)]
pub struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (Vec<u8>, usize)>,
}

/// The path between one machine and the store.
#[derive(Clone, Copy, PartialEq)]
pub enum Access {
    Open = 0,
    /// The store turns the machine away with 503.
    Refused = 1,
    /// It is cut: connections are reset.
    Reset = 2,
    /// It is cut: nothing is answered.
    Silent = 3,
}

/// A copy of all that the store holds.
pub struct Copy(HashMap<String, Topic>);

struct Shared {
    topics: Mutex<HashMap<String, Topic>>,
    /// How often the store came back from a copy, and 1.
    era: AtomicU64,
    /// The store is away: nobody reaches it.
    is_away: AtomicBool,
    written: Condvar,
    record: Record,
}

/// The calls of one machine.
pub struct View {
    pub address: SocketAddr,
    access: AtomicU8,
    /// Successful calls: when, and which.
    calls: Mutex<Vec<(Instant, String)>>,
}

impl View {
    pub fn set(&self, access: Access) {
        self.access.store(access as u8, Ordering::SeqCst);
    }

    /// How many calls whose text holds `word` succeeded since `since`.
    pub fn count(&self, word: &str, since: Instant) -> usize {
        let calls = self.calls.lock().unwrap();
        calls.iter().filter(|(at, it)| *at >= since && it.contains(word)).count()
    }
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
}

impl Store {
    pub fn new(record: &Record) -> Store {
        let record = record.clone();
        let shared = Shared {
            topics: Mutex::default(),
            era: AtomicU64::new(1),
            is_away: AtomicBool::new(false),
            written: Condvar::new(),
            record,
        };
        Store { shared: Arc::new(shared) }
    }

    /// Makes a copy.
    pub fn copy(&self) -> Copy {
        self.shared.record.line("store: a copy is made");
        Copy(self.shared.topics.lock().unwrap().clone())
    }

    /// The store goes away.
    pub fn go_away(&self) {
        self.shared.record.line("store: goes away");
        self.shared.is_away.store(true, Ordering::SeqCst);
    }

    /// The store comes back from a copy.
    pub fn come_back(&self, copy: Copy) {
        *self.shared.topics.lock().unwrap() = copy.0;
        self.shared.era.fetch_add(1, Ordering::SeqCst);
        self.shared.is_away.store(false, Ordering::SeqCst);
        self.shared.written.notify_all();
        self.shared.record.line("store: is back from the copy");
    }

    fn is_away(&self) -> bool {
        self.shared.is_away.load(Ordering::SeqCst)
    }

    /// Opens an address for one machine.
    pub fn view(&self) -> Arc<View> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let view = Arc::new(View {
            address: listener.local_addr().expect("an address"),
            access: AtomicU8::new(0),
            calls: Mutex::default(),
        });
        let (store, it) = (self.clone(), Arc::clone(&view));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, it) = (store.clone(), Arc::clone(&it));
                thread::spawn(move || store.serve(stream, &it));
            }
        });
        view
    }

    /// Writes the value of a key as the operator or a worker does; returns when it was accepted.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) -> Instant {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        while self.is_away() {
            thread::sleep(Duration::from_millis(20));
        }
        let mut topics = self.shared.topics.lock().unwrap();
        append(topics.entry(topic.to_owned()).or_default(), record);
        let at = Instant::now();
        drop(topics);
        self.shared.written.notify_all();
        let what = if value.is_empty() { "removed" } else { "written" };
        self.shared.record.line_at(at, &format!("store: {topic} {key} {what}"));
        at
    }

    fn serve(&self, stream: TcpStream, view: &View) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.request() {
            if !self.may_answer(&mut connection, view) {
                return;
            }
            let (status, body) = match view.access.load(Ordering::SeqCst) {
                1 => ("503 Service Unavailable", Vec::new()),
                _ => self.answer(&request),
            };
            // The machine may have been turned away while the call waited.
            if !self.may_answer(&mut connection, view) {
                return;
            }
            if status.starts_with("200") {
                view.calls.lock().unwrap().push((Instant::now(), request.start.clone()));
            }
            let start = format!("HTTP/1.1 {status}");
            let era = self.shared.era.load(Ordering::SeqCst).to_string();
            if connection.send(&encode(&start, &[("store-era", era.as_str())], &body)).is_err() {
                return;
            }
        }
    }

    fn may_answer(&self, connection: &mut Connection, view: &View) -> bool {
        if self.is_away() {
            crate::system::reset(&connection.stream);
            return false;
        }
        match view.access.load(Ordering::SeqCst) {
            2 => {
                crate::system::reset(&connection.stream);
                false
            }
            3 => {
                thread::sleep(Duration::from_secs(100));
                false
            }
            _ => true,
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let (path, query) = request.word(1).split_once('?').unwrap_or((request.word(1), ""));
        let query: HashMap<&str, String> = query
            .split('&')
            .filter_map(|it| it.split_once('='))
            .map(|(key, value)| (key, decode(value)))
            .collect();
        let topic = query.get("topic").cloned().unwrap_or_default();
        let number = |key: &str| query.get(key).and_then(|it| it.parse::<usize>().ok());
        match path {
            "/log-append" => self.log_append(&topic, number("at"), &request.body),
            "/log-read" => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0) as u64);
                self.log_read(&topic, number("from").unwrap_or(0), wait)
            }
            "/log-newest" => self.log_newest(&topic, query.get("after")),
            _ => ("404 Not Found", Vec::new()),
        }
    }

    fn log_append(&self, topic: &str, at: Option<usize>, body: &[u8]) -> (&'static str, Vec<u8>) {
        let mut topics = self.shared.topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        let offset = topic.records.len();
        if at.is_some_and(|it| it != offset) {
            return ("412 Precondition Failed", format!("{{\"end\":{offset}}}").into_bytes());
        }
        let mut rest = body;
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            append(topic, rest[4..4 + length].to_vec());
            rest = &rest[4 + length..];
        }
        let end = topic.records.len();
        drop(topics);
        self.shared.written.notify_all();
        ("200 OK", format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
    }

    fn log_read(&self, topic: &str, from: usize, wait: Duration) -> (&'static str, Vec<u8>) {
        let until = Instant::now() + wait;
        let mut topics = self.shared.topics.lock().unwrap();
        loop {
            let end = topics.entry(topic.to_owned()).or_default().records.len();
            if from > end {
                return ("410 Gone", b"{\"first\":0}".to_vec());
            }
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            topics = self.shared.written.wait_timeout(topics, left).unwrap().0;
        }
        let records = &topics[topic].records;
        let mut body = [(records.len() as u64).to_be_bytes(), 0u64.to_be_bytes()].concat();
        for it in &records[from..] {
            body.extend((it.len() as u32).to_be_bytes());
            body.extend_from_slice(it);
        }
        ("200 OK", body)
    }

    fn log_newest(&self, topic: &str, after: Option<&String>) -> (&'static str, Vec<u8>) {
        let mut topics = self.shared.topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        let entries = topic.newest.iter().filter(|(key, _)| after.is_none_or(|it| *key > it));
        let entries: Vec<String> = entries
            .map(|(key, (value, offset))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (entries, end) = (entries.join(","), topic.records.len());
        let text = format!("{{\"entries\":[{entries}],\"hasMore\":false,\"end\":{end}}}");
        ("200 OK", text.into_bytes())
    }
}

fn append(topic: &mut Topic, record: Vec<u8>) {
    let (key, value) = record[1..].split_at(record[0] as usize);
    let key = String::from_utf8_lossy(key).into_owned();
    match value {
        [] => topic.newest.remove(&key),
        value => topic.newest.insert(key, (value.to_vec(), topic.records.len())),
    };
    topic.records.push(record);
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(it) = rest.next() {
        if it == b'%' {
            let pair = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
            let pair = String::from_utf8_lossy(&pair).into_owned();
            bytes.push(u8::from_str_radix(&pair, 16).unwrap_or(b'?'));
        } else {
            bytes.push(it);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for it in bytes.chunks(3) {
        let bits = it.iter().fold(0u32, |bits, byte| bits << 8 | u32::from(*byte));
        let bits = bits << (8 * (3 - it.len()));
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place) & 63) as usize] as char;
            text.push(if place <= it.len() { digit } else { '=' });
        }
    }
    text
}
