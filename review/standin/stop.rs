//! LOST: a router that was told to stop ends while an answer is still on its way to a client with
//! a slow link, long before the end of `graceS`.

use std::io;
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::client::Attempt;
use crate::config::put_config;
use crate::router::{RouterMachine, SIGTERM};
use crate::store::Store;
use crate::worker::{Worker, WorkerOptions};
use crate::{Setting, Verdict};

const READY_LIMIT: Duration = Duration::from_secs(10);
const DEADLINE: Duration = Duration::from_secs(12);
const CLIENTS: usize = 4;
const ANSWER_BYTES: usize = 3_000_000;
/// 4.8 Mbit a second: an answer takes 5 s.
const LINK_RATE: usize = 600_000;
/// Clients keep the address of a router for `ttlS`, 2 s, and longer.
const SEND_DELAY: Duration = Duration::from_millis(1_500);

pub fn run(setting: &Setting) -> io::Result<Verdict> {
    let record = &setting.record;
    let store = Store::start()?;
    put_config(&store);
    let options = WorkerOptions {
        id: "a-1",
        version: "v1",
        slots: 16,
        queue: 16,
        events: 0,
        gap: Duration::ZERO,
        work: Duration::from_millis(60),
        answer_bytes: ANSWER_BYTES,
        drops: true,
    };
    let worker = Worker::start(options, record)?;
    worker.register(&store);
    let mut router = RouterMachine::new("front-1", store.address, &setting.work, record)?;
    router.start()?;
    if !router.wait_ready(READY_LIMIT) {
        return Ok(Verdict::Void("the router is not ready".to_owned()));
    }
    sleep(Duration::from_secs(4));
    if setting.trouble {
        router.signal(SIGTERM);
    }
    sleep(SEND_DELAY);
    let (sender, receiver) = channel();
    for number in 0..CLIENTS {
        let attempt = Attempt {
            router: router.callers,
            id: format!("fetch-{number}"),
            path: "/fetch/x".to_owned(),
            deadline: DEADLINE,
            resumes: None,
            body: Arc::from(*b"words"),
            rate: Some(LINK_RATE),
            key: "key-1",
        };
        let (sender, record) = (sender.clone(), record.clone());
        thread::spawn(move || {
            record.line(format!("client sends {}", attempt.id));
            let sent = Instant::now();
            let outcome = attempt.send();
            record.line(format!(
                "client has {} after {:?}: {}",
                attempt.id,
                sent.elapsed(),
                outcome.text()
            ));
            let _ = sender.send(outcome);
        });
    }
    drop(sender);
    if setting.trouble {
        router.wait();
    }
    let outcomes: Vec<_> = receiver.iter().collect();
    let lost = outcomes.iter().filter(|it| it.status == Some(200) && !it.complete).count();
    let complete = outcomes.iter().filter(|it| it.status == Some(200) && it.complete).count();
    record.line(format!("{CLIENTS} answers: {complete} complete, {lost} ended early"));
    if complete + lost < CLIENTS {
        return Ok(Verdict::Void("not all requests were answered".to_owned()));
    }
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}
