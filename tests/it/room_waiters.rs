//! Tests of the requests that wait in a router.

use std::sync::Arc;

use filberttiller::decide::{Lane, Standing};
use filberttiller::servers::{RoomWaiters, WaitingPlace};
use futures_util::FutureExt;
use prometheus::IntGauge;

const SERVICE: u64 = 7;
const MIB: usize = 1024 * 1024;

fn waiters() -> Arc<RoomWaiters> {
    Arc::new(RoomWaiters::new(IntGauge::new("waiting", "waiting").unwrap()))
}

fn enter(waiters: &Arc<RoomWaiters>, rank: u8, bytes: usize) -> Option<WaitingPlace> {
    waiters.enter(SERVICE, Lane::new(rank, Standing::New), 1, bytes)
}

fn is_woken(place: &WaitingPlace) -> bool {
    place.woken().now_or_never().is_some()
}

#[test]
fn wake_urgent_ones_first() {
    let waiters = waiters();
    let places = [2, 1, 0, 0].map(|rank| enter(&waiters, rank, 0).unwrap());
    waiters.wake(SERVICE);
    assert_eq!(places.each_ref().map(is_woken), [false, false, true, true]);
    waiters.wake(SERVICE + 1);
    assert!(!places.iter().any(is_woken), "room of another service");
}

// Failure: a woken request is dropped before it selects a server; the room is not lost.
#[test]
fn drop_passes_room_on() {
    let waiters = waiters();
    let mut places: Vec<_> = (0..4).map(|_| enter(&waiters, 0, 0).unwrap()).collect();
    waiters.wake(SERVICE);
    places.remove(0);
    assert!(is_woken(&places[1]) && is_woken(&places[2]));
}

#[test]
fn restored_keeps_place() {
    let waiters = waiters();
    let places = [0, 0, 0].map(|rank| enter(&waiters, rank, 0).unwrap());
    waiters.wake(SERVICE);
    assert!(is_woken(&places[0]));
    places[0].restore();
    waiters.wake(SERVICE);
    assert!(is_woken(&places[0]) && is_woken(&places[2]));
}

// Load: callers with large bodies, or very many; what waits is bounded.
#[test]
fn enter_bounded() {
    let waiters = waiters();
    let large: Vec<_> = (0..20).map_while(|_| enter(&waiters, 0, MIB)).collect();
    assert_eq!(large.len(), 8);
    drop(large);
    assert!(waiters.is_empty());
    let many: Vec<_> = (0..5_000).map_while(|_| enter(&waiters, 0, 0)).collect();
    assert_eq!(many.len(), 1_024);
}

#[test]
fn wake_all_of_each_service() {
    let waiters = waiters();
    let other = waiters.enter(SERVICE + 1, Lane::default(), 1, 0).unwrap();
    let places = [0, 1, 2, 3].map(|rank| enter(&waiters, rank, 0).unwrap());
    waiters.wake_all();
    assert!(places.iter().all(is_woken) && is_woken(&other));
}
