//! Response times of one organisation's short and long calls during a surge of another
//! organisation, on real routers: without the surge, with admission gates, and without them.
//!
//! `cargo bench --bench fairness` takes about 20 s.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use filberttiller::demo::{Caller, ChatTurn, Fleet, FleetOptions};
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use standins::engine::Options;

/// Length of one run.
const RUN_TIME: Duration = Duration::from_secs(6);
/// One in this many calls of the steady organisation is long.
const LONG_EVERY: usize = 10;
/// Interval between two of its calls.
const STEADY_EVERY: Duration = Duration::from_millis(20);
/// Callers of the surging organisation.
const SURGE_CALLERS: usize = 160;
/// Headroom that no load reaches, so that the gates never hold a call back.
const UNLIMITED: f64 = 1e6;

fn options(headroom: f64) -> FleetOptions {
    let engine = Options { slots: 8, decode: Duration::from_millis(2), ..Options::default() };
    let mut options = FleetOptions { engines: 4, canaries: 1, engine, ..FleetOptions::default() };
    options.settings.admission.headroom = headroom;
    options.settings.admission.short_headroom = headroom.max(3.0);
    options
}

fn words(count: usize) -> Vec<Value> {
    let text: Vec<String> = (0..count).map(|i| format!("w{i}")).collect();
    vec![json!({ "role": "user", "content": text.join(" ") })]
}

/// Makes calls of the surging organisation until `end`; counts complete answers.
async fn surge(fleet: Arc<Fleet>, index: usize, end: Instant, done: Arc<AtomicU64>) {
    let messages = words(400);
    let mut caller = Caller::new(&fleet.http, "pierscionkowo", &format!("surge-{index}"));
    let router = fleet.routers[index % fleet.routers.len()].address();
    while Instant::now() < end {
        let turn = ChatTurn { messages: &messages, tokens: 100, stream: false };
        match caller.send(router, &turn).await {
            Ok(_) => drop(done.fetch_add(1, Ordering::Relaxed)),
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

/// Whether the steady organisation's call with `index` is a long one.
fn is_long(index: usize) -> bool {
    index.is_multiple_of(LONG_EVERY)
}

/// Makes one call of the steady organisation, due at `due`; returns its time if it was
/// answered.
async fn steady_call(fleet: Arc<Fleet>, index: usize, due: Instant) -> Option<Duration> {
    let (count, tokens) = if is_long(index) { (400, 100) } else { (10, 4) };
    let messages = words(count);
    let turn = ChatTurn { messages: &messages, tokens, stream: false };
    let mut caller = Caller::new(&fleet.http, "dalisay", &format!("calm-{index}"));
    let router = fleet.routers[index % fleet.routers.len()].address();
    caller.send(router, &turn).await.ok().map(|_| due.elapsed())
}

async fn run(name: &str, headroom: f64, callers: usize) {
    let fleet = Arc::new(Fleet::start(options(headroom)).await.unwrap());
    fleet.publish_first_ticket().await.unwrap();
    let end = Instant::now() + RUN_TIME;
    let done = Arc::new(AtomicU64::new(0));
    let surges: Vec<_> = (0..callers)
        .map(|i| tokio::spawn(surge(Arc::clone(&fleet), i, end, Arc::clone(&done))))
        .collect();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut calls = Vec::new();
    let mut next = Instant::now();
    while next < end {
        calls.push(tokio::spawn(steady_call(Arc::clone(&fleet), calls.len(), next)));
        next += STEADY_EVERY;
        tokio::time::sleep_until(next.into()).await;
    }
    let mut short = Histogram::<u64>::new(3).unwrap();
    let mut long = Histogram::<u64>::new(3).unwrap();
    let count = calls.len() as u64;
    for (i, it) in calls.into_iter().enumerate() {
        if let Some(time) = it.await.unwrap() {
            let times = if is_long(i) { &mut long } else { &mut short };
            times.record(time.as_micros() as u64).unwrap();
        }
    }
    let failed = count - short.len() - long.len();
    for it in surges {
        it.await.unwrap();
    }
    println!(
        "{name:<24} short: {}; long: {}; {failed} of {count} refused; long calls of the surge: {}",
        percentiles(&short),
        percentiles(&long),
        done.load(Ordering::Relaxed),
    );
}

fn percentiles(times: &Histogram<u64>) -> String {
    let at = |quantile| times.value_at_quantile(quantile) as f64 / 1e3;
    format!("p50 {:.0} ms, p99 {:.0} ms", at(0.5), at(0.99))
}

#[tokio::main]
async fn main() {
    let headroom = FleetOptions::default().settings.admission.headroom;
    run("alone", headroom, 0).await;
    run("surge, gates", headroom, SURGE_CALLERS).await;
    run("surge, no gates", UNLIMITED, SURGE_CALLERS).await;
}
