//! Faults from outside, in series that overlap.

use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use standins::platform::{ServerBehaviour, StoreFault};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::fleet::{Backend, Fleet, HARMED_BACKENDS, Shutdown};
use crate::link::Harm;

/// Longest pause between two faults.
const MOST_PAUSE_MS: u64 = 700;
/// A shutdown is a calm one if its router was not harmed for this long.
const CALM_BEFORE_STOP: Duration = Duration::from_secs(3);
/// How much longer the way of one router to the store is harmed than other things, so
/// that its rules grow older than they may.
const STORE_LINK_FACTOR: u32 = 3;
/// How far wall clocks jump, in milliseconds.
const WALL_STEP_MS: i64 = 30_000;
/// A suspension that outlasts every lease.
const BOOT_JUMP: Duration = Duration::from_millis(6_000);
/// Longest fault.
const MOST_TIME_MS: u64 = 4_000;

/// A kind of fault.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Kill,
    Pause,
    Stop,
    Reload,
    Store(StoreFault),
    StoreHistory,
    StoreLink(Harm),
    ServerLink(Harm),
    Behaviour(ServerBehaviour),
    Replace,
    Rules,
    TakeKey,
    /// The wall clock jumps back, or ahead, and back again.
    WallStep(i64),
    /// The machine was suspended: time since boot has gone on.
    BootJump(Duration),
}

/// Seeds below this play without the faults of clocks, which came later, so that they
/// stay what they were.
const FIRST_CLOCK_SEED: u64 = 1_000;
/// The faults before those of clocks.
const CLOCKLESS: usize = 26;

const FAULTS: [Fault; 29] = [
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
    Fault::StoreLink(Harm::Silence),
    Fault::StoreLink(Harm::CutOneWay),
    Fault::StoreLink(Harm::Reset),
    Fault::StoreLink(Harm::Delay(Duration::from_millis(150))),
    Fault::ServerLink(Harm::Silence),
    Fault::ServerLink(Harm::Reset),
    Fault::ServerLink(Harm::Delay(Duration::from_millis(80))),
    Fault::Behaviour(ServerBehaviour::LoseAnswer),
    Fault::Behaviour(ServerBehaviour::ServerError),
    Fault::Behaviour(ServerBehaviour::BreakAfter(2)),
    Fault::Behaviour(ServerBehaviour::ExtraAnswer),
    Fault::Behaviour(ServerBehaviour::Garbage),
    Fault::Behaviour(ServerBehaviour::Shed),
    Fault::Replace,
    Fault::Rules,
    Fault::TakeKey,
    Fault::WallStep(-WALL_STEP_MS),
    Fault::WallStep(WALL_STEP_MS),
    Fault::BootJump(BOOT_JUMP),
];

/// Plays random faults for the time `length`; all are over at its return.
/// Returns lines for what went wrong with processes.
pub async fn play(fleet: &Arc<Fleet>, seed: u64, length: Duration) -> Vec<String> {
    let faults = if seed < FIRST_CLOCK_SEED { &FAULTS[..CLOCKLESS] } else { &FAULTS };
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let began = Instant::now();
    let mut running = JoinSet::new();
    while began.elapsed() < length {
        let fault = *faults.choose(&mut random).expect("there are faults");
        let time = Duration::from_millis(random.random_range(100..MOST_TIME_MS));
        let choice = random.random_range(0..usize::MAX);
        running.spawn(one(Arc::clone(fleet), fault, choice, time));
        sleep(Duration::from_millis(random.random_range(0..MOST_PAUSE_MS))).await;
    }
    let ended = running.join_all().await;
    ended.into_iter().flatten().collect()
}

async fn one(fleet: Arc<Fleet>, fault: Fault, choice: usize, time: Duration) -> Option<String> {
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
        Fault::StoreLink(harm) => {
            let link = &fleet.store_links[choice % fleet.store_links.len()];
            link.set_harm(harm);
            sleep(time * STORE_LINK_FACTOR).await;
            link.set_harm(Harm::None);
        }
        Fault::ServerLink(harm) => {
            with_backend(&fleet, choice, |it| it.link.set_harm(harm));
            sleep(time).await;
            with_backend(&fleet, choice, |it| it.link.set_harm(Harm::None));
        }
        Fault::Behaviour(behaviour) => {
            with_backend(&fleet, choice, |it| it.worker.set_behaviour(behaviour));
            sleep(time).await;
            with_backend(&fleet, choice, |it| it.worker.set_behaviour(ServerBehaviour::Good));
        }
        Fault::Replace => return replace(&fleet, choice).await,
        Fault::Rules => fleet.put_rules(),
        Fault::TakeKey => fleet.take_key(choice),
        Fault::WallStep(by) => return wall_step(&fleet, choice, by, time).await,
        Fault::BootJump(by) => {
            let number = choice % fleet.store_links.len();
            let jump = fleet.step_clock(number, |it| it.boot += by.as_millis() as u64);
            return jump.err().map(|e| format!("a clock cannot be stepped: {e}"));
        }
    }
    None
}

/// Backend servers are only added, so that one number means the same one before and after.
fn with_backend(fleet: &Fleet, choice: usize, act: impl FnOnce(&Backend)) {
    let backends = fleet.backends.lock().unwrap();
    act(&backends[choice % HARMED_BACKENDS]);
}

async fn signal(fleet: &Fleet, choice: usize, signal: Signal) {
    let mut routers = fleet.routers.lock().await;
    let at = choice % routers.len();
    if let Some(router) = &mut routers[at] {
        router.signal(signal);
    }
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
    // Being restarted already.
    let mut router = taken?;
    let mut wrong = Vec::new();
    if let Some(status) = router.ended() {
        wrong.push(format!("router {number} ended by itself: {status}"));
    }
    let calm = !router.paused && router.harmed.elapsed() > CALM_BEFORE_STOP;
    if signal == Signal::SIGTERM && calm {
        let stop = Shutdown { callers: router.callers, at: Instant::now() };
        fleet.shutdowns.lock().unwrap().push(stop);
    }
    // A paused process ends only once it goes on.
    router.signal(Signal::SIGCONT);
    router.signal(signal);
    match router.wait().await {
        None => wrong.push(format!("router {number} did not end after {signal}")),
        Some(status) if signal == Signal::SIGTERM && !status.success() => {
            wrong.push(format!("router {number} ended with {status} after {signal}"));
        }
        Some(_) => {}
    }
    wrong.extend(router.errors());
    sleep(down).await;
    if let Err(e) = fleet.start_router(number).await {
        wrong.push(format!("router {number} did not start: {e}"));
    }
    (!wrong.is_empty()).then(|| wrong.join("; "))
}

/// A wall clock jumps and, after `time`, back; its router is killed in between, so that
/// the next process starts by a clock that is off.
async fn wall_step(fleet: &Fleet, choice: usize, by: i64, time: Duration) -> Option<String> {
    let number = choice % fleet.store_links.len();
    let ahead = fleet.step_clock(number, |it| it.wall += by);
    sleep(time / 2).await;
    let wrong = restart(fleet, choice, Signal::SIGKILL, Duration::ZERO).await;
    sleep(time / 2).await;
    let back = fleet.step_clock(number, |it| it.wall -= by);
    let failed = ahead.and(back).err().map(|e| format!("a clock cannot be stepped: {e}"));
    wrong.or(failed)
}

/// Starts a backend server and lets another one leave.
async fn replace(fleet: &Fleet, choice: usize) -> Option<String> {
    if let Err(e) = fleet.add_backend().await {
        return Some(format!("a backend server did not start: {e}"));
    }
    let mut backends = fleet.backends.lock().unwrap();
    let all = backends.len();
    // Those that faults harm stay.
    let at = HARMED_BACKENDS + choice % (all - HARMED_BACKENDS);
    let staying = backends.iter().skip(HARMED_BACKENDS).filter(|it| it.left.is_none()).count();
    if staying > 3 && backends[at].left.is_none() {
        fleet.put_record(&backends[at], "draining");
        backends[at].left = Some(Instant::now());
    }
    None
}
