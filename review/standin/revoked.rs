//! CONFIG: a router that reaches the store again after a while lets requests run with a key that
//! was taken away long before.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::client::{Attempt, Outcome};
use crate::config::{Config, put_version};
use crate::router::RouterMachine;
use crate::store::Store;
use crate::worker::{Worker, WorkerOptions};
use crate::{Setting, Verdict};

const ROUTERS: [&str; 6] = ["front-1", "front-2", "front-3", "front-4", "front-5", "front-6"];
const READY_LIMIT: Duration = Duration::from_secs(10);
/// Routes beside those in use; a configuration stays below `recordBytes`.
const MORE_ROUTES: usize = 1_000;
const RECORD_BYTES: usize = 262_144;
/// Configurations in quick succession, and the pause between two.
const STORM: u32 = 25;
const STORM_GAP: Duration = Duration::from_millis(60);
/// For how long the store turns the router away.
const REJECTED_TIME: Duration = Duration::from_secs(9);
/// `revokeMs` of the settings.
const REVOKE_LIMIT: Duration = Duration::from_millis(5_000);
/// Pause between two requests with the key.
const SEND_PAUSE: Duration = Duration::from_millis(10);
const SECOND_KEYS: &str = "\"key-2\"";

pub fn run(setting: &Setting) -> io::Result<Verdict> {
    let record = &setting.record;
    let store = Store::start()?;
    let mut config = Config { version: 1, more_routes: MORE_ROUTES, second_keys: SECOND_KEYS };
    let length = put_version(&store, &config);
    record.line(format!("a configuration has {length} bytes"));
    if length > RECORD_BYTES {
        return Ok(Verdict::Void("the configuration is larger than a record may be".to_owned()));
    }
    let options = WorkerOptions {
        id: "a-1",
        version: "v1",
        slots: 64,
        queue: 64,
        events: 0,
        gap: Duration::ZERO,
        work: Duration::from_millis(10),
        answer_bytes: 800,
        drops: true,
    };
    let worker = Worker::start(options, record)?;
    worker.register(&store);
    // The store will turn the first router away.
    let other = store.start_other()?;
    let mut routers = Vec::new();
    for (number, name) in ROUTERS.into_iter().enumerate() {
        let address = if number == 0 { other.address } else { store.address };
        routers.push(RouterMachine::new(name, address, &setting.work, record)?);
    }
    for it in &mut routers {
        it.start()?;
    }
    if !routers.iter().all(|it| it.wait_ready(READY_LIMIT)) {
        return Ok(Verdict::Void("a router is not ready".to_owned()));
    }
    sleep(Duration::from_secs(4));
    let began = Instant::now();
    let requests = start_requests(routers[0].callers, Duration::from_secs(14));
    sleep(Duration::from_millis(500));
    if setting.trouble {
        other.set_rejects(true);
        record.line("the store turns front-1 away");
    }
    let rejected = Instant::now();
    for _ in 0..STORM {
        sleep(STORM_GAP);
        config.version += 1;
        put_version(&store, &config);
    }
    record.line(format!("{STORM} configurations are acknowledged"));
    sleep(Duration::from_millis(500));
    config.version += 1;
    config.second_keys = "";
    put_version(&store, &config);
    let revoked = Instant::now();
    record.line(format!("version {} takes key-2 away", config.version));
    sleep(REJECTED_TIME.saturating_sub(rejected.elapsed()));
    other.set_rejects(false);
    record.line("the store serves front-1");
    let mut statuses: HashMap<Option<u16>, usize> = HashMap::new();
    let mut sent_at = HashMap::new();
    for (id, sent, outcome) in requests.iter() {
        if sent > revoked + REVOKE_LIMIT {
            *statuses.entry(outcome.status).or_default() += 1;
        }
        sent_at.insert(id, sent);
    }
    let late = |id: &str| {
        let sent: Instant = *sent_at.get(id)?;
        (sent > revoked + REVOKE_LIMIT).then(|| sent - revoked)
    };
    let runs = worker.runs();
    let ran_late: Vec<(&str, Duration)> =
        runs.iter().filter_map(|it| Some((it.request.as_str(), late(&it.request)?))).collect();
    for (id, age) in &ran_late {
        record.line(format!("{id} was sent {age:?} after key-2 was taken away, and ran"));
    }
    let before = runs.iter().filter(|it| it.began < began + Duration::from_millis(500)).count();
    record.line(format!(
        "requests with key-2, sent later than 5 s after it was taken away: answers {statuses:?}, {} \
         ran; {before} ran in the first half second",
        ran_late.len()
    ));
    if before == 0 {
        return Ok(Verdict::Void("the key was never accepted".to_owned()));
    }
    Ok(if ran_late.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// Sends requests with the key of the second tenant for `time`.
fn start_requests(router: SocketAddr, time: Duration) -> Receiver<(String, Instant, Outcome)> {
    let (sender, receiver) = channel();
    thread::spawn(move || {
        let until = Instant::now() + time;
        let mut number = 0;
        while Instant::now() < until {
            number += 1;
            let attempt = Attempt {
                router,
                id: format!("read-{number}"),
                path: "/read/x".to_owned(),
                deadline: Duration::from_secs(4),
                resumes: None,
                body: Arc::from(*b"words"),
                rate: None,
                key: "key-2",
            };
            let sender = sender.clone();
            thread::spawn(move || {
                let sent = Instant::now();
                let outcome = attempt.send();
                let _ = sender.send((attempt.id, sent, outcome));
            });
            sleep(SEND_PAUSE);
        }
    });
    receiver
}
