//! `filberttiller spread`: measures how fast tickets spread and what control costs.

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
/// Length of one measurement of bytes.
const WINDOW: Duration = Duration::from_secs(20);
/// Pause between two tickets in the steady run.
const TICKET_EVERY: Duration = Duration::from_secs(2);
/// Tickets of the steady run.
const TICKETS: u64 = 10;
/// Seconds between two prints of the worst spending.
const WORST_EVERY: usize = 30;
/// Pool of the engines, and the number of failure domains that they are in.
const POOL: &str = "assistant-llm";
const DOMAINS: usize = 3;
/// Time in which leaving marks have to reach all routers.
const MARK_WINDOW: Duration = Duration::from_secs(3);
/// Tickets appended at once.
const STORM: u64 = 100;

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
    show("all know all", begin.elapsed());
    fleet.publish_first_ticket().await?;
    bytes(&fleet, "joining, B/router/s", begin.elapsed(), 0);
    sleep(SETTLE).await;
    window(&fleet, "idle, B/router/s", sleep(WINDOW)).await;

    let mut times = Vec::new();
    let before = total(&fleet);
    let start = Instant::now();
    for number in 2..2 + TICKETS {
        times.push(fleet.publish(&ticket(number)).await?);
        sleep(TICKET_EVERY).await;
    }
    bytes(&fleet, "a ticket every 2 s, B/router/s", start.elapsed(), before);
    times.sort();
    show("in force on the last router, median", times[times.len() / 2]);
    show("in force on the last router, worst", times[times.len() - 1]);

    let out = Faults { out: true, ..Faults::default() };
    let begin = Instant::now();
    append(&fleet, 50).await?;
    fleet.wait_until(|it| it.routers.iter().any(|r| has(r, 50))).await;
    fleet.log.set_faults(out);
    in_force(&fleet, 50).await;
    show("the same, log down once one router has read it", begin.elapsed());
    fleet.log.set_faults(Faults::default());

    sleep(SETTLE).await;
    let before = total(&fleet);
    let begin = Instant::now();
    for number in 100..100 + STORM {
        append(&fleet, number).await?;
    }
    in_force(&fleet, 100 + STORM - 1).await;
    show("100 tickets at once, all in force", begin.elapsed());
    sleep(WINDOW.saturating_sub(begin.elapsed())).await;
    bytes(&fleet, "storm, B/router/s", begin.elapsed(), before);

    leave_domain(&fleet).await;

    let begin = Instant::now();
    fleet.add_router()?;
    let next = fleet.routers[0].shared().view.peek().state.next;
    let ready = |it: &Fleet| {
        let view = it.routers[it.routers.len() - 1].shared().view.peek();
        view.ready && view.state.next >= next
    };
    fleet.wait_until(ready).await;
    show("a new router is ready", begin.elapsed());
    sampler.abort();
    Ok(())
}

/// Prints every [`WORST_EVERY`] what the busiest router spent at most so far, in
/// one second and in ten.
async fn sample(meters: Vec<Arc<TrafficMeter>>) {
    let mut seen: Vec<Seen> = Vec::new();
    let mut tick = interval(Duration::from_secs(1));
    loop {
        tick.tick().await;
        seen.push(
            meters.iter().map(|it| Purpose::ALL.map(|purpose| it.bytes_for(purpose))).collect(),
        );
        if seen.len().is_multiple_of(WORST_EVERY) {
            let most = |span: usize| {
                let all = |it: &[u64; Purpose::COUNT]| it.iter().sum::<u64>();
                worst(&seen, span, all) / span as u64
            };
            let text = format!("worst second {}, worst 10 s {}", most(1), most(10));
            println!("  after {} s: {text} B/s", seen.len());
            show_purposes(&seen);
        }
    }
}

/// Bytes so far of each router by purpose, at one moment.
type Seen = Vec<[u64; Purpose::COUNT]>;

/// What one router spent at most in `span` seconds, as `figure` tells it.
fn worst(seen: &[Seen], span: usize, figure: impl Fn(&[u64; Purpose::COUNT]) -> u64) -> u64 {
    let pairs = seen.iter().zip(seen.iter().skip(span));
    let spent = pairs.flat_map(|(a, b)| a.iter().zip(b).map(|(a, b)| figure(b) - figure(a)));
    spent.max().unwrap_or(0)
}

/// Prints the worst second of each purpose, and of the exchanges and engines together.
fn show_purposes(seen: &[Seen]) {
    for purpose in Purpose::ALL {
        let most = worst(seen, 1, |it| it[purpose as usize]);
        println!("    {purpose:?}: worst second {most} B");
    }
    let in_parts =
        |it: &[u64; Purpose::COUNT]| it[Purpose::Gossip as usize] + it[Purpose::Load as usize];
    println!("    Gossip and Load together: worst second {} B", worst(seen, 1, in_parts));
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

/// Has every third engine, which are those of one failure domain, leave at once.
async fn leave_domain(fleet: &Fleet) {
    let names: Vec<String> =
        (0..fleet.engines.len()).step_by(DOMAINS).map(|i| format!("{POOL}-{i}")).collect();
    sleep(SETTLE).await;
    let before = total(fleet);
    let begin = Instant::now();
    for it in &names {
        fleet.list.leave(it);
    }
    let holds = |r: &Daemon| {
        let shared = r.shared();
        let now = shared.clock.now();
        names.iter().all(|it| shared.marks.is_leaving(it, 0, now))
    };
    fleet.wait_until(|it| it.routers.iter().any(holds)).await;
    show("a third of the engines leaves, first router", begin.elapsed());
    fleet.wait_until(|it| it.routers.iter().all(holds)).await;
    show("the same, last router", begin.elapsed());
    sleep(MARK_WINDOW.saturating_sub(begin.elapsed())).await;
    bytes(fleet, "the same over 3 s, B/router/s", begin.elapsed(), before);
}

async fn in_force(fleet: &Fleet, number: u64) {
    fleet.wait_until(|it| it.routers.iter().all(|r| has(r, number))).await;
}

/// Whether the ticket with `number` is in force on `router`.
fn has(router: &Daemon, number: u64) -> bool {
    router.shared().view.peek().state.accepted.contains_key(&number)
}

/// Control bytes of all routers so far.
fn total(fleet: &Fleet) -> u64 {
    fleet.routers.iter().map(|it| it.shared().meter.total()).sum()
}

async fn window(fleet: &Fleet, name: &str, time: impl Future<Output = ()>) {
    let before = total(fleet);
    let begin = Instant::now();
    time.await;
    bytes(fleet, name, begin.elapsed(), before);
}

fn bytes(fleet: &Fleet, name: &str, time: Duration, before: u64) {
    let rate = (total(fleet) - before) as f64 / fleet.routers.len() as f64 / time.as_secs_f64();
    println!("  {name:<44}{rate:>8.0}");
}

fn show(name: &str, time: Duration) {
    println!("  {name:<44}{:>8} ms", time.as_millis());
}
