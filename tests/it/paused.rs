//! Routers that stop for a while and wake after everyone gave up.

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

/// Deadline of the call during which the router stops.
const DEADLINE_MS: u64 = 300;

/// A clock that stops whoever looks at it while its gate is closed.
#[derive(Debug, Default)]
struct GatedClock {
    closed: Mutex<bool>,
    opened: Condvar,
    /// Looks of traffic threads until the gate closes; 0 for never.
    looks: AtomicU64,
}

impl GatedClock {
    fn close(&self) {
        *self.closed.lock().unwrap() = true;
    }

    fn open(&self) {
        *self.closed.lock().unwrap() = false;
        self.opened.notify_all();
    }

    fn is_closed(&self) -> bool {
        *self.closed.lock().unwrap()
    }
}

impl Clock for GatedClock {
    fn now(&self) -> Instant {
        let traffic = thread::current().name().is_some_and(|it| it.starts_with("traffic"));
        let next = |it: u64| it.checked_sub(1);
        let looks = self.looks.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |it| {
            if traffic { next(it) } else { None }
        });
        if looks == Ok(1) {
            self.close();
        }
        let closed = self.closed.lock().unwrap();
        drop(self.opened.wait_while(closed, |it| *it).unwrap());
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }

    fn boot(&self) -> Duration {
        SystemClock.boot()
    }
}

/// Opens the gate when the test ends, however it ends.
struct OpenAtEnd(Arc<GatedClock>);

impl Drop for OpenAtEnd {
    fn drop(&mut self) {
        self.0.looks.store(0, Ordering::SeqCst);
        self.0.open();
    }
}

/// Three routers, the last of which goes by the clock.
async fn gated_fleet(clock: &Arc<GatedClock>) -> Fleet {
    let mut options = once_options();
    options.routers = 2;
    let mut fleet = once_fleet(options).await;
    let clock: SharedClock = Arc::clone(clock) as SharedClock;
    fleet.add_router_with_clock(clock).unwrap();
    fleet
        .wait_until(|it| {
            let knows = |r: &filberttiller::daemon::Daemon| {
                let view = r.shared().view.peek();
                view.ready && view.routers.len() == 3
            };
            it.routers.iter().all(knows)
        })
        .await;
    fleet
}

/// Sends the key to all routers in turn.
async fn send_all(fleet: &Fleet, all: &[SocketAddr], order: Reservation<'_>) -> Vec<CallResult> {
    let mut told = Vec::new();
    for addr in all {
        told.push(reserve(fleet, *addr, order).await);
    }
    told
}

/// The router stops at each look at the clock that it takes for a call, and goes
/// on after the deadline, when the caller has left and asked all others.
#[rstest]
#[tokio::test]
async fn woken_owner_never_runs_again(
    #[values(false, true)] issued: bool,
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] look: u64,
) {
    let clock = Arc::new(GatedClock::default());
    let fleet = gated_fleet(&clock).await;
    let _open = OpenAtEnd(Arc::clone(&clock));
    let all = addrs(&fleet);
    let key = new_key(&fleet, all[2], issued).await;
    clock.looks.store(look, Ordering::SeqCst);
    let short = Reservation { deadline_ms: DEADLINE_MS, ..reservation(&key) };
    let mut first = Box::pin(reserve(&fleet, all[2], short));
    let closed = async {
        while !clock.is_closed() {
            sleep(Duration::from_millis(1)).await;
        }
        // The caller waits for the whole of its deadline.
        sleep(Duration::from_millis(DEADLINE_MS)).await;
    };
    tokio::select! { it = &mut first => panic!("the router did not stop: {it:?}"), () = closed => {} }
    drop(first);
    let mut told = send_all(&fleet, &all[..2], short).await;
    clock.open();
    told.extend(send_all(&fleet, &all, reservation(&key)).await);
    let runs = fleet.services[0].runs(&key);
    println!("look {look}: {runs} runs, told {told:?}");
    assert!(runs <= 1, "{told:?}");
    assert!(told.iter().all(|it| it.verdict != "not_run"), "{told:?}");
    let answers: Vec<_> = told.iter().filter(|it| it.is("ran", "")).collect();
    assert!(answers.is_empty() || runs == 1, "{told:?}");
    assert!(answers.windows(2).all(|it| it[0] == it[1]), "{told:?}");
}

/// Claims that the log dropped while a router stood still are not claimed anew
/// there; known and issued keys go on.
#[tokio::test]
async fn claims_gap_claims_nothing() {
    let clock = Arc::new(GatedClock::default());
    let fleet = gated_fleet(&clock).await;
    let _open = OpenAtEnd(Arc::clone(&clock));
    let all = addrs(&fleet);
    let before = reserve(&fleet, all[0], reservation("before")).await;
    assert_eq!(reserve(&fleet, all[2], reservation("before")).await, before);
    clock.close();
    // The answer to a read under way brings the first claim; the others are missed.
    for key in ["read", "missed", "missed-too"] {
        assert!(reserve(&fleet, all[0], reservation(key)).await.is("ran", ""));
    }
    fleet.log.set_retention(Duration::ZERO);
    sleep(Duration::from_millis(2)).await;
    let kept = fleet.log.page(CLAIM_STREAM, 0);
    assert_eq!(kept.first, kept.next);
    clock.open();
    let gap = |it: &Fleet| {
        let events = it.routers[2].shared().events.since(0);
        events.iter().any(|it| it.code == Code::ClaimsGap.number())
    };
    fleet.wait_until(gap).await;
    for key in ["missed", "missed-too", "new"] {
        let told = reserve(&fleet, all[2], reservation(key)).await;
        assert!(told.is("may_have_run", "claims_unavailable") && told.retry, "{told:?}");
        assert_eq!(fleet.services[0].runs(key), u32::from(key != "new"));
    }
    assert_eq!(reserve(&fleet, all[2], reservation("before")).await, before);
    let issued = new_key(&fleet, all[2], true).await;
    assert!(reserve(&fleet, all[2], reservation(&issued)).await.is("ran", ""));
    assert_eq!(reserve(&fleet, all[1], reservation("before")).await, before);
}
