//! Case 14: a sound worker falls silent for 1.4 s and goes on. Streams that it writes go on at another
//! worker meanwhile, and both work on them.

#[path = "platform.rs"]
mod platform;

use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use platform::{Folder, Message, Record, Router, Store, Worker, config, has_trouble, request};

const KEY: &str = "key-1";
const STREAMS: usize = 6;
/// Events of a stream, and the pause between them, which is less than `gapAimMs`.
const EVENTS: usize = 50;
const EVENT_PAUSE: Duration = Duration::from_millis(100);
/// How long the worker is silent: "a second or so".
const SILENCE: Duration = Duration::from_millis(1_400);
/// From the start of the streams to the silence.
const SILENT_AT: Duration = Duration::from_millis(1_000);
/// Time for which the rule lets two workers work on a request.
const OVERLAP: Duration = Duration::from_millis(400);

/// When a worker worked on a request.
#[derive(Clone)]
struct Work {
    id: String,
    worker: String,
    began: Instant,
    ended: Option<Instant>,
}

#[derive(Default)]
struct Shared {
    work: Mutex<Vec<Work>>,
    /// The worker that falls silent, and from when until when.
    silence: Mutex<Option<(String, Instant, Instant)>>,
}

fn main() -> ExitCode {
    let Some(path) = std::env::args().nth(1) else { return ExitCode::from(2) };
    match run(Path::new(&path)) {
        Ok(held) => ExitCode::from(if held { 0 } else { 1 }),
        Err(e) => {
            eprintln!("could not run: {e}");
            ExitCode::from(2)
        }
    }
}

/// Writes a stream to its end. Works on also when nobody listens any more, as workers may.
fn stream(shared: &Shared, it: &Worker, request: &Message, to: &mut TcpStream) -> io::Result<()> {
    it.run(request);
    let id = request.header("request-id").unwrap_or_default().to_owned();
    let began = Instant::now();
    let place = {
        let mut work = shared.work.lock().unwrap();
        work.push(Work { id: id.clone(), worker: it.id.clone(), began, ended: None });
        work.len() - 1
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal-{id}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut result = to.write_all(head.as_bytes());
    let after = request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
    for number in after + 1..=EVENTS {
        thread::sleep(EVENT_PAUSE);
        let silence = shared.silence.lock().unwrap().clone();
        if let Some((_, from, until)) = silence.filter(|(id, ..)| *id == it.id) {
            if Instant::now() >= from {
                thread::sleep(until.saturating_duration_since(Instant::now()));
            }
        }
        let event = format!("id: {number}\ndata: {} {number}\n\n", it.id);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        result = result.and_then(|()| to.write_all(chunk.as_bytes()));
    }
    result = result.and_then(|()| to.write_all(b"0\r\n\r\n"));
    shared.work.lock().unwrap()[place].ended = Some(Instant::now());
    it.record.line(&format!("{} ends its work on {id}", it.id));
    result
}

fn run(path: &Path) -> io::Result<bool> {
    let record = Record::create(path)?;
    let folder = Folder::new("review-silent")?;
    let store = Store::start()?;
    store.put("keyed.op", "config", config(3, &[KEY]).as_bytes());
    let shared = Arc::new(Shared::default());
    for number in 0..2 {
        let state = Arc::clone(&shared);
        let behave = Arc::new(move |it: &Worker, request: &Message, to: &mut TcpStream| {
            it.health(request, to).unwrap_or_else(|| stream(&state, it, request, to))
        });
        Worker::start(&format!("i-{number}"), "pool", &record, behave)?.register(&store);
    }
    let mut router = Router::new(&folder.0, "front-1", &store, &record)?;
    router.start()?;
    if !router.until_ready(Duration::from_secs(15)) {
        return Err(io::Error::other("the router does not become ready"));
    }
    thread::sleep(Duration::from_secs(4));

    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (to, record) = (router.callers, record.clone());
            thread::spawn(move || read_stream(to, number, &record))
        })
        .collect();
    thread::sleep(SILENT_AT);
    if has_trouble() {
        let from = Instant::now();
        // The one that has more streams.
        let works = shared.work.lock().unwrap();
        let count = |id: &str| works.iter().filter(|it| it.worker == id).count();
        let id = if count("i-0") >= count("i-1") { "i-0" } else { "i-1" };
        *shared.silence.lock().unwrap() = Some((id.to_owned(), from, from + SILENCE));
        record.line(&format!("{id} is silent for {} ms", SILENCE.as_millis()));
    }
    let complete =
        clients.into_iter().filter_map(|it| it.join().ok()?.ok()).filter(|it| *it).count();
    // Work that goes on for nobody ends by itself.
    thread::sleep(EVENT_PAUSE * EVENTS as u32);
    record.line(&format!("{complete} of {STREAMS} streams are complete at the client"));

    let mut by_id: HashMap<String, Vec<Work>> = HashMap::new();
    for it in shared.work.lock().unwrap().iter() {
        by_id.entry(it.id.clone()).or_default().push(it.clone());
    }
    if by_id.len() < STREAMS {
        return Err(io::Error::other("not all streams began"));
    }
    let mut broken = 0;
    for (id, works) in by_id {
        let [first, second, ..] = works.as_slice() else { continue };
        let ended = first.ended.unwrap_or_else(Instant::now);
        let overlap = ended.saturating_duration_since(second.began);
        record.line(&format!(
            "{id}: {} still worked on it {} ms after {} began",
            first.worker,
            overlap.as_millis(),
            second.worker
        ));
        broken += usize::from(overlap > OVERLAP);
    }
    record.line(&format!("{broken} streams were at two workers for more than 400 ms"));
    Ok(broken == 0)
}

/// Reads a stream; whether it is complete.
fn read_stream(to: SocketAddr, number: usize, record: &Record) -> io::Result<bool> {
    let id = format!("s-{number}");
    record.line(&format!("{id} is sent"));
    let mut stream = TcpStream::connect(to)?;
    stream.set_read_timeout(Some(Duration::from_secs(12)))?;
    stream.write_all(&request(
        "POST",
        "/stream/a",
        &id,
        KEY,
        10_000,
        &format!("prompt {number}"),
    ))?;
    let answer = Message::read(&mut BufReader::new(stream));
    let text = answer.as_ref().map_or(String::new(), |it| {
        it.as_ref().map_or(String::new(), |it| String::from_utf8_lossy(&it.body).into_owned())
    });
    let ids: Vec<&str> = text.lines().filter_map(|it| it.strip_prefix("id: ")).collect();
    let is_complete =
        (1..=EVENTS).map(|it| it.to_string()).eq(ids.iter().map(|it| (*it).to_owned()));
    record.line(&format!("{id} has {} events, complete: {is_complete}", ids.len()));
    Ok(is_complete)
}
