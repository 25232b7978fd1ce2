//! Routers that are paused and resume after the deadlines of their calls.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use filberttiller::clock::{Clock, SharedClock, SystemClock};
use filberttiller::demo::Fleet;
use filberttiller::events::Code;
use filberttiller::once::CLAIM_STREAM;
use rstest::rstest;
use tokio::time::sleep;

use crate::reservation::{
    CallResult, Reservation, addrs, new_key, once_fleet, once_options, reservation, reserve,
};

/// Deadline of the call during which the router is paused.
const DEADLINE_MS: u64 = 300;

/// A clock that can pause a router: while it is blocked, every thread that reads it waits.
#[derive(Debug, Default)]
struct BlockingClock {
    is_blocked: Mutex<bool>,
    unblocked: Condvar,
    /// Number of reads by traffic threads until the clock blocks; 0 for never.
    reads_until_block: AtomicU64,
}

impl BlockingClock {
    fn block(&self) {
        *self.is_blocked.lock().unwrap() = true;
    }

    fn unblock(&self) {
        *self.is_blocked.lock().unwrap() = false;
        self.unblocked.notify_all();
    }

    fn is_blocked(&self) -> bool {
        *self.is_blocked.lock().unwrap()
    }
}

impl Clock for BlockingClock {
    fn now(&self) -> Instant {
        let is_traffic = thread::current().name().is_some_and(|it| it.starts_with("traffic"));
        let next = |it: u64| it.checked_sub(1);
        let reads = self.reads_until_block.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |it| {
            if is_traffic { next(it) } else { None }
        });
        if reads == Ok(1) {
            self.block();
        }
        let blocked = self.is_blocked.lock().unwrap();
        drop(self.unblocked.wait_while(blocked, |it| *it).unwrap());
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }

    fn boot(&self) -> Duration {
        SystemClock.boot()
    }
}

/// Unblocks the clock when the test ends, also by a panic.
struct UnblockOnDrop(Arc<BlockingClock>);

impl Drop for UnblockOnDrop {
    fn drop(&mut self) {
        self.0.reads_until_block.store(0, Ordering::SeqCst);
        self.0.unblock();
    }
}

/// A fleet of three routers, the last of which uses `clock`.
async fn fleet_with_clock(clock: &Arc<BlockingClock>) -> Fleet {
    let mut options = once_options();
    options.routers = 2;
    let mut fleet = once_fleet(options).await;
    let clock: SharedClock = Arc::clone(clock) as SharedClock;
    fleet.add_router_with_clock(clock).unwrap();
    fleet
        .wait_until(|it| {
            let knows_all = |r: &filberttiller::daemon::Daemon| {
                let view = r.shared().view.peek();
                view.ready && view.routers.len() == 3
            };
            it.routers.iter().all(knows_all)
        })
        .await;
    fleet
}

/// Sends a reservation to all routers in turn.
async fn send_all(
    fleet: &Fleet,
    all: &[SocketAddr],
    reservation: Reservation<'_>,
) -> Vec<CallResult> {
    let mut results = Vec::new();
    for addr in all {
        results.push(reserve(fleet, *addr, reservation).await);
    }
    results
}

/// The owner of a key is paused at one of the clock reads of a call and resumes after
/// the deadline, when the caller has sent the call to all other routers. A run at that
/// time would be a second one.
#[rstest]
#[tokio::test]
async fn resumed_owner_never_runs_again(
    #[values(false, true)] issued: bool,
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] read: u64,
) {
    let clock = Arc::new(BlockingClock::default());
    let fleet = fleet_with_clock(&clock).await;
    let _unblock = UnblockOnDrop(Arc::clone(&clock));
    let all = addrs(&fleet);
    let key = new_key(&fleet, all[2], issued).await;
    clock.reads_until_block.store(read, Ordering::SeqCst);
    let short = Reservation { deadline_ms: DEADLINE_MS, ..reservation(&key) };
    let mut first = Box::pin(reserve(&fleet, all[2], short));
    let blocked = async {
        while !clock.is_blocked() {
            sleep(Duration::from_millis(1)).await;
        }
        // The caller waits until its deadline.
        sleep(Duration::from_millis(DEADLINE_MS)).await;
    };
    tokio::select! { it = &mut first => panic!("the router was not paused: {it:?}"), () = blocked => {} }
    drop(first);
    let mut results = send_all(&fleet, &all[..2], short).await;
    clock.unblock();
    results.extend(send_all(&fleet, &all, reservation(&key)).await);
    let runs = fleet.services[0].runs(&key);
    println!("clock read {read}: {runs} runs, results {results:?}");
    assert!(runs <= 1, "{results:?}");
    assert!(results.iter().all(|it| it.verdict != "not_run"), "{results:?}");
    let answers: Vec<_> = results.iter().filter(|it| it.is("ran", "")).collect();
    assert!(answers.is_empty() || runs == 1, "{results:?}");
    assert!(answers.windows(2).all(|it| it[0] == it[1]), "{results:?}");
}

/// The log drops claims while a router is paused. That router then refuses to claim keys,
/// since it may have missed their owners; known and issued keys still work.
#[tokio::test]
async fn claims_gap_refuses_new_claims() {
    let clock = Arc::new(BlockingClock::default());
    let fleet = fleet_with_clock(&clock).await;
    let _unblock = UnblockOnDrop(Arc::clone(&clock));
    let all = addrs(&fleet);
    let before = reserve(&fleet, all[0], reservation("before")).await;
    assert_eq!(reserve(&fleet, all[2], reservation("before")).await, before);
    clock.block();
    // The reply to the read in progress contains the first claim; the others are missed.
    for key in ["read", "missed", "missed-too"] {
        assert!(reserve(&fleet, all[0], reservation(key)).await.is("ran", ""));
    }
    fleet.log.set_retention(Duration::ZERO);
    sleep(Duration::from_millis(2)).await;
    let kept = fleet.log.page(CLAIM_STREAM, 0);
    assert_eq!(kept.first, kept.next);
    clock.unblock();
    let has_gap = |it: &Fleet| {
        let events = it.routers[2].shared().events.since(0);
        events.iter().any(|it| it.code == Code::ClaimsGap.number())
    };
    fleet.wait_until(has_gap).await;
    for key in ["missed", "missed-too", "new"] {
        let result = reserve(&fleet, all[2], reservation(key)).await;
        assert!(result.is("may_have_run", "claims_unavailable") && result.retry, "{result:?}");
        assert_eq!(fleet.services[0].runs(key), u32::from(key != "new"));
    }
    assert_eq!(reserve(&fleet, all[2], reservation("before")).await, before);
    let issued = new_key(&fleet, all[2], true).await;
    assert!(reserve(&fleet, all[2], reservation(&issued)).await.is("ran", ""));
    assert_eq!(reserve(&fleet, all[1], reservation("before")).await, before);
}
