//! Fault: routers exceed their memory and are killed, as they keep the bodies of all requests in
//! progress, with no limit on their sum.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::client::{Attempt, Outcome};
use crate::config::put_config;
use crate::record::Record;
use crate::router::{RouterMachine, SIGKILL};
use crate::store::Store;
use crate::worker::{Worker, WorkerOptions};
use crate::{Setting, Verdict};

const READY_LIMIT: Duration = Duration::from_secs(10);
const DEADLINE: Duration = Duration::from_secs(12);
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Requests at one router, and the pause between two.
const CLIENTS: usize = 160;
const SEND_PAUSE: Duration = Duration::from_millis(15);
/// `maxBodyBytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;
/// Mean of the longest prompts of the site.
const USUAL_BODY_BYTES: usize = 12_000;
/// `limits.memoryMb` of the settings.
const MEMORY_MB: u64 = 520;
/// How often a process ends by itself, from which the rule counts.
const ENDS: usize = 3;
const ROUND_LIMIT: Duration = Duration::from_secs(9);

pub fn run(setting: &Setting) -> io::Result<Verdict> {
    let record = &setting.record;
    let store = Store::start()?;
    put_config(&store);
    for id in ["a-1", "a-2", "a-3", "a-4", "a-5", "a-6"] {
        let options = WorkerOptions {
            id,
            version: "v1",
            slots: 64,
            queue: 192,
            events: 25,
            gap: Duration::from_millis(200),
            work: Duration::from_millis(60),
            answer_bytes: 800,
            drops: true,
        };
        Worker::start(options, record)?.register(&store);
    }
    let mut routers = vec![
        RouterMachine::new("front-1", store.address, &setting.work, record)?,
        RouterMachine::new("front-2", store.address, &setting.work, record)?,
    ];
    for it in &mut routers {
        it.start()?;
    }
    if !routers.iter().all(|it| it.wait_ready(READY_LIMIT)) {
        return Ok(Verdict::Void("a router is not ready".to_owned()));
    }
    sleep(Duration::from_secs(4));
    let length = if setting.trouble { BODY_BYTES } else { USUAL_BODY_BYTES };
    let body: Arc<[u8]> = vec![b'w'; length].into();
    let mut machines = Vec::new();
    for it in routers {
        let (record, body) = (record.clone(), Arc::clone(&body));
        machines.push(thread::spawn(move || rounds(it, &body, &record)));
    }
    let mut ends = Vec::new();
    for it in machines {
        match it.join() {
            Ok(count) => ends.push(count?),
            Err(_) => return Ok(Verdict::Void("a thread has failed".to_owned())),
        }
    }
    record.line(format!("processes were killed for their memory so often: {ends:?}"));
    let is_broken = ends.iter().filter(|it| **it >= ENDS).count() >= 2;
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

/// Sends a burst of requests to a router, again after each start; returns how often it was killed
/// for its memory, as the platform does.
fn rounds(mut router: RouterMachine, body: &Arc<[u8]>, record: &Record) -> io::Result<usize> {
    let mut kills = 0;
    for round in 1..=ENDS {
        let clients = start_clients(router.name, round, router.callers, body);
        let began = Instant::now();
        let mut most = 0;
        while most <= MEMORY_MB && began.elapsed() < ROUND_LIMIT {
            most = memory_mb(router.pid().unwrap_or(0)).max(most);
            sleep(Duration::from_millis(20));
        }
        record.line(format!("router {} has used {most} MB in round {round}", router.name));
        if most > MEMORY_MB {
            record.line("that is more than `memoryMb`: the platform kills it");
            router.signal(SIGKILL);
            router.wait();
            kills += 1;
        }
        let outcomes: Vec<Outcome> = clients.iter().collect();
        let complete = outcomes.iter().filter(|it| it.status == Some(200) && it.complete).count();
        let cut = outcomes.iter().filter(|it| !it.complete).count();
        record.line(format!(
            "{CLIENTS} requests at {}: {complete} complete, {cut} without a complete answer",
            router.name
        ));
        if most > MEMORY_MB && round < ENDS {
            sleep(RESTART_DELAY);
            router.start()?;
            router.wait_ready(READY_LIMIT);
            sleep(Duration::from_millis(1_000));
        }
    }
    Ok(kills)
}

fn start_clients(
    name: &'static str,
    round: usize,
    router: SocketAddr,
    body: &Arc<[u8]>,
) -> Receiver<Outcome> {
    let (sender, receiver) = channel();
    let body = Arc::clone(body);
    thread::spawn(move || {
        for number in 0..CLIENTS {
            let attempt = Attempt {
                router,
                id: format!("{name}-{round}-{number}"),
                path: "/stream/x".to_owned(),
                deadline: DEADLINE,
                resumes: None,
                body: Arc::clone(&body),
                rate: None,
                key: "key-1",
            };
            let sender = sender.clone();
            thread::spawn(move || sender.send(attempt.send()));
            sleep(SEND_PAUSE);
        }
    });
    receiver
}

fn memory_mb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    line.and_then(|it| it.split_whitespace().next()?.parse::<u64>().ok()).unwrap_or(0) / 1024
}
