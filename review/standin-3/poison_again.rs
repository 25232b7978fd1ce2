//! Case 13: a request that crashes each worker which begins to run it comes again after more than a
//! minute. The routers have forgotten the crashes by then, and let it crash as many workers again.
//!
//! Run as `poison_again worker ID`, it is a worker process that crashes on such a request.

#[path = "platform.rs"]
mod platform;

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use platform::{
    Folder, HEARTBEAT, Message, Record, Router, Store, Worker, config, exchange, has_trouble,
    request, unix_ms,
};

const KEY: &str = "key-1";
const PATH: &str = "/read/poison";
/// Workers of the service: enough that others are there while some have crashed.
const WORKERS: usize = 8;
/// `bounds.contactMs`.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);
/// How long a crashed worker is down: some seconds.
const DOWN_TIME: Duration = Duration::from_millis(3_000);
/// Pause after which the request comes again, and how often it comes.
const COME_AGAIN: Duration = Duration::from_millis(8_000);
const ROUNDS: usize = 10;
/// The failure's way to the client, a new connection, and the request's way: four times the 1 ms
/// to clients.
const RETRY_DELAY: Duration = Duration::from_millis(4);
/// Retries that the rule allows later than `contactMs` after the third crash.
const MAX_RETRIES: usize = 3;

/// A request reached a worker.
struct Arrival {
    at: Instant,
    id: String,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).is_some_and(|it| it == "worker") {
        return serve(&arguments[2]);
    }
    match run() {
        Ok(held) => ExitCode::from(if held { 0 } else { 1 }),
        Err(e) => {
            eprintln!("could not run: {e}");
            ExitCode::from(2)
        }
    }
}

/// The worker process: says on standard output where it listens and what it runs.
fn serve(id: &str) -> ExitCode {
    let record = Record::create(Path::new("/dev/null")).expect("there is a null device");
    let behave = Arc::new(|it: &Worker, request: &Message, stream: &mut TcpStream| {
        if let Some(answered) = it.health(request, stream) {
            return answered;
        }
        let id = request.header("request-id").unwrap_or_default();
        println!("{id}");
        let _ = io::stdout().flush();
        if has_trouble() && request.line.contains(PATH) {
            // The process ends; its port and connections close.
            std::process::exit(70);
        }
        it.answer(request, stream)
    });
    let worker = Worker::start(id, "pool", &record, behave).expect("a port is free");
    println!("{}", worker.address);
    let _ = io::stdout().flush();
    // Ends with the process that started it.
    let _ = io::stdin().read_line(&mut String::new());
    ExitCode::SUCCESS
}

struct Shared {
    store: Store,
    record: Record,
    arrivals: Mutex<Vec<Arrival>>,
    crashes: Mutex<Vec<Instant>>,
    is_over: AtomicBool,
}

/// Keeps one worker running: starts it, writes its entry, and starts it again after a crash.
fn keep_worker(shared: &Arc<Shared>, number: usize) {
    for start in 0.. {
        let id = format!("i-{number}-{start}");
        let Ok((mut child, address)) = start_worker(shared, &id) else { return };
        let born = unix_ms();
        shared.record.line(&format!("worker {id} starts at {address}"));
        let mut sequence = 0;
        while child.try_wait().is_ok_and(|it| it.is_none()) && !shared.is_over() {
            if sequence % 60 == 0 {
                put_entry(shared, &id, address, born, sequence);
            }
            sequence += 1;
            thread::sleep(HEARTBEAT / 60);
        }
        if shared.is_over() {
            let _ = child.kill();
            let _ = child.wait();
            return;
        }
        shared.crashes.lock().unwrap().push(Instant::now());
        shared.record.line(&format!("worker {id} has crashed"));
        // Its entry goes after three heartbeats of silence.
        let (it, gone) = (Arc::clone(shared), id.clone());
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * 3);
            it.store.put("keyed.servers", &gone, b"");
        });
        thread::sleep(DOWN_TIME);
    }
}

fn start_worker(shared: &Arc<Shared>, id: &str) -> io::Result<(Child, SocketAddr)> {
    let mut child = Command::new(std::env::current_exe()?)
        .args(["worker", id])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()?;
    let mut lines = BufReader::new(child.stdout.take().expect("it is piped")).lines();
    let address = lines.next().ok_or(io::ErrorKind::UnexpectedEof)??;
    let address = address.parse().map_err(|_| io::ErrorKind::InvalidData)?;
    let (it, id) = (Arc::clone(shared), id.to_owned());
    thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            it.record.line(&format!("{id} runs {line}"));
            it.arrivals.lock().unwrap().push(Arrival { at: Instant::now(), id: line });
        }
    });
    Ok((child, address))
}

fn put_entry(shared: &Shared, id: &str, address: SocketAddr, born: u128, sequence: u64) {
    let entry = format!(
        "{{\"service\":\"pool\",\"address\":\"{address}\",\"zone\":\"z-a\",\"version\":\"v1\",\
         \"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence},\
         \"born\":{born}}}"
    );
    shared.store.put("keyed.servers", id, entry.as_bytes());
}

impl Shared {
    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }
}

fn run() -> io::Result<bool> {
    let record = Record::create(Path::new(&std::env::args().nth(1).unwrap_or_default()))?;
    let folder = Folder::new("review-12")?;
    let store = Store::start()?;
    store.put("keyed.op", "config", config(3, &[KEY]).as_bytes());
    let shared = Arc::new(Shared {
        store: store.clone(),
        record: record.clone(),
        arrivals: Mutex::default(),
        crashes: Mutex::default(),
        is_over: AtomicBool::new(false),
    });
    let keepers: Vec<_> = (0..WORKERS)
        .map(|number| {
            let it = Arc::clone(&shared);
            thread::spawn(move || keep_worker(&it, number))
        })
        .collect();
    let mut routers = Vec::new();
    for number in 1..=2 {
        let mut router = Router::new(&folder.0, &format!("front-{number}"), &store, &record)?;
        router.start()?;
        routers.push(router);
    }
    if !routers.iter().all(|it| it.until_ready(Duration::from_secs(15))) {
        return Err(io::Error::other("the routers do not become ready"));
    }
    thread::sleep(CONTACT_TIME + Duration::from_secs(1));

    // Sound requests of other callers.
    let callers: Vec<SocketAddr> = routers.iter().map(|it| it.callers).collect();
    let (it, to) = (Arc::clone(&shared), callers.clone());
    let sound = thread::spawn(move || {
        let (mut sent, mut served) = (0, 0);
        while !it.is_over() {
            let id = format!("sound-{sent}");
            let bytes = request("GET", "/read/sound", &id, KEY, 2_000, "");
            let answer = exchange(to[sent % to.len()], &bytes, Duration::from_secs(3));
            sent += 1;
            served += usize::from(answer.is_ok_and(|it| it.is_some_and(|it| it.status() == 200)));
            thread::sleep(Duration::from_millis(50));
        }
        (sent, served)
    });
    for round in 0..ROUNDS {
        // A client tries once, and once more on a new connection after a failure.
        for attempt in 0..2 {
            let id = format!("poison-{round}-{attempt}");
            let bytes = request("GET", PATH, &id, KEY, 4_000, "");
            record.line(&format!("{id} is sent"));
            let to = callers[(round + attempt) % callers.len()];
            let answer = exchange(to, &bytes, Duration::from_secs(5));
            let status = answer.ok().flatten().map_or(0, |it| it.status());
            record.line(&format!("{id} gets {status}"));
            // An idempotent request is tried again after any failure; after a 503 later.
            if status == 200 || status == 503 {
                break;
            }
            thread::sleep(RETRY_DELAY);
        }
        thread::sleep(COME_AGAIN);
    }
    shared.is_over.store(true, Ordering::Relaxed);
    let (sent, served) = sound.join().map_err(|_| io::Error::other("the client ended"))?;
    keepers.into_iter().for_each(|it| drop(it.join()));

    let mut crashes = shared.crashes.lock().unwrap().clone();
    crashes.sort();
    let arrivals = shared.arrivals.lock().unwrap();
    let late = crashes.get(2).map_or(0, |third| {
        let is_late = |it: &&Arrival| it.id.starts_with("poison") && it.at > *third + CONTACT_TIME;
        arrivals.iter().filter(is_late).count()
    });
    record.line(&format!("{} crashes; {served} of {sent} sound requests were served", crashes.len()));
    record.line(&format!(
        "the request reached workers {late} times later than contactMs after the third crash; \
         {MAX_RETRIES} are allowed"
    ));
    if served == 0 {
        return Err(io::Error::other("no sound request was served"));
    }
    Ok(late <= MAX_RETRIES)
}
