//! The table of other routers, and the encoding of their messages.

use std::time::{Duration, Instant};

use filberttiller::decide::hash_bytes;
use filberttiller::peers::{FailureKind, Message, OwnReport, PeerTable, Reader, decode, encode};
use filberttiller::wire::{
    ServerLoad, WireBlamedPart, WireExchange, WireNews, WireObservation, WireRouter, WireServers,
    pack_loads, unpack_loads,
};
use proptest::collection::vec;
use proptest::prelude::{any, proptest};
use rstest::rstest;

pub(crate) fn router(name: &str, born: u64) -> WireRouter {
    let port = 1_000 + name.bytes().map(u16::from).sum::<u16>();
    WireRouter {
        name: name.to_owned(),
        callers: ([127, 0, 0, 1], port).into(),
        peers: ([127, 0, 0, 2], port).into(),
        domain: "a".to_owned(),
        born,
    }
}

pub(crate) fn report(router: WireRouter, age_ms: u64) -> WireObservation {
    WireObservation { router, ready: true, leaving: false, age_ms }
}

pub(crate) fn message(
    own: WireObservation,
    others: Vec<WireObservation>,
    loads: Vec<(u32, u8)>,
) -> WireExchange {
    let load = |(server, in_flight)| ServerLoad { server, in_flight, good: 0.0, bad: 0.0 };
    let loads = pack_loads(loads.into_iter().map(load));
    WireExchange { own, others, loads, crashes: Vec::new(), rules: None }
}

fn ready(peers: &PeerTable, now: Instant) -> Vec<String> {
    peers.ready(now).map(|it| it.name.clone()).collect()
}

fn in_flight(peers: &PeerTable, server: u32, now: Instant) -> Option<u32> {
    peers.loads(now).get(&server).map(|it| it.in_flight)
}

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn merge_direct_and_indirect_reports() {
    let (mut peers, now) = (PeerTable::new(router("me", 1)), Instant::now());
    let others = vec![report(router("c", 1), 300), report(router("me", 0), 10)];
    peers.merge_message(message(report(router("b", 1), 0), others, vec![(5, 2)]), now);
    assert_eq!(ready(&peers, now), ["b", "c"]);
    assert_eq!(
        in_flight(&peers, 5, now),
        Some(4),
        "c sent no loads: it counts with the mean of the others"
    );
    assert_eq!(ready(&peers, now + millis(1_400)), ["b"], "c was last seen 300 ms earlier");
    assert!(ready(&peers, now + millis(1_700)).is_empty());
    assert!(peers.loads(now + millis(1_700)).is_empty());
}

#[test]
fn merge_old_report_keeps_router_dead() {
    let (mut peers, now) = (PeerTable::new(router("me", 1)), Instant::now());
    peers.merge_message(message(report(router("b", 1), 0), Vec::new(), Vec::new()), now);
    let later = now + millis(2_000);
    let old = vec![report(router("b", 1), 1_900)];
    peers.merge_message(message(report(router("c", 1), 0), old, Vec::new()), later);
    assert_eq!(ready(&peers, later), ["c"]);
}

#[test]
fn record_refused_marks_router_dead() {
    let (mut peers, now) = (PeerTable::new(router("me", 1)), Instant::now());
    peers.merge_message(message(report(router("b", 1), 0), Vec::new(), vec![(5, 2)]), now);
    peers.record_failure(router("b", 1).peers, FailureKind::Refused, now);
    assert!(ready(&peers, now).is_empty());
    assert!(peers.loads(now).is_empty());
    peers
        .merge_message(message(report(router("b", 2), 0), Vec::new(), Vec::new()), now + millis(1));
    assert_eq!(ready(&peers, now + millis(1)), ["b"], "a new process counts as alive");
}

#[test]
fn merge_keeps_leaving_router_leaving() {
    let (mut peers, now) = (PeerTable::new(router("me", 1)), Instant::now());
    let mut own = report(router("b", 1), 0);
    own.leaving = true;
    peers.merge_message(message(own, Vec::new(), Vec::new()), now);
    let stale = vec![report(router("b", 1), 0)];
    peers.merge_message(message(report(router("c", 1), 0), stale, Vec::new()), now + millis(5));
    assert_eq!(ready(&peers, now + millis(5)), ["c"]);
}

/// A process is killed, its clock is set back, and it restarts. Its start time is then
/// earlier than that of the killed process, but it reports itself.
#[test]
fn merge_direct_report_after_restart_with_clock_set_back() {
    let (mut peers, now) = (PeerTable::new(router("me", 1)), Instant::now());
    peers.merge_message(message(report(router("b", 9_000), 0), Vec::new(), Vec::new()), now);
    peers.record_failure(router("b", 9_000).peers, FailureKind::Refused, now);
    let back = now + millis(2_500);
    peers.merge_message(message(report(router("b", 6_600), 0), Vec::new(), Vec::new()), back);
    assert_eq!(ready(&peers, back), ["b"], "its own report counts");
    let stale = vec![report(router("b", 9_000), 1_500)];
    let later = back + millis(300);
    peers.merge_message(message(report(router("c", 1), 0), stale, Vec::new()), later);
    assert_eq!(
        ready(&peers, later + millis(1_200)),
        ["b", "c"],
        "an old report of the killed process has no effect"
    );
}

/// The same, but only another router reports the restarted one.
#[test]
fn merge_indirect_report_after_restart_with_clock_set_back() {
    let (mut peers, now) = (PeerTable::new(router("me", 1)), Instant::now());
    peers.merge_message(message(report(router("b", 9_000), 0), Vec::new(), Vec::new()), now);
    let back = now + millis(2_500);
    let reports = vec![report(router("b", 6_600), 100)];
    peers.merge_message(message(report(router("c", 1), 0), reports, Vec::new()), back);
    assert_eq!(ready(&peers, back), ["b", "c"]);
}

#[test]
fn merge_announced_contacted_but_not_listed() {
    let (mut peers, now) = (PeerTable::new(router("me", 1)), Instant::now());
    peers.merge_announced(router("b", 1), now);
    assert!(ready(&peers, now).is_empty());
    assert_eq!(peers.addresses().count(), 1);
    assert_eq!(peers.alive_count(now), 0);
    peers.remove_expired(now + Duration::from_secs(120));
    assert_eq!(peers.addresses().count(), 0);
}

/// At the target size of 400 routers four read the store, and all agree on which.
#[test]
fn readers_few_and_same_everywhere() {
    let now = Instant::now();
    let names: Vec<String> = (0..400).map(|it| format!("front-{it}")).collect();
    let mut all = Vec::new();
    for own in names.iter().take(60) {
        let mut peers = PeerTable::new(router(own, 1));
        let others = names.iter().filter(|it| *it != own);
        let others = others.map(|it| report(router(it, 1), 10)).collect();
        peers.merge_message(message(report(router("front-0", 1), 0), others, Vec::new()), now);
        all.push((own, peers.readers(now).len(), peers.is_reader(now)));
    }
    assert!(all.iter().all(|(_, count, _)| *count == 4));
    assert!(all.iter().filter(|(_, _, own)| *own).count() <= 4);
}

/// All routers of a small fleet read the store; in larger fleets a few do so for all.
#[rstest]
#[case::small(4, 4)]
#[case::medium(5, 2)]
#[case::largest_medium(50, 2)]
#[case::large(51, 4)]
fn readers_by_size(#[case] routers: usize, #[case] readers: usize) {
    let now = Instant::now();
    let mut peers = PeerTable::new(router("front-0", 1));
    let others = (1..routers).map(|it| report(router(&format!("front-{it}"), 1), 10)).collect();
    peers.merge_message(message(report(router("front-1", 1), 0), others, Vec::new()), now);
    assert_eq!(peers.alive_count(now) + 1, routers);
    assert_eq!(peers.readers(now).len(), readers);
    assert_eq!(peers.has_followers(now), readers < routers);
}

#[test]
fn readers_without_peers() {
    let (mut peers, now) = (PeerTable::new(router("me", 1)), Instant::now());
    assert!(peers.is_reader(now) && !peers.has_followers(now));
    for name in ["a", "b", "c", "d", "e", "f", "g", "h"] {
        peers.merge_message(message(report(router(name, 1), 0), Vec::new(), Vec::new()), now);
    }
    assert!(peers.has_followers(now));
    assert!(peers.is_reader(now + millis(2_000)), "the others are no longer alive");
}

/// Of 10 other routers two have reported their loads; the others count with their mean.
#[test]
fn loads_estimated_for_silent_routers() {
    let (mut peers, now) = (PeerTable::new(router("me", 1)), Instant::now());
    let others = (0..8).map(|it| report(router(&format!("r{it}"), 1), 10)).collect();
    peers.merge_message(message(report(router("a", 1), 0), others, vec![(7, 3)]), now);
    peers.merge_message(message(report(router("b", 1), 0), Vec::new(), vec![(7, 1)]), now);
    assert_eq!(in_flight(&peers, 7, now), Some(20));
}

#[test]
fn pack_loads_precision() {
    let loads = [
        ServerLoad { server: 1, in_flight: 3, good: 2.5, bad: 0.125 },
        ServerLoad { server: u32::MAX, in_flight: 255, good: 1_000.0, bad: 1_000.0 },
    ];
    let bytes = pack_loads(loads);
    assert_eq!(bytes.len(), 14);
    let mut read = unpack_loads(&bytes);
    assert_eq!(read.next(), Some(loads[0]));
    let max = read.next().unwrap();
    assert_eq!((max.server, max.in_flight, max.good, max.bad), (u32::MAX, 255, 63.75, 31.875));
    assert_eq!(unpack_loads(&bytes[..10]).count(), 1);
}

#[test]
fn reader_prefers_same_domain() {
    let (mut peers, now) = (PeerTable::new(router("me", 1)), Instant::now());
    let far = |name: &str| {
        let mut it = router(name, 1);
        it.domain = "far".to_owned();
        report(it, 10)
    };
    let mut others: Vec<_> = (0..40).map(|it| far(&format!("f{it}"))).collect();
    others.extend((0..40).map(|it| report(router(&format!("n{it}"), 1), 10)));
    peers.merge_message(message(report(router("n0", 1), 0), others, Vec::new()), now);
    let readers = peers.readers(now);
    let near = readers.iter().filter_map(|it| match it {
        Reader::Peer(address, true) => Some(*address),
        _ => None,
    });
    let near: Vec<_> = near.collect();
    let reader = peers.reader(now);
    assert!(peers.is_reader(now) || near.is_empty() || near.contains(&reader.unwrap()));
    assert_eq!(peers.reader(now), reader, "always the same one");
}

/// At 400 routers a message reports on a few routers only. Two rounds a second to five
/// others then take a few kilobytes, which is within the limit on control traffic.
#[test]
fn message_size_bounded() {
    let (mut peers, now) = (PeerTable::new(router("me", 1)), Instant::now());
    let others = (0..400).map(|it| report(router(&format!("front-{it}"), 1), 10)).collect();
    peers.merge_message(message(report(router("a", 1), 0), others, Vec::new()), now);
    let loads =
        pack_loads((0..40).map(|server| ServerLoad { server, in_flight: 1, good: 1.0, bad: 0.0 }));
    let own = OwnReport { ready: true, loads, ..OwnReport::default() };
    let bytes = encode(&peers.message(own, now, &mut rand::rng())).unwrap();
    assert!(bytes.len() < 1_000, "{}", bytes.len());
}

/// Guards against routers of two versions that do not understand each other while one replaces
/// the other.
#[test]
fn news_skipped_by_older_router() {
    let exchange = message(report(router("b", 1), 0), Vec::new(), vec![(5, 2)]);
    let mut news = WireNews::default();
    news.parts.blamed.push(WireBlamedPart(7, 1_000, vec![8]));
    let sent = Message { exchange: exchange.clone(), news };
    let bytes = sent.encode().unwrap();
    assert_eq!(Message::decode(&bytes).unwrap(), sent);
    assert_eq!(decode::<WireExchange>(&bytes).unwrap(), exchange);
    let former = Message::decode(&encode(&exchange).unwrap()).unwrap();
    assert_eq!(former, Message { exchange, news: WireNews::default() });
}

#[test]
fn message_round_trip() {
    let (mut peers, now) = (PeerTable::new(router("me", 1)), Instant::now());
    peers.merge_message(message(report(router("b", 1), 0), Vec::new(), Vec::new()), now);
    let own = OwnReport { loads: vec![7; 14], rules: Some((3, 40)), ..OwnReport::default() };
    let sent = peers.message(own, now, &mut rand::rng());
    assert_eq!(decode::<WireExchange>(&encode(&sent).unwrap()).unwrap(), sent);
}

proptest! {
    #[test]
    fn decode_any_bytes(bytes in vec(any::<u8>(), 0..300)) {
        let _ = decode::<WireExchange>(&bytes);
        let _ = decode::<WireServers>(&bytes);
    }
}

/// Other routers are asked in an order that all routers share, those that are alive first.
#[test]
fn ranked_alive_first() {
    let now = Instant::now();
    let mut peers = PeerTable::new(router("own", 1));
    for name in ["a", "b", "c"] {
        peers.merge_message(message(report(router(name, 1), 0), Vec::new(), Vec::new()), now);
    }
    peers.merge_announced(router("silent", 1), now);
    for key in 0..50 {
        let ranked: Vec<_> = peers.ranked(key, now).collect();
        assert_eq!(ranked.len(), 4);
        assert_eq!(ranked[3], (hash_bytes(b"silent"), router("silent", 1).peers));
        let alive: Vec<_> = peers.ranked_alive(key, now).collect();
        assert_eq!(alive, ranked[..3]);
        let mut other = PeerTable::new(router("a", 1));
        for name in ["own", "b", "c"] {
            other.merge_message(message(report(router(name, 1), 0), Vec::new(), Vec::new()), now);
        }
        let common = |all: &PeerTable| {
            let shared = [router("b", 1).peers, router("c", 1).peers];
            let ranked = all.ranked(key, now).map(|(_, peer)| peer);
            ranked.filter(|it| shared.contains(it)).collect::<Vec<_>>()
        };
        assert_eq!(common(&peers), common(&other), "all routers agree");
    }
}
