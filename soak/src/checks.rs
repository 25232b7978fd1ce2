//! The promises, held against what callers and backend servers saw.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use reqwest::Client;

use crate::callers::{Kind, Seen, told_at};
use crate::fleet::{Fleet, HARMED_BACKENDS, Key};

/// Bound on keys that were taken away, from the settings.
const REVOKE: Duration = Duration::from_millis(5_000);
/// Bound on new requests to a leaving server, for routers that were not harmed.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time after the signal to stop in which requests are still taken.
const TAKE_TIME: Duration = Duration::from_secs(3);
/// Share of requests that must be served once all faults are over.
const CALM_SHARE: f64 = 0.99;
/// Time after the last fault until all are served again.
const SETTLE_TIME: Duration = Duration::from_millis(3_500);
/// Events of a whole stream.
const EVENTS: u32 = 6;

/// A run of a request at a backend server.
#[derive(Debug, Clone)]
struct Run {
    server: String,
    at: Instant,
}

/// What backend servers saw, by request.
struct Runs(HashMap<String, Vec<Run>>);

impl Runs {
    fn of(fleet: &Fleet) -> Runs {
        let mut all: HashMap<String, Vec<Run>> = HashMap::new();
        for backend in fleet.backends.lock().unwrap().iter() {
            for ran in backend.worker.handled() {
                let run = Run { server: backend.worker.id().to_owned(), at: ran.at };
                all.entry(ran.id().to_owned()).or_default().push(run);
            }
        }
        Runs(all)
    }

    fn count(&self, id: &str) -> usize {
        self.0.get(id).map_or(0, Vec::len)
    }
}

/// Everything that broke a promise, one line each. `calm` is when the last fault ended.
pub fn broken(fleet: &Fleet, seen: &[Seen], calm: Instant) -> Vec<String> {
    let runs = Runs::of(fleet);
    let mut broken = Vec::new();
    for it in seen {
        broken.extend(answer_broken(it));
        broken.extend(runs_broken(it, runs.count(&it.id)));
    }
    broken.extend(keys_broken(fleet, seen, &runs));
    broken.extend(drain_broken(fleet, &runs, calm));
    broken.extend(shutdown_broken(fleet, seen, &runs));
    broken.extend(calm_broken(fleet, seen, calm));
    broken
}

fn whole_stream() -> String {
    (1..=EVENTS).map(|it| format!("id: {it}\ndata: token-{it}\n\n")).collect()
}

/// A success is the server's whole answer to this very request.
fn answer_broken(it: &Seen) -> Option<String> {
    if it.status != Some(200) {
        return None;
    }
    let body = it.body.as_ref()?;
    let right = match it.kind {
        Kind::Read => body.starts_with("POST /read/x HTTP/1.1 of i-"),
        Kind::Once => body.starts_with("POST /once/x HTTP/1.1 of i-"),
        Kind::Stream | Kind::Restream => *body == whole_stream(),
    };
    let own = it.answer_id.as_deref() == Some(it.id.as_str());
    (!right || !own || !it.signed).then(|| format!("wrong answer: {it:?}"))
}

/// What may run once does, and what is said not to have run did not.
fn runs_broken(it: &Seen, runs: usize) -> Option<String> {
    let promised = matches!(it.status, Some(408 | 421 | 429 | 503));
    if it.kind.runs_once() && runs > 1 {
        return Some(format!("ran {runs} times: {it:?}"));
    }
    if it.kind.runs_once() && promised && runs > 0 {
        return Some(format!("said not to have run, but did: {it:?}"));
    }
    (runs > 2).then(|| format!("sent to {runs} servers: {it:?}"))
}

/// Requests with a key that was taken away long ago do not run, at any router.
fn keys_broken(fleet: &Fleet, seen: &[Seen], runs: &Runs) -> Vec<String> {
    let keys: HashMap<String, Key> = {
        let operator = fleet.operator.lock().unwrap();
        operator.keys.iter().map(|it| (it.text.clone(), it.clone())).collect()
    };
    let late = |it: &&Seen| {
        let taken = keys.get(&it.key).and_then(|it| it.taken);
        taken.is_some_and(|at| it.sent > at + REVOKE) && runs.count(&it.id) > 0
    };
    seen.iter().filter(late).map(|it| format!("ran with a taken key: {it:?}")).collect()
}

/// Once faults are over, servers that have left get nothing.
fn drain_broken(fleet: &Fleet, runs: &Runs, calm: Instant) -> Vec<String> {
    let backends = fleet.backends.lock().unwrap();
    let left: HashMap<&str, Instant> =
        backends.iter().filter_map(|it| Some((it.worker.id(), it.left?))).collect();
    let mut broken = Vec::new();
    for (id, all) in &runs.0 {
        for run in all {
            let late =
                left.get(run.server.as_str()).is_some_and(|at| run.at > (*at).max(calm) + DRAIN);
            if late {
                broken.push(format!("{id} ran at {}, which had left", run.server));
            }
        }
    }
    broken
}

/// A calm shutdown cuts off no request that a sound backend server ran.
fn shutdown_broken(fleet: &Fleet, seen: &[Seen], runs: &Runs) -> Vec<String> {
    let stops = fleet.shutdowns.lock().unwrap();
    let sound: Vec<String> = {
        let backends = fleet.backends.lock().unwrap();
        let sound = backends.iter().skip(HARMED_BACKENDS);
        sound.map(|it| it.worker.id().to_owned()).collect()
    };
    let cut = |it: &&Seen| {
        let whole = it.status.is_some() && it.body.is_some();
        let stopped = stops.iter().any(|stop| {
            stop.callers == it.router && it.sent < stop.at + TAKE_TIME && it.ended > stop.at
        });
        let ran = runs.0.get(&it.id);
        let sound = ran.is_some_and(|all| all.iter().all(|run| sound.contains(&run.server)));
        !whole && stopped && sound
    };
    seen.iter().filter(cut).map(|it| format!("cut off by a shutdown: {it:?}")).collect()
}

/// Once faults are over, every router tells callers of every router that runs.
pub async fn entry_broken(fleet: &Fleet) -> Vec<String> {
    let running: Vec<(SocketAddr, SocketAddr)> = {
        let routers = fleet.routers.lock().await;
        routers.iter().flatten().map(|it| (it.entry, it.callers)).collect()
    };
    let http = Client::builder().no_proxy().build().expect("a client without special options");
    let mut broken = Vec::new();
    for (entry, _) in &running {
        let told = told_at(&http, *entry).await.unwrap_or_default();
        let missed = running.iter().filter(|(_, callers)| !told.contains(callers));
        broken.extend(missed.map(|(_, it)| format!("callers who ask {entry} do not hear of {it}")));
    }
    broken
}

/// Once faults are over, nearly all requests with valid keys are served.
fn calm_broken(fleet: &Fleet, seen: &[Seen], calm: Instant) -> Option<String> {
    let valid: Vec<String> = {
        let operator = fleet.operator.lock().unwrap();
        let valid = operator.keys.iter().filter(|it| it.taken.is_none());
        valid.map(|it| it.text.clone()).collect()
    };
    let settled = calm + SETTLE_TIME;
    let asked = seen.iter().filter(|it| it.sent > settled && valid.contains(&it.key));
    let asked: Vec<&Seen> = asked.collect();
    let served = asked.iter().filter(|it| it.status == Some(200) && it.body.is_some()).count();
    let short = (served as f64) < CALM_SHARE * asked.len() as f64 || asked.is_empty();
    let failed = asked.iter().find(|it| it.status != Some(200) || it.body.is_none());
    short.then(|| format!("served {served} of {} once calm; first: {failed:?}", asked.len()))
}
