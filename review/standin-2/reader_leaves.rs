//! Workers leave right after one of five machines was partitioned from the platform's store.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{connect, encode_request, new_id};
use crate::config::{Route, encode_config};
use crate::record::Record;
use crate::router::{Machine, Router};
use crate::store::{Access, Store, View};
use crate::worker::{Worker, keep_beating};
use crate::{folder, is_disrupted, unable};

const ROUTERS: usize = 5;
const WORKERS: usize = 16;
/// Workers that leave after each cut, of those that serve.
const LEAVING: usize = 4;
const ROUNDS: usize = 3;
/// Clients of each machine.
const CLIENTS: usize = 3;
/// Pause before each of them leaves.
const LEAVE_PAUSE: Duration = Duration::from_millis(150);
/// `drainMs`.
const DRAIN: Duration = Duration::from_millis(2_000);
/// How long one machine does not reach the store.
const CUT: Duration = Duration::from_millis(4_000);
/// A client sends its next request so long after the former one was answered.
const PAUSE: Duration = Duration::from_millis(10);

pub fn run(record: &Record) -> bool {
    let folder = folder();
    let store = Store::new(record);
    let workers: Vec<Arc<Worker>> = (0..WORKERS)
        .map(|it| {
            Worker::start(&format!("i-{it}"), "app", "v1", |worker, request, connection| {
                thread::sleep(Duration::from_millis(2));
                connection.send(&worker.reply(request, b"{}")).is_ok()
            })
        })
        .collect();
    keep_beating(&workers, &store);
    let route =
        Route { prefix: "/read/", kind: "idempotent", service: "app", attempts: 2, resume: false };
    store.put("keyed.op", "config", &encode_config(3, &[route], &["app"]));
    let views: Vec<Arc<View>> = (0..ROUTERS).map(|_| store.view()).collect();
    let zones = ["a", "a", "b", "c", "b"];
    let mut routers: Vec<Router> = Vec::new();
    for it in 0..ROUTERS {
        let name = format!("front-{}", it + 1);
        let machine =
            Machine { name: &name, zone: zones[it], store: views[it].address, memory_mb: 520 };
        routers.push(Router::start(&folder, &machine));
    }
    routers.iter().for_each(|it| it.wait_ready(Duration::from_secs(15)));
    thread::sleep(Duration::from_secs(10));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..ROUTERS * CLIENTS)
        .map(|it| {
            let (address, record, stop) =
                (routers[it / CLIENTS].callers, record.clone(), Arc::clone(&stop));
            thread::spawn(move || client(it / CLIENTS, address, &record, &stop))
        })
        .collect();
    let mut leaves: Vec<(usize, Instant, usize)> = Vec::new();
    let mut next = 0;
    for round in 0..ROUNDS {
        let readers = readers(&views);
        record.say(&format!("machines that read the list of workers: {readers:?}"));
        if readers.len() != 2 {
            unable("not two of the machines read the list of workers");
        }
        let cut = readers[round % readers.len()];
        if is_disrupted() {
            record.say(&format!("front-{} is partitioned from the store", cut + 1));
            views[cut].set(Access::Reset);
        }
        thread::sleep(CUT);
        record.say(&format!("front-{} reaches the store", cut + 1));
        views[cut].set(Access::Open);
        for _ in 0..LEAVING {
            leaves.push((next, workers[next].leave(&store), cut));
            next += 1;
            thread::sleep(LEAVE_PAUSE);
        }
        thread::sleep(Duration::from_secs(8));
    }
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|it| it.join().unwrap());
    judge(record, &workers, &leaves)
}

fn client(router: usize, address: std::net::SocketAddr, record: &Record, stop: &AtomicBool) {
    let Ok(mut connection) = connect(address) else { return };
    while !stop.load(Ordering::SeqCst) {
        let id = new_id(router);
        let request = encode_request("GET", "/read/stock", &id, 4_000, b"");
        let sent = Instant::now();
        let answer = connection.send(&request).and_then(|()| connection.answer());
        match answer {
            Ok(it) => {
                record.line_at(sent, &format!("{id} to front-{}: {}", router + 1, it.status()));
            }
            Err(e) => {
                record.line_at(sent, &format!("{id} to front-{}: {e}", router + 1));
                match connect(address) {
                    Ok(it) => connection = it,
                    Err(_) => return,
                }
            }
        }
        thread::sleep(PAUSE);
    }
}

/// The machines that read the list of workers from the store all the time.
fn readers(views: &[Arc<View>]) -> Vec<usize> {
    let since = Instant::now();
    thread::sleep(Duration::from_secs(3));
    let count = |it: &usize| views[*it].count("log-read?topic=keyed.servers", since);
    (0..views.len()).filter(|it| count(it) >= 3).collect()
}

/// Whether a request reached a worker too long after its entry was removed, from a machine that
/// reached the store all the while.
fn judge(record: &Record, workers: &[Arc<Worker>], leaves: &[(usize, Instant, usize)]) -> bool {
    let mut late = 0;
    for (worker, at, cut) in leaves {
        let worker = &workers[*worker];
        for run in worker.runs.lock().unwrap().iter().filter(|it| it.at > *at) {
            let router = usize::from_str_radix(&run.id[..2], 16).unwrap_or(0);
            let after = run.at.duration_since(*at);
            let is_in_touch = router != *cut;
            let is_late = after > DRAIN && is_in_touch;
            late += usize::from(is_late);
            if after > DRAIN {
                record.line_at(
                    run.at,
                    &format!(
                        "{}: runs {} from front-{} {:.3} s after its entry was removed{}",
                        worker.id,
                        run.id,
                        router + 1,
                        after.as_secs_f64(),
                        if is_late { "" } else { " (not in touch)" }
                    ),
                );
            }
        }
        let last = worker.runs.lock().unwrap().iter().map(|it| it.at).max();
        let last = last.map_or(0.0, |it| it.saturating_duration_since(*at).as_secs_f64());
        record.say(&format!("{}: last request {last:.3} s after its entry was removed", worker.id));
    }
    record.say(&format!("requests too late, from machines in touch: {late}"));
    late > 0
}
