//! A machine is added just after the platform's store is back from a copy that is older than the
//! configuration that took a key away.

use std::collections::HashMap;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{encode_request, new_id, send};
use crate::config::{Route, encode_config, without_keys};
use crate::record::Record;
use crate::router::{Machine, Router};
use crate::store::Store;
use crate::worker::{Worker, keep_beating};
use crate::{folder, is_disrupted, number};

const ROUTERS: usize = 3;
/// `revokeMs`.
const REVOKE: Duration = Duration::from_millis(5_000);
/// From the acknowledgement of the configuration until the store goes away.
const BEFORE: Duration = Duration::from_millis(4_200);
/// How long the store is away.
const AWAY: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_millis(20);

pub fn run(record: &Record) -> bool {
    let folder = folder();
    let store = Store::new(record);
    let workers: Vec<Arc<Worker>> = ["i-1", "i-2", "i-3"]
        .map(|id| {
            Worker::start(id, "app", "v1", |worker, request, connection| {
                connection.send(&worker.reply(request, b"{}")).is_ok()
            })
        })
        .into();
    keep_beating(&workers, &store);
    let route =
        Route { prefix: "/read/", kind: "idempotent", service: "app", attempts: 2, resume: false };
    let config = encode_config(3, std::slice::from_ref(&route), &["app"]);
    store.put("keyed.op", "config", &config);
    let start = |place: usize| {
        let name = format!("front-{}", place + 1);
        let view = store.view();
        let zone = ["a", "b", "c", "a"][place];
        let machine = Machine { name: &name, zone, store: view.address, memory_mb: 520 };
        Router::start(&folder, &machine)
    };
    let mut routers: Vec<Router> = (0..ROUTERS).map(start).collect();
    routers.iter().for_each(|it| it.wait_ready(Duration::from_secs(15)));
    thread::sleep(Duration::from_secs(8));
    let copy = store.copy();
    thread::sleep(Duration::from_millis(300));
    let config = without_keys(encode_config(7, &[route], &["app"]));
    let revoked = store.put("keyed.op", "config", &config);
    record.say("a configuration without the key is acknowledged");
    thread::sleep(BEFORE);
    if is_disrupted() {
        record.say("the store goes away");
        store.go_away();
    }
    thread::sleep(AWAY);
    let back = Instant::now();
    if is_disrupted() {
        store.come_back(copy);
        record.say("the store is back from the copy");
    }
    routers.push(start(ROUTERS));
    record.say("front-4 is added");
    let operator = {
        let (store, record) = (store.clone(), record.clone());
        thread::spawn(move || {
            let again = Duration::from_millis(number("AGAIN", 1_000));
            thread::sleep(again.saturating_sub(back.elapsed()));
            if is_disrupted() {
                store.put("keyed.op", "config", &config);
                record.say("the operator has written its configuration again");
            }
        })
    };
    let mut sent: HashMap<String, (usize, Instant)> = HashMap::new();
    while back.elapsed() < Duration::from_secs(6) {
        for (place, router) in routers.iter().enumerate() {
            let id = new_id(place);
            let at = Instant::now();
            let request = encode_request("GET", "/read/stock", &id, 2_000, b"");
            let answer = send(router.callers, &request, Duration::from_secs(2));
            let text = answer.map_or_else(|e| e.to_string(), |it| it.status().to_string());
            record
                .line_at(at, &format!("client: {id} with the key to front-{}: {text}", place + 1));
            sent.insert(id, (place, at));
        }
        thread::sleep(PAUSE);
    }
    operator.join().expect("the operator ends");
    judge(record, &workers, &sent, revoked)
}

fn judge(
    record: &Record,
    workers: &[Arc<Worker>],
    sent: &HashMap<String, (usize, Instant)>,
    revoked: Instant,
) -> bool {
    let mut late = 0;
    for run in workers.iter().flat_map(|it| it.runs.lock().unwrap().clone()) {
        let Some((place, at)) = sent.get(&run.id) else { continue };
        let after = at.saturating_duration_since(revoked);
        late += usize::from(after > REVOKE);
        record.line_at(
            run.at,
            &format!(
                "worker: runs {} of front-{}, sent {:.3} s after its key was taken away",
                run.id,
                place + 1,
                after.as_secs_f64()
            ),
        );
    }
    record
        .say(&format!("requests that ran with a key that was taken away over 5 s before: {late}"));
    late > 0
}
