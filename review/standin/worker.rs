//! Stand-in of a backend server (a worker in the terms of the pages).
//!
//! It runs `slots` requests at once and lets `queue` more wait; it turns others away with 503 and
//! `Not-Run`. It stops a run when the caller closes the connection, unless it is one of the few
//! workers that do not. Paths with `/stream/` are
//! answered with events, all others after `work` with a short body.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Head, read_body, read_head};
use crate::record::Record;
use crate::store::Store;

/// Interval at which a run looks whether it may go on.
const TICK: Duration = Duration::from_millis(4);
/// `heartbeatMs` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

#[derive(Debug, Clone)]
pub struct WorkerOptions {
    pub id: &'static str,
    pub version: &'static str,
    pub slots: usize,
    pub queue: usize,
    /// Number of events of a stream, and the pause before each.
    pub events: u64,
    pub gap: Duration,
    /// Time of other requests.
    pub work: Duration,
    /// Length of the answers to them.
    pub answer_bytes: usize,
    /// It drops a request when its connection closes.
    pub drops: bool,
}

/// A request that the worker runs or ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub request: String,
    pub began: Instant,
    /// When the worker no longer worked on it.
    pub ended: Option<Instant>,
}

struct Shared {
    options: WorkerOptions,
    record: Record,
    places: Mutex<(usize, usize)>,
    silent_until: Mutex<Option<Instant>>,
    runs: Mutex<Vec<Run>>,
    sequence: AtomicU64,
    born: u128,
    is_listed: AtomicBool,
}

/// A running worker. Cheap to clone.
#[derive(Clone)]
pub struct Worker {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Worker {
    pub fn start(options: WorkerOptions, record: &Record) -> io::Result<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let shared = Shared {
            options,
            record: record.clone(),
            places: Mutex::default(),
            silent_until: Mutex::default(),
            runs: Mutex::default(),
            sequence: AtomicU64::new(0),
            born,
            is_listed: AtomicBool::new(true),
        };
        let worker = Worker { address: listener.local_addr()?, shared: Arc::new(shared) };
        let it = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let it = it.clone();
                thread::spawn(move || it.serve(stream));
            }
        });
        Ok(worker)
    }

    pub fn id(&self) -> &'static str {
        self.shared.options.id
    }

    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().unwrap().clone()
    }

    /// Running and waiting requests.
    pub fn load(&self) -> (usize, usize) {
        *self.shared.places.lock().unwrap()
    }

    /// Writes its entry to the store, now and with each heartbeat until it is removed.
    pub fn register(&self, store: &Store) {
        self.write_entry(store);
        self.shared.record.line(format!("server {} is listed as ready", self.id()));
        let (it, store) = (self.clone(), store.clone());
        thread::spawn(move || {
            loop {
                sleep(HEARTBEAT);
                if !it.shared.is_listed.load(Ordering::SeqCst) {
                    return;
                }
                it.write_entry(&store);
            }
        });
    }

    /// Removes its entry; it goes on serving.
    pub fn unregister(&self, store: &Store) {
        self.shared.is_listed.store(false, Ordering::SeqCst);
        store.put("keyed.servers", self.id(), "");
        self.shared
            .record
            .line(format!("the entry of server {} is removed; it serves on", self.id()));
    }

    fn write_entry(&self, store: &Store) {
        let WorkerOptions { version, slots, .. } = self.shared.options;
        let sequence = self.shared.sequence.fetch_add(1, Ordering::SeqCst);
        let (address, born) = (self.address, self.shared.born);
        let entry = format!(
            "{{\"service\":\"pool\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"{version}\",\
             \"slots\":{slots},\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence},\
             \"born\":{born}}}"
        );
        store.put("keyed.servers", self.id(), &entry);
    }

    /// Falls silent for `time`, and goes on after it.
    pub fn fall_silent(&self, time: Duration) {
        *self.shared.silent_until.lock().unwrap() = Some(Instant::now() + time);
        let (running, waiting) = self.load();
        self.shared.record.line(format!(
            "server {} falls silent for {time:?}, running {running}, waiting {waiting}",
            self.id()
        ));
    }

    fn is_silent(&self) -> bool {
        self.shared.silent_until.lock().unwrap().is_some_and(|it| Instant::now() < it)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut stream = BufReader::new(stream);
        while let Some(head) = read_head(&mut stream)? {
            read_body(&mut stream, &head)?;
            self.answer(stream.get_mut(), &head)?;
        }
        Ok(())
    }

    fn answer(&self, stream: &mut TcpStream, head: &Head) -> io::Result<()> {
        let id = head.get("request-id").unwrap_or("").to_owned();
        let load = |it: &Worker| {
            let (running, waiting) = it.load();
            format!("Server-Load: {running},{waiting},{}\r\n", it.shared.options.slots)
        };
        if head.path() == "/healthz" {
            let text = format!(
                "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\n{}Content-Length: 0\r\n\r\n",
                self.id(),
                load(self)
            );
            return stream.write_all(text.as_bytes());
        }
        if head.get("expect-instance").is_some_and(|it| it != self.id()) {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id()
            );
            return stream.write_all(text.as_bytes());
        }
        let Some(place) = Place::take(self, stream)? else {
            self.shared.record.line(format!("server {} turns {id} away: it is full", self.id()));
            let text = format!(
                "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRequest-Id: {id}\r\n{}Content-Length: 0\r\n\r\n",
                load(self)
            );
            return stream.write_all(text.as_bytes());
        };
        let after = head.get("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        let WorkerOptions { id: own, version, .. } = self.shared.options;
        let at = self.begin(&id);
        self.shared.record.line(format!(
            "server {own} ({version}) runs {id} {} after event {after}",
            head.path()
        ));
        let result = match head.path().contains("/stream/") {
            true => self.stream(stream, &id, after, &load(self)),
            false => self.work(stream, &id, &load(self)),
        };
        drop(place);
        self.shared.runs.lock().unwrap()[at].ended = Some(Instant::now());
        let end = match &result {
            Ok(()) => "complete".to_owned(),
            Err(e) => format!("the caller closed the connection ({e})"),
        };
        self.shared.record.line(format!("server {own} ends {id}: {end}"));
        result
    }

    /// Notes that a run begins; returns its number.
    fn begin(&self, id: &str) -> usize {
        let mut runs = self.shared.runs.lock().unwrap();
        runs.push(Run { request: id.to_owned(), began: Instant::now(), ended: None });
        runs.len() - 1
    }

    fn work(&self, stream: &mut TcpStream, id: &str, load: &str) -> io::Result<()> {
        self.pause(stream, self.shared.options.work)?;
        let body = format!("answer of {} to {id} ", self.id());
        let body = body.repeat(self.shared.options.answer_bytes / body.len() + 1);
        let text = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal\r\n{load}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(text.as_bytes())
    }

    fn stream(&self, stream: &mut TcpStream, id: &str, after: u64, load: &str) -> io::Result<()> {
        let WorkerOptions { events, gap, version, .. } = self.shared.options;
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal\r\n{load}\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        for number in after + 1..=events {
            self.pause(stream, gap)?;
            let event = format!("id: {number}\ndata: {version} {} token {number}\n\n", self.id());
            let start = if number == after + 1 { head.as_str() } else { "" };
            let text = format!("{start}{:x}\r\n{event}\r\n", event.len());
            let written = stream.write_all(text.as_bytes());
            if self.shared.options.drops {
                written?;
            }
        }
        stream.write_all(b"0\r\n\r\n")
    }

    /// Waits for `time`, and longer while the worker is silent. Fails when the caller leaves.
    fn pause(&self, stream: &TcpStream, time: Duration) -> io::Result<()> {
        let until = Instant::now() + time;
        while Instant::now() < until || self.is_silent() {
            sleep(TICK);
            if self.shared.options.drops {
                check_caller(stream)?;
            }
        }
        Ok(())
    }
}

/// Fails if the caller has closed the connection.
fn check_caller(stream: &TcpStream) -> io::Result<()> {
    stream.set_nonblocking(true)?;
    let read = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    match read {
        Ok(0) => Err(io::ErrorKind::ConnectionAborted.into()),
        Ok(_) => Ok(()),
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(()),
        Err(e) => Err(e),
    }
}

/// A slot that a request has taken.
struct Place<'a>(&'a Worker);

impl Place<'_> {
    /// Takes a slot, waiting for it if there is room in the queue; `None` if there is none.
    fn take<'a>(worker: &'a Worker, stream: &TcpStream) -> io::Result<Option<Place<'a>>> {
        let WorkerOptions { slots, queue, .. } = worker.shared.options;
        {
            let mut places = worker.shared.places.lock().unwrap();
            if places.0 < slots {
                places.0 += 1;
                return Ok(Some(Place(worker)));
            }
            if places.1 >= queue {
                return Ok(None);
            }
            places.1 += 1;
        }
        loop {
            sleep(TICK);
            let left = check_caller(stream);
            let mut places = worker.shared.places.lock().unwrap();
            if left.is_err() || places.0 < slots {
                places.1 -= 1;
                left?;
                places.0 += 1;
                return Ok(Some(Place(worker)));
            }
        }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.shared.places.lock().unwrap().0 -= 1;
    }
}
