//! `filberttiller spread`: measures how fast tickets reach all routers, and the control traffic.

use std::sync::Arc;
use std::time::{Duration, Instant};

use error_stack::Report;
use serde_json::{Value, json};
use standins::log::Faults;
use tokio::time::{interval, sleep};

use crate::backend::TrafficMeter;
use crate::cli::CliError;
use crate::controllers::TICKET_STREAM;
use crate::daemon::Daemon;
use crate::demo::{DemoError, Fleet, FleetOptions};
use crate::fleet::Purpose;

/// Time for the fleet to settle before anything is measured.
const SETTLE: Duration = Duration::from_secs(15);
/// Length of one measurement of control traffic.
const WINDOW: Duration = Duration::from_secs(20);
/// Time between two tickets of the steady run.
const TICKET_EVERY: Duration = Duration::from_secs(2);
/// Tickets of the steady run.
const TICKETS: u64 = 10;
/// Seconds between two prints of the highest control traffic.
const PRINT_EVERY_S: usize = 30;
/// Pool of the engines.
const POOL: &str = "assistant-llm";
/// Number of failure domains of the engines.
const DOMAINS: usize = 3;
/// Time limit for leaving marks to reach all routers.
const MARK_WINDOW: Duration = Duration::from_secs(3);
/// Tickets appended at once.
const BURST_TICKETS: u64 = 100;

/// Runs `routers` routers in this process and prints one line for each figure.
pub(crate) async fn run(routers: usize, engines: usize) -> Result<(), CliError> {
    measure(routers, engines).await.map_err(|e| CliError::Failed(format!("{e:?}")))
}

async fn measure(routers: usize, engines: usize) -> Result<(), Report<DemoError>> {
    let mut options = FleetOptions { routers, engines, canaries: 0, ..FleetOptions::default() };
    options.settings.traffic.threads = 1;
    let begin = Instant::now();
    let mut fleet = Fleet::start(options).await?;
    println!("routers {routers}, engines {engines}");
    let meters = fleet.routers.iter().map(|it| Arc::clone(&it.shared().meter)).collect();
    let sampler = tokio::spawn(sample(meters));
    print_time("all routers know all instances", begin.elapsed());
    fleet.publish_first_ticket().await?;
    print_rate(&fleet, "joining, B/router/s", begin.elapsed(), 0);
    sleep(SETTLE).await;
    print_rate_during(&fleet, "idle, B/router/s", sleep(WINDOW)).await;

    let mut times = Vec::new();
    let before = control_bytes(&fleet);
    let start = Instant::now();
    for number in 2..2 + TICKETS {
        times.push(fleet.publish(&ticket(number)).await?);
        sleep(TICKET_EVERY).await;
    }
    print_rate(&fleet, "a ticket every 2 s, B/router/s", start.elapsed(), before);
    times.sort();
    print_time("in force on the last router, median", times[times.len() / 2]);
    print_time("in force on the last router, worst", times[times.len() - 1]);

    let outage = Faults { out: true, ..Faults::default() };
    let begin = Instant::now();
    append(&fleet, 50).await?;
    fleet.wait_until(|it| it.routers.iter().any(|r| is_in_force(r, 50))).await;
    fleet.log.set_faults(outage);
    wait_in_force(&fleet, 50).await;
    print_time("the same, log down once one router has read it", begin.elapsed());
    fleet.log.set_faults(Faults::default());

    sleep(SETTLE).await;
    let before = control_bytes(&fleet);
    let begin = Instant::now();
    for number in 100..100 + BURST_TICKETS {
        append(&fleet, number).await?;
    }
    wait_in_force(&fleet, 100 + BURST_TICKETS - 1).await;
    print_time("100 tickets at once, all in force", begin.elapsed());
    sleep(WINDOW.saturating_sub(begin.elapsed())).await;
    print_rate(&fleet, "burst, B/router/s", begin.elapsed(), before);

    leave_domain(&fleet).await;

    let begin = Instant::now();
    fleet.add_router()?;
    let next = fleet.routers[0].shared().view.peek().state.next;
    let ready = |it: &Fleet| {
        let view = it.routers[it.routers.len() - 1].shared().view.peek();
        view.ready && view.state.next >= next
    };
    fleet.wait_until(ready).await;
    print_time("a new router is ready", begin.elapsed());
    sampler.abort();
    Ok(())
}

/// Prints every [`PRINT_EVERY_S`] seconds the highest control traffic of any router so far,
/// over one second and over ten.
async fn sample(meters: Vec<Arc<TrafficMeter>>) {
    let mut samples: Vec<Sample> = Vec::new();
    let mut tick = interval(Duration::from_secs(1));
    loop {
        tick.tick().await;
        samples.push(
            meters.iter().map(|it| Purpose::ALL.map(|purpose| it.bytes_for(purpose))).collect(),
        );
        if samples.len().is_multiple_of(PRINT_EVERY_S) {
            let max = |span: usize| {
                let total = |it: &[u64; Purpose::COUNT]| it.iter().sum::<u64>();
                max_bytes(&samples, span, total) / span as u64
            };
            let text = format!("worst second {}, worst 10 s {}", max(1), max(10));
            println!("  after {} s: {text} B/s", samples.len());
            print_purposes(&samples);
        }
    }
}

/// Control bytes so far of each router by purpose.
type Sample = Vec<[u64; Purpose::COUNT]>;

/// The most control bytes of any router in `span` seconds; `figure` picks the bytes to count.
fn max_bytes(
    samples: &[Sample],
    span: usize,
    figure: impl Fn(&[u64; Purpose::COUNT]) -> u64,
) -> u64 {
    let pairs = samples.iter().zip(samples.iter().skip(span));
    let used = pairs.flat_map(|(a, b)| a.iter().zip(b).map(|(a, b)| figure(b) - figure(a)));
    used.max().unwrap_or(0)
}

/// Prints the worst second of each purpose, and that of gossip and loads together.
fn print_purposes(samples: &[Sample]) {
    for purpose in Purpose::ALL {
        let max = max_bytes(samples, 1, |it| it[purpose as usize]);
        println!("    {purpose:?}: worst second {max} B");
    }
    let gossip_and_load =
        |it: &[u64; Purpose::COUNT]| it[Purpose::Gossip as usize] + it[Purpose::Load as usize];
    println!(
        "    Gossip and Load together: worst second {} B",
        max_bytes(samples, 1, gossip_and_load)
    );
}

fn ticket(number: u64) -> Value {
    json!({ "version": 1, "number": number, "author": "spread", "objects": [
        { "kind": "organisation", "name": format!("org-{}", number % 20), "spec": { "weight": 1.0 } },
    ] })
}

async fn append(fleet: &Fleet, number: u64) -> Result<(), Report<DemoError>> {
    let url = format!("http://{}/streams/{TICKET_STREAM}/records", fleet.log.addr());
    let sent = fleet.http.post(url).json(&ticket(number)).send().await;
    let sent = sent.and_then(reqwest::Response::error_for_status);
    sent.map(drop).map_err(|e| Report::new(DemoError::new(e.to_string())))
}

/// Makes all engines of one failure domain, every third one, leave at once.
async fn leave_domain(fleet: &Fleet) {
    let names: Vec<String> =
        (0..fleet.engines.len()).step_by(DOMAINS).map(|i| format!("{POOL}-{i}")).collect();
    sleep(SETTLE).await;
    let before = control_bytes(fleet);
    let begin = Instant::now();
    for it in &names {
        fleet.list.leave(it);
    }
    let has_marks = |r: &Daemon| {
        let shared = r.shared();
        let now = shared.clock.now();
        names.iter().all(|it| shared.marks.is_leaving(it, 0, now))
    };
    fleet.wait_until(|it| it.routers.iter().any(has_marks)).await;
    print_time("a third of the engines leaves, first router", begin.elapsed());
    fleet.wait_until(|it| it.routers.iter().all(has_marks)).await;
    print_time("the same, last router", begin.elapsed());
    sleep(MARK_WINDOW.saturating_sub(begin.elapsed())).await;
    print_rate(fleet, "the same over 3 s, B/router/s", begin.elapsed(), before);
}

async fn wait_in_force(fleet: &Fleet, number: u64) {
    fleet.wait_until(|it| it.routers.iter().all(|r| is_in_force(r, number))).await;
}

/// Whether the ticket with `number` is in force on `router`.
fn is_in_force(router: &Daemon, number: u64) -> bool {
    router.shared().view.peek().state.accepted.contains_key(&number)
}

/// Control bytes of all routers so far.
fn control_bytes(fleet: &Fleet) -> u64 {
    fleet.routers.iter().map(|it| it.shared().meter.total()).sum()
}

/// Prints the control traffic during `wait`.
async fn print_rate_during(fleet: &Fleet, name: &str, wait: impl Future<Output = ()>) {
    let before = control_bytes(fleet);
    let begin = Instant::now();
    wait.await;
    print_rate(fleet, name, begin.elapsed(), before);
}

fn print_rate(fleet: &Fleet, name: &str, time: Duration, before: u64) {
    let rate =
        (control_bytes(fleet) - before) as f64 / fleet.routers.len() as f64 / time.as_secs_f64();
    println!("  {name:<44}{rate:>8.0}");
}

fn print_time(name: &str, time: Duration) {
    println!("  {name:<44}{:>8} ms", time.as_millis());
}
