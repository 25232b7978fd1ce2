//! LOST: a router that was told to stop ends streams of a sound server, which fell silent for a
//! moment, as no other server takes them.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::client::{Attempt, Outcome};
use crate::config::put_config;
use crate::router::{RouterMachine, SIGTERM};
use crate::store::Store;
use crate::streams::{Chat, Patience, start_chat};
use crate::worker::{Worker, WorkerOptions};
use crate::{Setting, Verdict};

const READY_LIMIT: Duration = Duration::from_secs(10);
const DEADLINE: Duration = Duration::from_secs(12);
const SLOTS: usize = 4;
const QUEUE: usize = 2;
/// "A sound worker may fall silent for a second or so and go on."
const SILENCE: Duration = Duration::from_millis(1_400);

fn options(id: &'static str) -> WorkerOptions {
    WorkerOptions {
        id,
        version: "v1",
        slots: SLOTS,
        queue: QUEUE,
        events: 16,
        gap: Duration::from_millis(200),
        work: Duration::from_millis(60),
        answer_bytes: 800,
        drops: true,
    }
}

pub fn run(setting: &Setting) -> io::Result<Verdict> {
    let record = &setting.record;
    let store = Store::start()?;
    put_config(&store);
    let workers: Vec<Worker> = ["a-1", "a-2"]
        .into_iter()
        .map(|id| Worker::start(options(id), record))
        .collect::<io::Result<_>>()?;
    workers.iter().for_each(|it| it.register(&store));
    let mut router = RouterMachine::new("front-1", store.address, &setting.work, record)?;
    router.start()?;
    if !router.wait_ready(READY_LIMIT) {
        return Ok(Verdict::Void("the router is not ready".to_owned()));
    }
    sleep(Duration::from_secs(4));
    short_requests(router.callers, 120);
    // Both servers are busy with streams: all slots taken, and as many waiting as there is room.
    let once = Patience { retries: 0, pause: Duration::ZERO };
    let mut chats = Vec::new();
    for number in 0..4 * (SLOTS + QUEUE) {
        let (a, b) = (workers[0].load(), workers[1].load());
        if [a, b].iter().all(|it| it.0 + it.1 >= SLOTS + QUEUE) {
            break;
        }
        let name = format!("chat-{number}");
        chats.push(start_chat(name, vec![router.callers], DEADLINE, once.clone(), record));
        sleep(Duration::from_millis(40));
    }
    sleep(Duration::from_millis(50));
    record.line(format!("load of the servers: {:?}, {:?}", workers[0].load(), workers[1].load()));
    router.signal(SIGTERM);
    sleep(Duration::from_millis(100));
    if setting.trouble {
        workers[0].fall_silent(SILENCE);
    }
    let chats: Vec<Chat> = chats.into_iter().filter_map(|it| it.recv().ok()).collect();
    router.wait();
    let cut = |it: &&Chat| {
        let outcome = &it.attempts[0].outcome;
        outcome.status == Some(200) && !outcome.complete
    };
    let refused = chats.iter().filter(|it| it.attempts[0].outcome.status == Some(503)).count();
    let complete = chats.iter().filter(|it| it.is_complete()).count();
    let lost: Vec<&str> = chats.iter().filter(cut).map(|it| it.name.as_str()).collect();
    record.line(format!(
        "{} streams: {complete} complete, {refused} refused with 503, {} ended early: {lost:?}",
        chats.len(),
        lost.len()
    ));
    Ok(if lost.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// Short requests, a few at a time, as the service serves all the while.
fn short_requests(router: SocketAddr, count: usize) {
    let (sender, receiver) = channel();
    for lane in 0..2 {
        let sender = sender.clone();
        thread::spawn(move || {
            for number in 0..count / 2 {
                let attempt = Attempt {
                    router,
                    id: format!("short-{lane}-{number}"),
                    path: "/read/x".to_owned(),
                    deadline: Duration::from_secs(4),
                    resumes: None,
                    body: Arc::from(*b"words"),
                    rate: None,
                    key: "key-1",
                };
                let _: Outcome = attempt.send();
            }
            let _ = sender.send(Instant::now());
        });
    }
    drop(sender);
    while receiver.recv().is_ok() {}
}
