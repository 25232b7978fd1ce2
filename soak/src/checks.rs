//! Checks the guarantees of the routers against what callers and backend servers saw.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use reqwest::Client;

use crate::callers::{Kind, RequestResult, resolve_at};
use crate::fleet::{FAULTY_BACKENDS, Fleet, Key, RouterCut, Shutdown};

/// Maximum time until a revoked key is refused, from the settings.
const REVOKE_LIMIT: Duration = Duration::from_millis(5_000);
/// How long a draining server may still receive new requests, from routers without faults.
const DRAIN_LIMIT: Duration = Duration::from_millis(2_000);
/// Time after SIGTERM in which a router still accepts requests.
const ACCEPT_TIME: Duration = Duration::from_secs(3);
/// Time from SIGTERM to SIGKILL, from the settings.
const GRACE: Duration = Duration::from_secs(8);
/// Timeout of all routes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(3);
/// Share of requests that must be served after the last fault.
const SERVED_SHARE: f64 = 0.99;
/// Recovery time after the last fault, before the share of served requests counts.
const SETTLE_TIME: Duration = Duration::from_millis(3_500);
/// Number of events in a complete stream.
const STREAM_EVENTS: u32 = 6;

/// One run of a request at a backend server.
#[derive(Debug, Clone)]
struct Run {
    server: String,
    at: Instant,
}

/// Runs at backend servers, by request id.
struct Runs(HashMap<String, Vec<Run>>);

impl Runs {
    fn of(fleet: &Fleet) -> Runs {
        let mut all: HashMap<String, Vec<Run>> = HashMap::new();
        for backend in fleet.backends.lock().unwrap().iter() {
            for ran in backend.server.handled() {
                let run = Run { server: backend.server.id().to_owned(), at: ran.at };
                all.entry(ran.id().to_owned()).or_default().push(run);
            }
        }
        Runs(all)
    }

    fn count(&self, id: &str) -> usize {
        self.0.get(id).map_or(0, Vec::len)
    }
}

/// Violated guarantees, one line each. `faults_ended` is when the last fault ended.
pub fn violations(fleet: &Fleet, results: &[RequestResult], faults_ended: Instant) -> Vec<String> {
    let runs = Runs::of(fleet);
    let mut violations = Vec::new();
    for it in results {
        violations.extend(answer_violation(it));
        violations.extend(run_violation(it, runs.count(&it.id)));
    }
    violations.extend(key_violations(fleet, results, &runs));
    violations.extend(drain_violations(fleet, &runs, faults_ended));
    violations.extend(version_violations(results));
    violations.extend(leaving_violations(results, &runs));
    violations.extend(shutdown_violations(fleet, results, &runs));
    violations.extend(served_violation(fleet, results, faults_ended));
    violations
}

/// Whether a stream has all events, of one software version.
fn is_complete_stream(it: &RequestResult, body: &str) -> bool {
    let suffix = it.events().find_map(|(_, data)| version(data)).unwrap_or_default();
    let begin = it.taken_up.as_ref().map_or(0, |it| it.last) + 1;
    let event = |it| format!("id: {it}\ndata: token-{it}{suffix}\n\n");
    body == (begin..=STREAM_EVENTS).map(event).collect::<String>()
}

/// The software version that an event names, with the space before it.
fn version(data: &str) -> Option<&str> {
    Some(&data[data.find(' ')?..])
}

/// A stream holds events of one software version, over all attempts of its caller.
fn version_violations(results: &[RequestResult]) -> Vec<String> {
    let mut versions: HashMap<&str, &str> = HashMap::new();
    let mut violations = Vec::new();
    for it in results.iter().filter(|it| it.kind == Kind::Restream) {
        let first = it.taken_up.as_ref().map_or(&it.id, |it| &it.first);
        let mut named = it.events().filter_map(|(_, data)| version(data));
        if named.any(|it| *versions.entry(first).or_insert(it) != it) {
            violations.push(format!("events of two software versions: {it:?}"));
        }
    }
    violations
}

/// A successful answer is the server's complete answer to the same request.
fn answer_violation(it: &RequestResult) -> Option<String> {
    if it.status != Some(200) {
        return None;
    }
    let body = it.body.as_ref()?;
    let is_complete = match it.kind {
        Kind::Read => body.starts_with("POST /read/x HTTP/1.1 of i-"),
        Kind::Once => body.starts_with("POST /once/x HTTP/1.1 of i-"),
        Kind::Stream | Kind::Restream => is_complete_stream(it, body),
    };
    let has_own_id = it.answer_id.as_deref() == Some(it.id.as_str());
    (!is_complete || !has_own_id || !it.is_signed).then(|| format!("wrong answer: {it:?}"))
}

/// At-most-once requests do not run twice; a request answered as not run did not run.
fn run_violation(it: &RequestResult, runs: usize) -> Option<String> {
    let reported_not_run = matches!(it.status, Some(408 | 421 | 429 | 503));
    if it.kind.is_at_most_once() && runs > 1 {
        return Some(format!("ran {runs} times: {it:?}"));
    }
    if it.kind.is_at_most_once() && reported_not_run && runs > 0 {
        return Some(format!("reported as not run, but ran: {it:?}"));
    }
    (runs > 2).then(|| format!("sent to {runs} servers: {it:?}"))
}

/// Requests sent with a key revoked more than `REVOKE_LIMIT` ago do not run, at any router.
fn key_violations(fleet: &Fleet, results: &[RequestResult], runs: &Runs) -> Vec<String> {
    let keys: HashMap<String, Key> = {
        let operator = fleet.operator.lock().unwrap();
        operator.keys.iter().map(|it| (it.text.clone(), it.clone())).collect()
    };
    let late = |it: &&RequestResult| {
        let revoked = keys.get(&it.key).and_then(|it| it.revoked);
        revoked.is_some_and(|at| it.sent > at + REVOKE_LIMIT) && runs.count(&it.id) > 0
    };
    results.iter().filter(late).map(|it| format!("ran with a revoked key: {it:?}")).collect()
}

/// After the last fault, draining servers receive no new requests.
fn drain_violations(fleet: &Fleet, runs: &Runs, faults_ended: Instant) -> Vec<String> {
    let backends = fleet.backends.lock().unwrap();
    let draining: HashMap<&str, Instant> =
        backends.iter().filter_map(|it| Some((it.server.id(), it.draining_since?))).collect();
    let mut violations = Vec::new();
    for (id, all) in &runs.0 {
        for run in all {
            let late = draining
                .get(run.server.as_str())
                .is_some_and(|at| run.at > (*at).max(faults_ended) + DRAIN_LIMIT);
            if late {
                violations.push(format!("{id} ran at {} while it was draining", run.server));
            }
        }
    }
    violations
}

/// Requests sent more than `DRAIN_LIMIT` after a router has passed on an answer whose server says
/// that it leaves do not reach this server from this router, whatever faults there are.
fn leaving_violations(results: &[RequestResult], runs: &Runs) -> Vec<String> {
    let mut told: HashMap<(SocketAddr, &str), Instant> = HashMap::new();
    for it in results.iter().filter(|it| it.says_leaving) {
        if let Some(server) = &it.server {
            let at = told.entry((it.router, server)).or_insert(it.ended);
            *at = it.ended.min(*at);
        }
    }
    let late = |it: &&RequestResult| {
        let mut ran = runs.0.get(&it.id).into_iter().flatten();
        ran.any(|run| {
            let at = told.get(&(it.router, run.server.as_str()));
            at.is_some_and(|at| it.sent > *at + DRAIN_LIMIT)
        })
    };
    let late = results.iter().filter(late);
    late.map(|it| format!("ran at a server that had said that it leaves: {it:?}")).collect()
}

/// A graceful shutdown cuts off no request that only servers without faults ran. A
/// suspension during the shutdown takes from the time until the kill, so it is no graceful one.
fn shutdown_violations(fleet: &Fleet, results: &[RequestResult], runs: &Runs) -> Vec<String> {
    let suspensions = fleet.suspensions.lock().unwrap();
    let is_suspended = |stop: &Shutdown| {
        let grace = stop.at..stop.at + GRACE;
        suspensions.iter().any(|it| it.router == stop.router && grace.contains(&it.at))
    };
    let cuts = fleet.cuts.lock().unwrap();
    // Requests that were at a server when their router was cut off reach their timeout.
    let is_cut_off = |stop: &Shutdown| {
        let of_router = |it: &&RouterCut| it.router == stop.router;
        cuts.iter().filter(of_router).any(|it| {
            let has_ended = it.ended.is_some_and(|at| at + ROUTE_TIMEOUT < stop.at);
            it.began < stop.at + GRACE && !has_ended
        })
    };
    let stops: Vec<Shutdown> = {
        let stops = fleet.shutdowns.lock().unwrap();
        stops.iter().filter(|it| !is_suspended(it) && !is_cut_off(it)).copied().collect()
    };
    let faultless: Vec<String> = {
        let backends = fleet.backends.lock().unwrap();
        let faultless = backends.iter().skip(FAULTY_BACKENDS);
        faultless.map(|it| it.server.id().to_owned()).collect()
    };
    let cut = |it: &&RequestResult| {
        let is_complete = it.status.is_some() && it.body.is_some();
        let stopped = stops.iter().any(|stop| {
            stop.callers == it.router && it.sent < stop.at + ACCEPT_TIME && it.ended > stop.at
        });
        let ran = runs.0.get(&it.id);
        let is_faultless =
            ran.is_some_and(|all| all.iter().all(|run| faultless.contains(&run.server)));
        !is_complete && stopped && is_faultless
    };
    results.iter().filter(cut).map(|it| format!("cut off by a shutdown: {it:?}")).collect()
}

/// After the last fault, every router resolves to the addresses of all running routers.
pub async fn resolve_violations(fleet: &Fleet) -> Vec<String> {
    let running: Vec<(SocketAddr, SocketAddr)> = {
        let routers = fleet.routers.lock().await;
        routers.iter().flatten().map(|it| (it.entry, it.callers)).collect()
    };
    let http = Client::builder().no_proxy().build().expect("a client without special options");
    let mut violations = Vec::new();
    for (entry, _) in &running {
        let resolved = resolve_at(&http, *entry).await.unwrap_or_default();
        let missing = running.iter().filter(|(_, callers)| !resolved.contains(callers));
        violations.extend(
            missing
                .map(|(_, it)| format!("router address {it} is missing in the answer of {entry}")),
        );
    }
    violations
}

/// After the last fault, nearly all requests with valid keys are served. Streams that are taken
/// up do not count: none may be left of their version.
fn served_violation(
    fleet: &Fleet,
    results: &[RequestResult],
    faults_ended: Instant,
) -> Option<String> {
    let valid: Vec<String> = {
        let operator = fleet.operator.lock().unwrap();
        let valid = operator.keys.iter().filter(|it| it.revoked.is_none());
        valid.map(|it| it.text.clone()).collect()
    };
    let settled = faults_ended + SETTLE_TIME;
    let is_new = |it: &&RequestResult| it.sent > settled && it.taken_up.is_none();
    let sent = results.iter().filter(is_new).filter(|it| valid.contains(&it.key));
    let sent: Vec<&RequestResult> = sent.collect();
    let served = sent.iter().filter(|it| it.status == Some(200) && it.body.is_some()).count();
    let too_few = (served as f64) < SERVED_SHARE * sent.len() as f64 || sent.is_empty();
    let failed = sent.iter().find(|it| it.status != Some(200) || it.body.is_none());
    too_few.then(|| {
        format!("served {served} of {} after the last fault; first failed: {failed:?}", sent.len())
    })
}
