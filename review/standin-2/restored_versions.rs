//! All routers are killed while the platform's store is away, which comes back from a copy that is
//! older than a version of the workers' software.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{HOST, KEY, connect, new_id};
use crate::config::{Route, encode_config};
use crate::http::{Connection, Message, encode};
use crate::record::Record;
use crate::router::{Machine, Router};
use crate::store::{Store, View};
use crate::worker::{Worker, keep_beating};
use crate::{folder, is_disrupted, number, system};

const ROUTERS: usize = 2;
const CLIENTS: usize = 24;
/// Streams that may hold events of two versions.
const ALLOWED: usize = 2;
const EVENTS: usize = 60;
const EVENT_PAUSE: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_secs(12);
/// How long the store is away.
const AWAY: Duration = Duration::from_millis(500);

pub fn run(record: &Record) -> bool {
    let folder = folder();
    let store = Store::new(record);
    let worker = |id: &str, version: &str| Worker::start(id, "app", version, stream);
    let old = [worker("i-1", "v1"), worker("i-2", "v1")];
    keep_beating(&old, &store);
    let route =
        Route { prefix: "/ask/", kind: "streaming", service: "app", attempts: 2, resume: true };
    let config = encode_config(3, &[route], &["app"]);
    store.put("keyed.op", "config", &config);
    let views: Vec<Arc<View>> = (0..ROUTERS).map(|_| store.view()).collect();
    let mut routers: Vec<Router> = Vec::new();
    for (place, view) in views.iter().enumerate() {
        let name = format!("front-{}", place + 1);
        let zone = ["a", "b"][place];
        let machine = Machine { name: &name, zone, store: view.address, memory_mb: 520 };
        routers.push(Router::start(&folder, &machine));
    }
    routers.iter().for_each(|it| it.wait_ready(Duration::from_secs(15)));
    thread::sleep(Duration::from_secs(10));
    let copy = store.copy();
    thread::sleep(Duration::from_millis(500));
    record.say("workers of another version begin to serve beside the others");
    let new = [worker("i-3", "v2"), worker("i-4", "v2")];
    keep_beating(&new, &store);
    thread::sleep(Duration::from_millis(2_000));
    let addresses: Vec<SocketAddr> = routers.iter().map(|it| it.callers).collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|it| {
            let (addresses, record) = (addresses.clone(), record.clone());
            thread::spawn(move || Client::new(it, addresses, record).run())
        })
        .collect();
    thread::sleep(Duration::from_millis(1_500));
    if is_disrupted() {
        record.say("the store goes away, and all routers are killed");
        store.go_away();
    } else {
        record.say("all routers are killed");
    }
    routers.iter().for_each(|it| it.signal(system::SIGKILL));
    thread::sleep(AWAY);
    if is_disrupted() {
        record
            .say("the store comes back from the copy; the operator writes its configuration again");
        store.come_back(copy);
        store.put("keyed.op", "config", &config);
    }
    thread::sleep(Duration::from_millis(number("RESTART", 1_000)));
    record.say("all routers start again");
    routers.iter_mut().for_each(Router::restart);
    let streams: Vec<Vec<String>> =
        clients.into_iter().map(|it| it.join().expect("a client ends")).collect();
    judge(record, &streams)
}

/// Writes a stream of events, each with the worker's software version.
fn stream(worker: &Worker, request: &Message, connection: &mut Connection) -> bool {
    let id = request.header("request-id").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: {}.{id}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        worker.id
    );
    if connection.send(head.as_bytes()).is_err() {
        return false;
    }
    let last = request.header("last-event-id").and_then(|it| it.parse::<usize>().ok());
    for number in last.map_or(1, |it| it + 1)..=EVENTS {
        thread::sleep(EVENT_PAUSE);
        let event = format!("id: {number}\ndata: {}\n\n", worker.version);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if connection.send(chunk.as_bytes()).is_err() {
            return false;
        }
    }
    connection.send(b"0\r\n\r\n").is_ok()
}

/// A client that takes its stream up until it is complete or its deadline passes.
struct Client {
    number: usize,
    addresses: Vec<SocketAddr>,
    record: Record,
    /// The version of each event.
    events: Vec<String>,
    /// The attempt that brought the first event.
    first: Option<String>,
    until: Instant,
}

impl Client {
    fn new(number: usize, addresses: Vec<SocketAddr>, record: Record) -> Client {
        let until = Instant::now() + DEADLINE;
        Client { number, addresses, record, events: Vec::new(), first: None, until }
    }

    fn run(mut self) -> Vec<String> {
        let mut attempt = 0;
        while self.events.len() < EVENTS && Instant::now() < self.until {
            let address = self.addresses[(self.number + attempt) % self.addresses.len()];
            let id = new_id(self.number);
            let end = self.attempt(address, &id);
            let text = end.map_or_else(|e| e.to_string(), |status| format!("status {status}"));
            self.record.line(&format!(
                "client {}: {id} ends with {} events: {text}",
                self.number,
                self.events.len()
            ));
            attempt += 1;
            thread::sleep(Duration::from_millis(150));
        }
        self.events
    }

    fn attempt(&mut self, address: SocketAddr, id: &str) -> io::Result<u16> {
        let mut connection = connect(address)?;
        let left = self.until.saturating_duration_since(Instant::now());
        connection.stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        let (ms, last) = (left.as_millis().to_string(), self.events.len().to_string());
        let key = format!("Token {KEY}");
        let mut headers = vec![
            ("Host", HOST),
            ("Request-Id", id),
            ("Deadline-Ms", ms.as_str()),
            ("Authorization", key.as_str()),
        ];
        let first = self.first.clone().unwrap_or_default();
        if !self.events.is_empty() {
            headers.extend([("Last-Event-Id", last.as_str()), ("Resumes", first.as_str())]);
        }
        self.record
            .line(&format!("client {}: {id} sent, after event {last} of {first}", self.number));
        connection.send(&encode("POST /ask/rank HTTP/1.1", &headers, b"{}"))?;
        let head = connection.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if head.status() != 200 {
            return Ok(head.status());
        }
        let mut text = String::new();
        loop {
            let chunk = connection.chunk()?;
            if chunk.is_empty() {
                return Ok(200);
            }
            text.push_str(&String::from_utf8_lossy(&chunk));
            while let Some(at) = text.find("\n\n") {
                let event: String = text.drain(..at + 2).collect();
                let data = event.lines().find_map(|it| it.strip_prefix("data: "));
                self.events.push(data.unwrap_or_default().to_owned());
                self.first.get_or_insert_with(|| id.to_owned());
            }
        }
    }
}

fn judge(record: &Record, streams: &[Vec<String>]) -> bool {
    let mut mixed = 0;
    for (number, events) in streams.iter().enumerate() {
        let changes = events.windows(2).filter(|it| it[0] != it[1]).count();
        mixed += usize::from(changes > 0);
        let of = |version: &str| events.iter().filter(|it| *it == version).count();
        record.line(&format!("stream {number}: {} events of v1 and {} of v2", of("v1"), of("v2")));
    }
    let complete = streams.iter().filter(|it| it.len() == EVENTS).count();
    record.say(&format!("complete streams: {complete} of {}", streams.len()));
    record.say(&format!("streams with events of two software versions: {mixed}"));
    mixed > ALLOWED
}
