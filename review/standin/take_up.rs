//! LOST: all routers are killed while servers of two software versions serve. Clients cannot take
//! their streams up, though two servers of each version serve all the while.

use std::io;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::config::put_config;
use crate::router::{RouterMachine, SIGKILL};
use crate::store::Store;
use crate::streams::{Chat, Patience, start_chat};
use crate::worker::{Worker, WorkerOptions};
use crate::{Setting, Verdict};

const STREAMS: usize = 24;
/// Streams that are taken up at machines in touch, from which the rule counts.
const MIN_TAKEN_UP: usize = 12;
const READY_LIMIT: Duration = Duration::from_secs(10);
const DEADLINE: Duration = Duration::from_secs(12);
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// `contactMs` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);

pub fn run(setting: &Setting) -> io::Result<Verdict> {
    let record = &setting.record;
    let store = Store::start()?;
    put_config(&store);
    let all = [("a-1", "v1"), ("a-2", "v1"), ("b-1", "v2"), ("b-2", "v2")];
    let workers: Vec<Worker> = all
        .into_iter()
        .map(|(id, version)| {
            let options = WorkerOptions {
                id,
                version,
                slots: 24,
                queue: 24,
                events: 40,
                gap: Duration::from_millis(200),
                work: Duration::from_millis(60),
                answer_bytes: 800,
                drops: true,
            };
            Worker::start(options, record)
        })
        .collect::<io::Result<_>>()?;
    workers.iter().for_each(|it| it.register(&store));
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
    let addresses = [routers[0].callers, routers[1].callers];
    let patience = Patience { retries: 5, pause: Duration::from_millis(1_500) };
    let start = |name: String, number: usize, patience: &Patience| {
        let own = vec![addresses[number % 2], addresses[(number + 1) % 2]];
        start_chat(name, own, DEADLINE, patience.clone(), record)
    };
    let chats: Vec<_> =
        (0..STREAMS).map(|number| start(format!("chat-{number}"), number, &patience)).collect();
    sleep(Duration::from_secs(2));
    let mut in_touch = Instant::now();
    if setting.trouble {
        routers.iter().for_each(|it| it.signal(SIGKILL));
        routers.iter_mut().for_each(RouterMachine::wait);
        sleep(RESTART_DELAY);
        for it in &mut routers {
            it.start()?;
        }
        in_touch = Instant::now() + CONTACT;
    }
    sleep(in_touch.saturating_duration_since(Instant::now()));
    record.line("the routers are in touch");
    let once = Patience { retries: 0, pause: Duration::ZERO };
    let new: Vec<_> = (0..STREAMS)
        .map(|number| {
            sleep(Duration::from_millis(50));
            start(format!("new-{number}"), number, &once)
        })
        .collect();
    let chats: Vec<Chat> = chats.into_iter().filter_map(|it| it.recv().ok()).collect();
    let new: Vec<Chat> = new.into_iter().filter_map(|it| it.recv().ok()).collect();
    let taken_up: Vec<&Chat> = chats
        .iter()
        .filter(|it| it.attempts.iter().any(|it| it.takes_up && it.sent >= in_touch))
        .collect();
    let goes_on = |it: &&&Chat| {
        let mut late = it.attempts.iter().filter(|it| it.takes_up && it.sent >= in_touch);
        late.any(|it| !it.outcome.events.is_empty())
    };
    let went_on = taken_up.iter().filter(goes_on).count();
    let began = new.iter().filter(|it| it.events().next().is_some()).count();
    let complete = chats.iter().filter(|it| it.is_complete()).count();
    record.line(format!(
        "{STREAMS} streams, {complete} complete; taken up at routers in touch: {}, of which {went_on} \
         went on; new streams: {}, of which {began} began",
        taken_up.len(),
        new.len()
    ));
    if !setting.trouble {
        let is_whole = complete == STREAMS && began == new.len();
        let void = || Verdict::Void("streams are not complete without the disruption".to_owned());
        return Ok(if is_whole { Verdict::Held } else { void() });
    }
    if taken_up.len() < MIN_TAKEN_UP || began * 2 < new.len() {
        return Ok(Verdict::Void("too few streams".to_owned()));
    }
    let share = |count: usize, all: usize| count as f64 / all as f64;
    let is_broken = share(went_on, taken_up.len()) < share(began, new.len()) / 2.0;
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}
