//! Case 11: the platform's store comes back from a copy some seconds old, and a machine is added
//! before the operator has written again. The new router takes the older configuration for the
//! newest, though the other routers tell it that there is a newer one.

#[path = "platform.rs"]
mod platform;

use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use platform::{Folder, Record, Router, Store, Worker, config, exchange, has_trouble, request};

const KEPT_KEY: &str = "key-kept";
const REVOKED_KEY: &str = "key-revoked";
/// `bounds.revokeMs`.
const REVOKE_TIME: Duration = Duration::from_millis(5_000);
/// Age of the copy as of the acknowledgement: some seconds, with the time until it is in force.
const COPY_AGE: Duration = Duration::from_secs(1);
/// When the store goes away, comes back and is written to again, after the acknowledgement.
const AWAY_AT: Duration = Duration::from_millis(3_000);
const BACK_AT: Duration = Duration::from_millis(4_000);
const WRITTEN_AGAIN_AT: Duration = Duration::from_millis(6_000);
/// When the new machine starts.
const ADDED_AT: Duration = Duration::from_millis(4_200);
const END_AT: Duration = Duration::from_millis(9_000);
/// Pause between two requests with the revoked key.
const PAUSE: Duration = Duration::from_millis(50);

fn main() -> ExitCode {
    match run() {
        Ok(held) => ExitCode::from(if held { 0 } else { 1 }),
        Err(e) => {
            eprintln!("could not run: {e}");
            ExitCode::from(2)
        }
    }
}

fn run() -> io::Result<bool> {
    let record = Record::create(Path::new(&std::env::args().nth(1).unwrap_or_default()))?;
    let folder = Folder::new("review-11")?;
    let store = Store::start()?;
    store.put("keyed.op", "config", config(3, &[KEPT_KEY, REVOKED_KEY]).as_bytes());
    let mut workers = Vec::new();
    for number in 0..2 {
        let behave = Arc::new(|it: &Worker, request: &platform::Message, stream: &mut _| {
            it.health(request, stream).unwrap_or_else(|| it.answer(request, stream))
        });
        let worker = Worker::start(&format!("i-{number}"), "pool", &record, behave)?;
        worker.register(&store);
        workers.push(worker);
    }
    let mut routers = Vec::new();
    for number in 1..=2 {
        let mut router = Router::new(&folder.0, &format!("front-{number}"), &store, &record)?;
        router.start()?;
        routers.push(router);
    }
    if !routers.iter().all(|it| it.until_ready(Duration::from_secs(15))) {
        return Err(io::Error::other("the routers do not become ready"));
    }
    thread::sleep(Duration::from_secs(4));
    for (number, router) in routers.iter().enumerate() {
        let status = send(router, &format!("before-{number}"), REVOKED_KEY, &record)?;
        if status != 200 {
            return Err(io::Error::other("the key does not serve before it is taken away"));
        }
    }

    let copy = store.copy();
    thread::sleep(COPY_AGE);
    let acked = Instant::now();
    store.put("keyed.op", "config", config(7, &[KEPT_KEY]).as_bytes());
    record.line("the store acknowledges version 7, without the key");

    until(acked + AWAY_AT);
    if has_trouble() {
        store.set_up(false);
        record.line("the store is away");
    }
    until(acked + BACK_AT);
    if has_trouble() {
        store.restore(&copy);
        record.line("the store is back from a copy, with the next Store-Era");
    }
    until(acked + ADDED_AT);
    let mut added = Router::new(&folder.0, "front-3", &store, &record)?;
    added.start()?;
    let mut is_written = !has_trouble();
    let mut sent = 0;
    while acked.elapsed() < END_AT {
        if !is_written && acked.elapsed() >= WRITTEN_AGAIN_AT {
            store.put("keyed.op", "config", config(7, &[KEPT_KEY]).as_bytes());
            record.line("the operator has written version 7 again");
            is_written = true;
        }
        let is_late = acked.elapsed() > REVOKE_TIME;
        let phase = if is_late { "late" } else { "soon" };
        for router in routers.iter().chain([&added]) {
            // A router that has just started may not accept connections yet.
            let _ = send(router, &format!("{phase}-{}-{sent}", router.name), REVOKED_KEY, &record);
        }
        sent += 1;
        thread::sleep(PAUSE);
    }
    let serves = send(&added, "after", KEPT_KEY, &record)?;
    if serves != 200 {
        return Err(io::Error::other("the added router does not serve"));
    }
    let runs = workers.iter().flat_map(|it| it.runs.lock().unwrap().clone());
    let late = runs.filter(|it| it.id().starts_with("late-")).count();
    record.line(&format!("{late} requests ran that were sent later than revokeMs after the acknowledgement"));
    Ok(late == 0)
}

fn send(router: &Router, id: &str, key: &str, record: &Record) -> io::Result<u16> {
    record.line(&format!("{id} is sent to {} with {key}", router.name));
    let bytes = request("GET", "/read/a", id, key, 2_000, "");
    let answer = exchange(router.callers, &bytes, Duration::from_secs(3));
    let status = answer.as_ref().map_or(0, |it| it.as_ref().map_or(0, platform::Message::status));
    record.line(&format!("{id} gets {status}"));
    answer.map(|_| status)
}

fn until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
