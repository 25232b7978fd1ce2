//! ORDER: all routers are killed after the second half of a release. Streams that the former
//! software version began, and that clients take up afterwards, go on at the new version.

use std::io;
use std::thread::sleep;
use std::time::Duration;

use crate::config::put_config;
use crate::record::Record;
use crate::router::{RouterMachine, SIGKILL};
use crate::store::Store;
use crate::streams::{Chat, Patience, start_chat};
use crate::worker::{Worker, WorkerOptions};
use crate::{Setting, Verdict};

const STREAMS: usize = 24;
/// The rule allows two.
const ALLOWED: usize = 2;
const READY_LIMIT: Duration = Duration::from_secs(10);
const DEADLINE: Duration = Duration::from_secs(12);
/// How long after its end the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

fn options(id: &'static str, version: &'static str) -> WorkerOptions {
    WorkerOptions {
        id,
        version,
        slots: 16,
        queue: 16,
        events: 32,
        gap: Duration::from_millis(200),
        work: Duration::from_millis(60),
        answer_bytes: 800,
        drops: true,
    }
}

fn start_all(
    ids: &[&'static str],
    version: &'static str,
    record: &Record,
) -> io::Result<Vec<Worker>> {
    ids.iter().map(|id| Worker::start(options(id, version), record)).collect()
}

pub fn run(setting: &Setting) -> io::Result<Verdict> {
    let record = &setting.record;
    let store = Store::start()?;
    put_config(&store);
    // Half of the servers have been replaced already.
    let old = start_all(&["a-1", "a-2"], "v1", record)?;
    let first = start_all(&["b-1", "b-2"], "v2", record)?;
    old.iter().chain(&first).for_each(|it| it.register(&store));
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
    // The fleet has been in touch for a while.
    sleep(Duration::from_secs(4));
    let addresses = [routers[0].callers, routers[1].callers];
    let patience = Patience { retries: 4, pause: Duration::from_millis(1_000) };
    let chats: Vec<_> = (0..STREAMS)
        .map(|number| {
            let own = vec![addresses[number % 2], addresses[(number + 1) % 2]];
            start_chat(format!("chat-{number}"), own, DEADLINE, patience.clone(), record)
        })
        .collect();
    // The others are replaced one after the other: the new one starts first. The old ones never
    // report that they drain: their entries are removed, and they serve on.
    sleep(Duration::from_millis(500));
    let second = start_all(&["b-3", "b-4"], "v2", record)?;
    for (old, new) in old.iter().zip(&second) {
        new.register(&store);
        sleep(Duration::from_millis(500));
        old.unregister(&store);
    }
    sleep(Duration::from_millis(500));
    if setting.trouble {
        routers.iter().for_each(|it| it.signal(SIGKILL));
        routers.iter_mut().for_each(RouterMachine::wait);
        sleep(RESTART_DELAY);
        for it in &mut routers {
            it.start()?;
        }
    }
    let chats: Vec<Chat> = chats.into_iter().filter_map(|it| it.recv().ok()).collect();
    let complete = chats.iter().filter(|it| it.is_complete()).count();
    let mut mixed = 0;
    for it in &chats {
        let versions = it.versions();
        let numbers: Vec<u64> = it.events().map(|it| it.number).collect();
        record.line(format!(
            "{} has {} events of {versions:?}, in {} attempts",
            it.name,
            numbers.len(),
            it.attempts.len()
        ));
        mixed += usize::from(versions.len() > 1);
    }
    record.line(format!("{STREAMS} streams, {complete} complete, {mixed} of two versions"));
    if !setting.trouble && complete < STREAMS {
        return Ok(Verdict::Void("streams are not complete without the disruption".to_owned()));
    }
    Ok(if mixed > ALLOWED { Verdict::Broken } else { Verdict::Held })
}
