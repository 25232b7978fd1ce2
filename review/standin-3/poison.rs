//! Cases 11 to 13 and 15: a request that crashes each worker which begins to run it.
//!
//! `poison all RECORD`: it takes all workers of a small service down at once, again and again. The
//! routers take the crashes for a cut of their own and never count them.
//! `poison again RECORD`: it comes again after more than a minute. The routers have forgotten the
//! crashes by then, and let it crash as many workers again.
//! `poison killed RECORD`: all routers are killed at the same moment and start again. The crashes
//! are forgotten with them.
//! `poison left RECORD`: its client leaves before the worker crashes. Nobody looks any more then.
//! `poison worker ID` is a worker process that crashes on such a request.

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
/// The path with which the worker crashes later.
const LATE: &str = "/read/poison/late";
/// How long the client waits before it leaves: half of the objective of 300 ms.
const LEAVE_TIME: Duration = Duration::from_millis(150);
/// Work on the request before the crash. The worker is of those that go on after a close.
const CRASH_DELAY: Duration = Duration::from_millis(300);
/// After this time a killed router starts again.
const RESTART_TIME: Duration = Duration::from_millis(500);
/// Time that a worker takes for any other request.
const WORK_TIME: Duration = Duration::from_millis(60);
/// `bounds.contactMs`.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);
/// How long a crashed worker is down: some seconds.
const DOWN_TIME: Duration = Duration::from_millis(3_000);
/// The failure's way to the client, a new connection, and the request's way: four times the 1 ms
/// to clients.
const RETRY_DELAY: Duration = Duration::from_millis(4);
/// Retries that the rule allows later than `contactMs` after the third crash.
const MAX_RETRIES: usize = 3;

/// How a case is played.
#[derive(Clone, Copy)]
struct Mode {
    workers: usize,
    /// Pause after which the request comes again, and how often it comes.
    pause: Duration,
    rounds: usize,
    /// Before this round all routers are killed.
    killed: Option<usize>,
    /// The client leaves early, and the worker crashes only after it has left.
    is_left: bool,
}

/// As many workers as `stockroom-app` has.
const ALL: Mode = Mode {
    workers: 3,
    pause: Duration::from_millis(6_000),
    rounds: 6,
    killed: None,
    is_left: false,
};
/// Enough workers that others are there while some have crashed.
const AGAIN: Mode = Mode {
    workers: 8,
    pause: Duration::from_millis(8_000),
    rounds: 10,
    killed: None,
    is_left: false,
};
const KILLED: Mode = Mode {
    workers: 8,
    pause: Duration::from_millis(6_000),
    rounds: 4,
    killed: Some(2),
    is_left: false,
};

const LEFT: Mode = Mode {
    workers: 8,
    pause: Duration::from_millis(5_000),
    rounds: 10,
    killed: None,
    is_left: true,
};

/// A request reached a worker.
struct Arrival {
    at: Instant,
    id: String,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(mode), Some(argument)) = (arguments.get(1), arguments.get(2)) else {
        return ExitCode::from(2);
    };
    let result = match mode.as_str() {
        "worker" => return serve(argument),
        "all" => run(ALL, Path::new(argument)),
        "again" => run(AGAIN, Path::new(argument)),
        "killed" => run(KILLED, Path::new(argument)),
        "left" => run(LEFT, Path::new(argument)),
        _ => return ExitCode::from(2),
    };
    match result {
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
            if request.line.contains(LATE) {
                thread::sleep(CRASH_DELAY);
            }
            // The process ends; its port and connections close.
            std::process::exit(70);
        }
        thread::sleep(WORK_TIME);
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
    /// No more requests are sent.
    is_quiet: AtomicBool,
    /// The workers end.
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

fn run(mode: Mode, path: &Path) -> io::Result<bool> {
    let record = Record::create(path)?;
    let folder = Folder::new("review-poison")?;
    let store = Store::start()?;
    store.put("keyed.op", "config", config(3, &[KEY]).as_bytes());
    let shared = Arc::new(Shared {
        store: store.clone(),
        record: record.clone(),
        arrivals: Mutex::default(),
        crashes: Mutex::default(),
        is_quiet: AtomicBool::new(false),
        is_over: AtomicBool::new(false),
    });
    let keepers: Vec<_> = (0..mode.workers)
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

    let callers: Vec<SocketAddr> = routers.iter().map(|it| it.callers).collect();
    let sound: Vec<_> = [("GET", "/read/sound"), ("POST", "/once/sound")]
        .map(|(method, path)| {
            let (it, to) = (Arc::clone(&shared), callers.clone());
            thread::spawn(move || send_sound(&it, &to, method, path))
        })
        .into();
    for round in 0..mode.rounds {
        if has_trouble() && mode.killed == Some(round) {
            kill_all(&mut routers, &record)?;
        }
        send_poison(mode, round, &callers, &record);
        thread::sleep(mode.pause);
    }
    shared.is_quiet.store(true, Ordering::Relaxed);
    let mut served = 0;
    for it in sound {
        served += it.join().map_err(|_| io::Error::other("a client ended"))?;
    }
    shared.is_over.store(true, Ordering::Relaxed);
    keepers.into_iter().for_each(|it| drop(it.join()));

    let mut crashes = shared.crashes.lock().unwrap().clone();
    crashes.sort();
    let arrivals = shared.arrivals.lock().unwrap();
    let late = crashes.get(2).map_or(0, |third| {
        let is_late = |it: &&Arrival| it.id.starts_with("poison") && it.at > *third + CONTACT_TIME;
        arrivals.iter().filter(is_late).count()
    });
    record.line(&format!("{} crashes", crashes.len()));
    record.line(&format!(
        "the request reached workers {late} times later than contactMs after the third crash; \
         {MAX_RETRIES} are allowed"
    ));
    if served == 0 {
        return Err(io::Error::other("no sound request was served"));
    }
    Ok(late <= MAX_RETRIES)
}

/// Sends the request once, and once more on a new connection after a failure.
fn send_poison(mode: Mode, round: usize, callers: &[SocketAddr], record: &Record) {
    let path = if mode.is_left { LATE } else { PATH };
    let leaves =
        mode.is_left && has_trouble() && std::env::var("LEAVE").map_or(true, |it| it != "0");
    let patience = if leaves { LEAVE_TIME } else { Duration::from_secs(5) };
    for attempt in 0..2 {
        let id = format!("poison-{round}-{attempt}");
        let bytes = request("GET", path, &id, KEY, 4_000, "");
        record.line(&format!("{id} is sent"));
        let answer = exchange(callers[(round + attempt) % callers.len()], &bytes, patience);
        let status = answer.ok().flatten().map_or(0, |it| it.status());
        if status == 0 && leaves {
            record.line(&format!("the client of {id} has left"));
            return;
        }
        record.line(&format!("{id} gets {status}"));
        // An idempotent request is tried again after any failure; after a 503 later.
        if status == 200 || status == 503 {
            return;
        }
        thread::sleep(RETRY_DELAY);
    }
}

/// Kills all routers at the same moment; returns once they are in touch again.
fn kill_all(routers: &mut [Router], record: &Record) -> io::Result<()> {
    record.line("all routers are killed");
    routers.iter_mut().for_each(Router::kill);
    thread::sleep(RESTART_TIME);
    for it in routers.iter_mut() {
        it.start()?;
    }
    if !routers.iter().all(|it| it.until_ready(Duration::from_secs(15))) {
        return Err(io::Error::other("the routers do not become ready again"));
    }
    thread::sleep(CONTACT_TIME + Duration::from_secs(1));
    Ok(())
}

/// Sends sound requests of other paths until the end, each once; returns how many were served.
fn send_sound(shared: &Shared, to: &[SocketAddr], method: &str, path: &str) -> usize {
    let (mut sent, mut served, mut refused) = (0, 0, 0);
    let mut failed = Vec::new();
    while !shared.is_quiet.load(Ordering::Relaxed) {
        let id = format!("sound-{method}-{sent}");
        let bytes = request(method, &format!("{path}/{sent}"), &id, KEY, 2_000, "");
        let answer = exchange(to[sent % to.len()], &bytes, Duration::from_secs(3));
        sent += 1;
        match answer.ok().flatten().map_or(0, |it| it.status()) {
            200 => served += 1,
            503 => refused += 1,
            _ => failed.push(id),
        }
        thread::sleep(Duration::from_millis(20));
    }
    // What a worker prints last may still be on its way.
    thread::sleep(Duration::from_millis(200));
    let arrivals = shared.arrivals.lock().unwrap();
    let ran = failed.iter().filter(|id| arrivals.iter().any(|it| it.id == **id)).count();
    shared.record.line(&format!(
        "of {sent} sound {method} requests {served} were served and {refused} refused; {} failed, of \
         which {ran} had begun to run",
        failed.len()
    ));
    served
}
