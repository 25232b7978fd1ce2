//! Random faults injected from outside, which may overlap.

use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use standins::LinkFault;
use standins::platform::{ServerBehaviour, StoreFault};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::fleet::{Backend, FAULTY_BACKENDS, Fleet, RouterCut, Shutdown, Suspension};

/// Maximum pause between two faults.
const MAX_PAUSE_MS: u64 = 700;
/// A shutdown counts as graceful if its router had no fault for this long.
const FAULT_FREE_TIME: Duration = Duration::from_secs(3);
/// How much longer faults of a router's links to the store or to all servers last than other
/// faults, so that its rules exceed their maximum age.
const STORE_LINK_FACTOR: u32 = 3;
/// Step of a wall clock, in milliseconds.
const WALL_STEP_MS: i64 = 30_000;
/// Time of a simulated suspension; longer than every lease.
const BOOT_JUMP: Duration = Duration::from_millis(6_000);
/// Maximum time of a fault.
const MAX_FAULT_TIME_MS: u64 = 4_000;

/// A kind of fault.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Kill,
    Pause,
    Stop,
    Reload,
    Store(StoreFault),
    StoreHistory,
    StoreLink(LinkFault),
    ServerLink(LinkFault),
    /// A router is cut off from all servers.
    RouterCut(LinkFault),
    Behaviour(ServerBehaviour),
    /// A server names a limit of requests a second.
    NamedLimit(f64),
    /// A server says that it leaves while its record says that it is ready; another one starts.
    StatedLeaving,
    /// The store is restored from a copy; its other writers write again.
    StoreRestored,
    /// A server turns requests away and asks for a second.
    AskedTime,
    Replace,
    Rules,
    RevokeKey,
    /// The wall clock steps by this many milliseconds, and later back.
    WallStep(i64),
    /// Simulated suspension of the machine: time since boot jumps ahead.
    BootJump(Duration),
}

/// First seeds, and how many of `FAULTS` are drawn from those seeds on: later faults are left
/// out for earlier seeds, so that these still produce the same ones.
const STAGES: [(u64, usize); 7] = [
    (0, 26),
    // Clocks.
    (1_000, 29),
    // Answers that end with their connection.
    (2_000, 34),
    // Answers that never end, and limits that servers name.
    (3_000, 41),
    // Servers that say in their answers that they leave.
    (4_000, 43),
    // Restorations of the store, and servers that ask for time.
    (6_000, 46),
    // Routers that are cut off from all servers.
    (7_000, FAULTS.len()),
];

const FAULTS: [Fault; 52] = [
    Fault::Kill,
    Fault::Pause,
    Fault::Stop,
    Fault::Reload,
    Fault::Store(StoreFault::Refuse(503)),
    Fault::Store(StoreFault::Refuse(429)),
    Fault::Store(StoreFault::Silent),
    Fault::Store(StoreFault::Slow(Duration::from_millis(250))),
    Fault::Store(StoreFault::LoseAnswer),
    Fault::StoreHistory,
    Fault::StoreLink(LinkFault::Silence),
    Fault::StoreLink(LinkFault::CutOneWay),
    Fault::StoreLink(LinkFault::Reset),
    Fault::StoreLink(LinkFault::Delay(Duration::from_millis(150))),
    Fault::ServerLink(LinkFault::Silence),
    Fault::ServerLink(LinkFault::Reset),
    Fault::ServerLink(LinkFault::Delay(Duration::from_millis(80))),
    Fault::Behaviour(ServerBehaviour::LoseAnswer),
    Fault::Behaviour(ServerBehaviour::ServerError),
    Fault::Behaviour(ServerBehaviour::BreakAfter(2)),
    Fault::Behaviour(ServerBehaviour::ExtraAnswer),
    Fault::Behaviour(ServerBehaviour::Garbage),
    Fault::Behaviour(ServerBehaviour::Shed),
    Fault::Replace,
    Fault::Rules,
    Fault::RevokeKey,
    Fault::WallStep(-WALL_STEP_MS),
    Fault::WallStep(WALL_STEP_MS),
    Fault::BootJump(BOOT_JUMP),
    Fault::Behaviour(ServerBehaviour::Unframed),
    Fault::Behaviour(ServerBehaviour::UnframedBreakAfter(2)),
    Fault::Behaviour(ServerBehaviour::UnframedEmpty),
    Fault::Behaviour(ServerBehaviour::UnframedResetAfter(2)),
    Fault::Behaviour(ServerBehaviour::Http10BreakAfter(2)),
    Fault::Behaviour(ServerBehaviour::EndlessLine),
    Fault::Behaviour(ServerBehaviour::EndlessHeaders),
    Fault::Behaviour(ServerBehaviour::EndlessInterim),
    Fault::Behaviour(ServerBehaviour::EndlessBody),
    Fault::Behaviour(ServerBehaviour::EndlessChunks),
    Fault::NamedLimit(0.5),
    Fault::NamedLimit(10.0),
    Fault::StatedLeaving,
    Fault::StatedLeaving,
    Fault::StoreRestored,
    Fault::StoreRestored,
    Fault::AskedTime,
    Fault::RouterCut(LinkFault::Hang),
    Fault::RouterCut(LinkFault::Hang),
    Fault::RouterCut(LinkFault::Down),
    Fault::RouterCut(LinkFault::Down),
    Fault::RouterCut(LinkFault::Refuse),
    Fault::RouterCut(LinkFault::Silence),
];

/// The faults that `seed` draws from.
fn faults(seed: u64) -> &'static [Fault] {
    let stage = STAGES.iter().rfind(|(first, _)| *first <= seed);
    let (_, count) = stage.expect("the first stage begins at 0");
    &FAULTS[..*count]
}

/// Injects random faults for the time `length`; all have ended when it returns.
/// Returns one line for each failure of a process.
pub async fn inject_faults(fleet: &Arc<Fleet>, seed: u64, length: Duration) -> Vec<String> {
    let faults = faults(seed);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let began = Instant::now();
    let mut running = JoinSet::new();
    while began.elapsed() < length {
        let fault = *faults.choose(&mut random).expect("there are faults");
        let time = Duration::from_millis(random.random_range(100..MAX_FAULT_TIME_MS));
        let choice = random.random_range(0..usize::MAX);
        running.spawn(run_fault(Arc::clone(fleet), fault, choice, time));
        sleep(Duration::from_millis(random.random_range(0..MAX_PAUSE_MS))).await;
    }
    let ended = running.join_all().await;
    ended.into_iter().flatten().collect()
}

async fn run_fault(
    fleet: Arc<Fleet>,
    fault: Fault,
    choice: usize,
    time: Duration,
) -> Option<String> {
    match fault {
        Fault::Kill => return restart(&fleet, choice, Signal::SIGKILL, time / 4).await,
        Fault::Stop => return restart(&fleet, choice, Signal::SIGTERM, time / 8).await,
        Fault::Pause => pause(&fleet, choice, time).await,
        Fault::Reload => signal(&fleet, choice, Signal::SIGHUP).await,
        Fault::Store(fault) => {
            fleet.store.set_fault(fault);
            sleep(time).await;
            fleet.store.set_fault(StoreFault::None);
        }
        Fault::StoreHistory => {
            fleet.store.drop_history("keyed.op");
            fleet.store.drop_history("keyed.servers");
        }
        Fault::StoreLink(fault) => {
            let link = &fleet.store_links[choice % fleet.store_links.len()];
            link.set_fault(fault);
            sleep(time * STORE_LINK_FACTOR).await;
            link.set_fault(LinkFault::None);
        }
        Fault::ServerLink(fault) => {
            with_backend(&fleet, choice, |it| it.link.set_fault(fault));
            sleep(time).await;
            with_backend(&fleet, choice, |it| it.link.set_fault(LinkFault::None));
        }
        Fault::RouterCut(fault) => {
            cut_router(&fleet, choice, fault, time * STORE_LINK_FACTOR).await
        }
        Fault::Behaviour(behaviour) => {
            with_backend(&fleet, choice, |it| it.server.set_behaviour(behaviour));
            sleep(time).await;
            with_backend(&fleet, choice, |it| it.server.set_behaviour(ServerBehaviour::Good));
        }
        Fault::NamedLimit(limit) => {
            with_backend(&fleet, choice, |it| it.server.set_limit(Some(limit)));
            sleep(time).await;
            with_backend(&fleet, choice, |it| it.server.set_limit(None));
        }
        Fault::Replace => return replace(&fleet, choice, start_draining).await,
        Fault::StatedLeaving => {
            return replace(&fleet, choice, |_, it| it.server.set_leaving(Some("1"))).await;
        }
        Fault::StoreRestored => {
            let copy = fleet.store.copy();
            sleep(time).await;
            fleet.restore(&copy);
        }
        Fault::AskedTime => {
            let asks = |it: &Backend| {
                it.server.set_retry_after(Some("1"));
                it.server.set_behaviour(ServerBehaviour::Shed);
            };
            with_backend(&fleet, choice, asks);
            sleep(time).await;
            with_backend(&fleet, choice, |it| it.server.set_behaviour(ServerBehaviour::Good));
        }
        Fault::Rules => fleet.put_rules(),
        Fault::RevokeKey => fleet.revoke_key(choice),
        Fault::WallStep(by) => return wall_step(&fleet, choice, by, time).await,
        Fault::BootJump(by) => {
            let number = choice % fleet.store_links.len();
            let suspension = Suspension { router: number, at: Instant::now() };
            fleet.suspensions.lock().unwrap().push(suspension);
            let jump = fleet.step_clock(number, |it| it.boot += by.as_millis() as u64);
            return jump.err().map(|e| format!("clock of router {number} cannot be stepped: {e}"));
        }
    }
    None
}

/// Backend servers are never removed, so `choice` selects the same one at each call.
fn with_backend(fleet: &Fleet, choice: usize, act: impl FnOnce(&Backend)) {
    let backends = fleet.backends.lock().unwrap();
    act(&backends[choice % FAULTY_BACKENDS]);
}

async fn signal(fleet: &Fleet, choice: usize, signal: Signal) {
    let mut routers = fleet.routers.lock().await;
    let at = choice % routers.len();
    if let Some(router) = &mut routers[at] {
        router.signal(signal);
    }
}

/// Cuts a router off from all servers for `time`.
async fn cut_router(fleet: &Fleet, choice: usize, fault: LinkFault, time: Duration) {
    let router = choice % fleet.router_links.len();
    let links = &fleet.router_links[router].links;
    let set = |fault| links.lock().unwrap().iter().for_each(|it| it.set_fault(fault));
    let index = {
        let mut cuts = fleet.cuts.lock().unwrap();
        cuts.push(RouterCut { router, began: Instant::now(), ended: None });
        cuts.len() - 1
    };
    set(fault);
    sleep(time).await;
    set(LinkFault::None);
    fleet.cuts.lock().unwrap()[index].ended = Some(Instant::now());
}

async fn pause(fleet: &Fleet, choice: usize, time: Duration) {
    signal(fleet, choice, Signal::SIGSTOP).await;
    sleep(time).await;
    signal(fleet, choice, Signal::SIGCONT).await;
}

async fn restart(fleet: &Fleet, choice: usize, signal: Signal, down: Duration) -> Option<String> {
    let (number, taken) = {
        let mut routers = fleet.routers.lock().await;
        let number = choice % routers.len();
        (number, routers[number].take())
    };
    // `None` while another fault restarts this router.
    let mut router = taken?;
    let mut failures = Vec::new();
    if let Some(status) = router.ended() {
        failures.push(format!("router {number} ended unexpectedly: {status}"));
    }
    let is_graceful = !router.is_paused && router.last_fault.elapsed() > FAULT_FREE_TIME;
    if signal == Signal::SIGTERM && is_graceful {
        let stop = Shutdown { router: number, callers: router.callers, at: Instant::now() };
        fleet.shutdowns.lock().unwrap().push(stop);
    }
    // A paused process handles SIGTERM only after SIGCONT.
    router.signal(Signal::SIGCONT);
    router.signal(signal);
    match router.wait().await {
        None => failures.push(format!("router {number} did not end after {signal}")),
        Some(status) if signal == Signal::SIGTERM && !status.success() => {
            failures.push(format!("router {number} ended with {status} after {signal}"));
        }
        Some(_) => {}
    }
    failures.extend(router.errors());
    sleep(down).await;
    if let Err(e) = fleet.start_router(number).await {
        failures.push(format!("router {number} did not start: {e}"));
    }
    (!failures.is_empty()).then(|| failures.join("; "))
}

/// Steps a wall clock and, after `time`, steps it back. Kills its router in between, so that
/// the next process starts with a wrong clock.
async fn wall_step(fleet: &Fleet, choice: usize, by: i64, time: Duration) -> Option<String> {
    let number = choice % fleet.store_links.len();
    let ahead = fleet.step_clock(number, |it| it.wall += by);
    sleep(time / 2).await;
    let failures = restart(fleet, choice, Signal::SIGKILL, Duration::ZERO).await;
    sleep(time / 2).await;
    let back = fleet.step_clock(number, |it| it.wall -= by);
    let failed =
        ahead.and(back).err().map(|e| format!("clock of router {number} cannot be stepped: {e}"));
    failures.or(failed)
}

/// Starts a backend server, and makes another one leave by `leave`.
async fn replace(
    fleet: &Fleet,
    choice: usize,
    leave: impl FnOnce(&Fleet, &mut Backend),
) -> Option<String> {
    if let Err(e) = fleet.add_backend().await {
        return Some(format!("a backend server did not start: {e}"));
    }
    let mut backends = fleet.backends.lock().unwrap();
    let all = backends.len();
    // Servers that get faults never leave.
    let at = FAULTY_BACKENDS + choice % (all - FAULTY_BACKENDS);
    let staying = backends.iter().skip(FAULTY_BACKENDS).filter(|it| !it.is_leaving).count();
    if staying > 3 && !backends[at].is_leaving {
        backends[at].is_leaving = true;
        leave(fleet, &mut backends[at]);
    }
    None
}

/// Writes in the record of a backend server that it drains.
fn start_draining(fleet: &Fleet, backend: &mut Backend) {
    fleet.put_record(backend, "draining");
    backend.draining_since = Some(Instant::now());
}
