//! Clients that read an answer slowly, on kept connections.

use std::io::{self, Read};
use std::net::{Ipv4Addr, SocketAddr};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{encode_request, new_id};
use crate::config::{Route, encode_config};
use crate::http::Connection;
use crate::record::Record;
use crate::router::{Machine, Router};
use crate::store::Store;
use crate::worker::{Worker, keep_beating};
use crate::{folder, is_disrupted, number, system};

/// Answers that may be lost on kept connections.
const ALLOWED: usize = 3;
const CLIENTS: usize = 8;
/// The client waits so long for the whole answer, `Deadline-Ms`.
const DEADLINE_MS: u64 = 10_000;
/// Bytes that a client reads at a time.
const PIECE_BYTES: usize = 1_000;

pub fn run(record: &Record) -> bool {
    let folder = folder();
    let store = Store::new(record);
    let size = number("SIZE", 12_000) as usize;
    let workers: Vec<_> = ["i-1", "i-2"]
        .map(|id| {
            Worker::start(id, "app", "v1", move |worker, request, connection| {
                let size = if request.word(1).ends_with("list") { size } else { 800 };
                connection.send(&worker.reply(request, &vec![b'x'; size])).is_ok()
            })
        })
        .into();
    keep_beating(&workers, &store);
    let route =
        Route { prefix: "/stock/", kind: "idempotent", service: "app", attempts: 2, resume: false };
    store.put("keyed.op", "config", &encode_config(3, &[route], &["app"]));
    let view = store.view();
    let machine = Machine { name: "front-1", zone: "a", store: view.address, memory_mb: 520 };
    let router = Router::start(&folder, &machine);
    router.wait_ready(Duration::from_secs(15));
    thread::sleep(Duration::from_secs(6));
    let address = router.callers;
    let threads: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let record = record.clone();
            thread::spawn(move || client(address, size, &record))
        })
        .collect();
    // Planned work: the settings file was changed.
    thread::sleep(Duration::from_millis(500));
    record.say("front-1 gets SIGHUP");
    router.signal(system::SIGHUP);
    let ends = threads.into_iter().map(|it| it.join().expect("a client ends"));
    let lost = ends.filter(|it| it.is_err()).count();
    let runs: usize = workers.iter().map(|it| it.runs.lock().unwrap().len()).sum();
    record.say(&format!("requests that workers ran: {runs} of {}", 2 * CLIENTS));
    record.say(&format!("answers that broke off on kept connections: {lost} of {CLIENTS}"));
    lost > ALLOWED
}

/// Sends two requests on one connection, and reads the answer to the second one slowly.
fn client(address: SocketAddr, size: usize, record: &Record) -> io::Result<()> {
    // The kernel doubles it; links have small windows.
    let buffer = number("BUFFER", 4_096) as i32;
    let stream = system::connect_from(Ipv4Addr::LOCALHOST, address, Some(buffer))?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    let mut connection = Connection::new(stream);
    let id = new_id(0);
    connection.send(&encode_request("GET", "/stock/one", &id, DEADLINE_MS, b""))?;
    let answer = connection.answer()?;
    record.line(&format!("client: {id} gets {} {} bytes", answer.status(), answer.body.len()));
    thread::sleep(Duration::from_millis(1_000));
    let id = new_id(0);
    let sent = Instant::now();
    record.line_at(sent, &format!("client: {id} sent on the kept connection"));
    connection.send(&encode_request("GET", "/stock/list", &id, DEADLINE_MS, b""))?;
    let mut reader = SlowReader { connection, read: 0 };
    let result = reader.read_all(size);
    record.say(&format!(
        "client: {id} read {} bytes in {:.1} s of an answer with a body of {size}: {}",
        reader.read,
        sent.elapsed().as_secs_f64(),
        result.as_ref().map_or_else(ToString::to_string, |()| "complete".to_owned()),
    ));
    result
}

struct SlowReader {
    connection: Connection,
    read: usize,
}

impl SlowReader {
    /// Reads an answer until its body of `size` bytes is complete.
    fn read_all(&mut self, size: usize) -> io::Result<()> {
        let pause = Duration::from_millis(if is_disrupted() { number("PAUSE", 500) } else { 0 });
        let mut bytes = Vec::new();
        loop {
            let mut piece = [0; PIECE_BYTES];
            let count = self.connection.stream.read(&mut piece)?;
            if count == 0 {
                return Err(io::Error::other("closed before its end"));
            }
            bytes.extend_from_slice(&piece[..count]);
            self.read += count;
            let head = bytes.windows(4).position(|it| it == b"\r\n\r\n");
            if head.is_some_and(|at| bytes.len() - at - 4 >= size) {
                return Ok(());
            }
            thread::sleep(pause);
        }
    }
}
