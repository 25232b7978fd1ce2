//! The roster of routers.

use std::time::{Duration, Instant};

use filberttiller::peers::{Roster, decode, encode};
use filberttiller::wire::{WireExchange, WireRouter, WireSeen};
use proptest::collection::vec;
use proptest::prelude::{any, proptest};

fn router(name: &str, born: u64) -> WireRouter {
    let port = 1_000 + name.bytes().map(u16::from).sum::<u16>();
    WireRouter {
        name: name.to_owned(),
        callers: ([127, 0, 0, 1], port).into(),
        peers: ([127, 0, 0, 2], port).into(),
        domain: "a".to_owned(),
        born,
    }
}

fn seen(router: WireRouter, age_ms: u64) -> WireSeen {
    WireSeen { router, ready: true, leaving: false, age_ms }
}

fn message(own: WireSeen, others: Vec<WireSeen>, loads: Vec<(u64, u32)>) -> WireExchange {
    WireExchange { own, others, loads, crashes: Vec::new() }
}

fn ready(roster: &Roster, now: Instant) -> Vec<String> {
    roster.ready(now).map(|it| it.name.clone()).collect()
}

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn hear_directly_and_through_others() {
    let (mut roster, now) = (Roster::new(router("me", 1)), Instant::now());
    let others = vec![seen(router("c", 1), 300), seen(router("me", 0), 10)];
    roster.hear(message(seen(router("b", 1), 0), others, vec![(5, 2)]), now);
    assert_eq!(ready(&roster, now), ["b", "c"]);
    assert_eq!(roster.loads(now).get(&5), Some(&2));
    assert_eq!(ready(&roster, now + millis(1_400)), ["b"], "c was heard of 300 ms earlier");
    assert!(ready(&roster, now + millis(1_700)).is_empty());
    assert!(roster.loads(now + millis(1_700)).is_empty());
}

#[test]
fn hear_dead_router_is_not_revived_by_old_news() {
    let (mut roster, now) = (Roster::new(router("me", 1)), Instant::now());
    roster.hear(message(seen(router("b", 1), 0), Vec::new(), Vec::new()), now);
    let later = now + millis(2_000);
    let old = vec![seen(router("b", 1), 1_900)];
    roster.hear(message(seen(router("c", 1), 0), old, Vec::new()), later);
    assert_eq!(ready(&roster, later), ["c"]);
}

#[test]
fn refused_router_is_dead_at_once() {
    let (mut roster, now) = (Roster::new(router("me", 1)), Instant::now());
    roster.hear(message(seen(router("b", 1), 0), Vec::new(), vec![(5, 2)]), now);
    roster.refused(router("b", 1).peers);
    assert!(ready(&roster, now).is_empty());
    assert!(roster.loads(now).is_empty());
    roster.hear(message(seen(router("b", 2), 0), Vec::new(), Vec::new()), now + millis(1));
    assert_eq!(ready(&roster, now + millis(1)), ["b"], "a new process is another matter");
}

#[test]
fn leaving_router_stays_leaving() {
    let (mut roster, now) = (Roster::new(router("me", 1)), Instant::now());
    let mut own = seen(router("b", 1), 0);
    own.leaving = true;
    roster.hear(message(own, Vec::new(), Vec::new()), now);
    let stale = vec![seen(router("b", 1), 0)];
    roster.hear(message(seen(router("c", 1), 0), stale, Vec::new()), now + millis(5));
    assert_eq!(ready(&roster, now + millis(5)), ["c"]);
}

#[test]
fn learnt_router_is_asked_but_not_told() {
    let (mut roster, now) = (Roster::new(router("me", 1)), Instant::now());
    roster.learn(router("b", 1), now);
    assert!(ready(&roster, now).is_empty());
    assert_eq!(roster.addresses().count(), 1);
    assert_eq!(roster.alive(now), 0);
    roster.sweep(now + Duration::from_secs(120));
    assert_eq!(roster.addresses().count(), 0);
}

#[test]
fn message_round_trip() {
    let (mut roster, now) = (Roster::new(router("me", 1)), Instant::now());
    roster.hear(message(seen(router("b", 1), 0), Vec::new(), Vec::new()), now);
    let sent = roster.message(true, false, vec![(1, 2)], Vec::new(), now);
    assert_eq!(decode(&encode(&sent).unwrap()).unwrap(), sent);
}

proptest! {
    #[test]
    fn decode_any_bytes(bytes in vec(any::<u8>(), 0..300)) {
        let _ = decode(&bytes);
    }
}
