//! TWICE: streams of a sound server that falls silent for a moment are run at another server too,
//! while the first one still works on them.

use std::io;
use std::thread::sleep;
use std::time::Duration;

use crate::config::put_config;
use crate::router::RouterMachine;
use crate::store::Store;
use crate::streams::{Chat, Patience, start_chat};
use crate::worker::{Run, Worker, WorkerOptions};
use crate::{Setting, Verdict};

const READY_LIMIT: Duration = Duration::from_secs(10);
const DEADLINE: Duration = Duration::from_secs(12);
const STREAMS: usize = 12;
/// "A sound worker may fall silent for a second or so and go on."
const SILENCE: Duration = Duration::from_millis(1_400);
/// The rule counts a worker that still works on a request so long after another one began.
const OVERLAP: Duration = Duration::from_millis(400);

pub fn run(setting: &Setting) -> io::Result<Verdict> {
    let record = &setting.record;
    let store = Store::start()?;
    put_config(&store);
    let workers: Vec<Worker> = ["a-1", "a-2"]
        .into_iter()
        .map(|id| {
            let options = WorkerOptions {
                id,
                version: "v1",
                slots: 16,
                queue: 16,
                events: 25,
                gap: Duration::from_millis(200),
                work: Duration::from_millis(60),
                answer_bytes: 800,
                drops: false,
            };
            Worker::start(options, record)
        })
        .collect::<io::Result<_>>()?;
    workers.iter().for_each(|it| it.register(&store));
    let mut router = RouterMachine::new("front-1", store.address, &setting.work, record)?;
    router.start()?;
    if !router.wait_ready(READY_LIMIT) {
        return Ok(Verdict::Void("the router is not ready".to_owned()));
    }
    sleep(Duration::from_secs(4));
    let once = Patience { retries: 0, pause: Duration::ZERO };
    let chats: Vec<_> = (0..STREAMS)
        .map(|number| {
            let name = format!("chat-{number}");
            start_chat(name, vec![router.callers], DEADLINE, once.clone(), record)
        })
        .collect();
    sleep(Duration::from_millis(1_500));
    if setting.trouble {
        workers[0].fall_silent(SILENCE);
    }
    let chats: Vec<Chat> = chats.into_iter().filter_map(|it| it.recv().ok()).collect();
    let complete = chats.iter().filter(|it| it.is_complete()).count();
    // The last runs of the first server may still go on.
    sleep(Duration::from_secs(3));
    let (first, second) = (workers[0].runs(), workers[1].runs());
    let mut twice = 0;
    for it in &first {
        let Some(other) = second.iter().find(|other| other.request == it.request) else {
            continue;
        };
        let (before, after) = if it.began < other.began { (it, other) } else { (other, it) };
        if let Some(overlap) = overlap(before, after) {
            record.line(format!(
                "{} went on at another server, and the one before worked on it for {overlap:?} more",
                it.request
            ));
            twice += usize::from(overlap > OVERLAP);
        }
    }
    record.line(format!(
        "{STREAMS} streams, {complete} complete, {twice} worked on by two servers at a time"
    ));
    if complete < STREAMS {
        return Ok(Verdict::Void("not all streams are complete".to_owned()));
    }
    Ok(if twice > 0 { Verdict::Broken } else { Verdict::Held })
}

/// How long the server `before` worked on a request after the server `after` had begun.
fn overlap(before: &Run, after: &Run) -> Option<Duration> {
    before.ended.map(|it| it.saturating_duration_since(after.began))
}
