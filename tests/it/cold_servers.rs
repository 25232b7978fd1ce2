//! A cold backend server and a fleet of routers that know each other with delays: what it gets.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filberttiller::decide::{LimitSenders, hash_bytes};
use filberttiller::peers::PeerTable;
use filberttiller::servers::{ColdTerms, Server, ServerTable, TableRevision};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::peers::{message, report, router};
use crate::server_records::{apply, put, ready};
use crate::support::server_record;

/// The promise: in any second at most `rate * MAX_FACTOR + MAX_EXTRA` requests.
const MAX_FACTOR: f64 = 1.5;
const MAX_EXTRA: f64 = 5.0;
/// Part of the rate that the server gets at the least while demand exceeds it.
const MIN_PART: f64 = 0.3;
const RUN_MS: u64 = 24_000;
/// Time after which each router sees other routers as missing.
const VIEW_MS: u64 = 1_500;
/// How long a router that starts has no share.
const START_MS: u64 = 10_000;
/// When the fleet grows by three quarters, and within what time the others hear of that.
const GROWTH_MS: u64 = 4_000;
const HEARD_MS: u64 = 3_000;
/// Time between two restarts, and between two freezes, of one router each.
const RESTART_MS: u64 = 12_000;
const FREEZE_MS: u64 = 3_000;
const FREEZE_TIME_MS: u64 = 6_000;
/// Requests that look for a server in each millisecond.
const DEMAND: usize = 12;

/// One router of the model.
struct Sender {
    hash: u64,
    server: Server,
    started: u64,
    /// Its view is not updated before then.
    frozen_until: u64,
    terms: ColdTerms,
}

impl Sender {
    fn start(number: usize, started: u64, rate: f64, start: Instant) -> Sender {
        let server = Server::new("i-1", &server_record());
        server.extend_cold(Duration::from_secs(60), start);
        let hash = hash_bytes(format!("front-{number}").as_bytes());
        let terms = ColdTerms { rate: Some(rate), senders: None };
        Sender { hash, server, started, frozen_until: 0, terms }
    }

    /// Updates its view: it lacks one router in twenty, and those that joined just now.
    fn look(&mut self, fleet: &[(u64, u64)], ms: u64, random: &mut ChaCha8Rng) {
        if ms < self.started + START_MS {
            return;
        }
        let mut is_known = |(hash, joined): &(u64, u64)| {
            let is_heard = *joined == 0 || ms > joined + random.random_range(0..HEARD_MS);
            *hash != self.hash && is_heard && !random.random_bool(0.05)
        };
        let others = fleet.iter().filter(|it| is_known(it)).map(|(hash, _)| *hash).collect();
        self.terms.senders = Some(Arc::new(LimitSenders { own: self.hash, others }));
        self.server.forget_cold_share();
    }
}

/// Guards against routers that together send a cold server more than it bears: while the fleet
/// grows, views are stale or lack routers, and routers freeze or start again (FAILBACK).
#[rstest]
fn fleet_spares_cold_server(
    #[values(4, 26, 99, 400)] routers: usize,
    #[values(1.0, 14.0, 120.0)] rate: f64,
    #[values(1, 2)] seed: u64,
) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let start = Instant::now();
    // Long before the model begins.
    let mut fleet: Vec<Sender> = (0..routers).map(|it| Sender::start(it, 0, rate, start)).collect();
    let mut names: Vec<(u64, u64)> = fleet.iter().map(|it| (it.hash, 0)).collect();
    let first = START_MS;
    let mut got: Vec<u64> = Vec::new();
    for ms in first..first + RUN_MS {
        if ms == first + GROWTH_MS {
            let new = routers..routers + routers * 3 / 4;
            fleet.extend(new.map(|it| Sender::start(it, ms, rate, start)));
            names.extend(fleet[routers..].iter().map(|it| (it.hash, ms)));
        }
        let number = random.random_range(0..routers);
        if ms.is_multiple_of(RESTART_MS) {
            fleet[number] = Sender::start(number, ms, rate, start);
        }
        if ms.is_multiple_of(FREEZE_MS) {
            fleet[number].frozen_until = ms + FREEZE_TIME_MS;
        }
        if ms.is_multiple_of(VIEW_MS) || ms == first {
            for it in fleet.iter_mut().filter(|it| it.frozen_until <= ms) {
                it.look(&names, ms, &mut random);
            }
        }
        let now = start + Duration::from_millis(ms);
        for _ in 0..DEMAND {
            let it = &fleet[random.random_range(0..fleet.len())];
            let may_send = it.frozen_until <= ms && it.server.has_allowance(&it.terms, now);
            if may_send && it.server.take_allowance(&it.terms, now) {
                got.push(ms);
            }
        }
    }
    let in_second = |from: u64| got.iter().filter(|it| (from..from + 1_000).contains(*it)).count();
    let most = got.iter().map(|it| in_second(*it)).max().unwrap_or(0) as f64;
    let allowed = rate * MAX_FACTOR + MAX_EXTRA;
    assert!(most <= allowed, "{most} requests, {allowed} allowed");
    let least = rate * MIN_PART * RUN_MS as f64 / 1_000.0;
    assert!(got.len() as f64 >= least, "{} requests, {least} expected", got.len());
}

/// Guards against a rate that counts for a server that is warm, or where the rules name none.
#[test]
fn allowance_without_limit() {
    let (server, now) = (Server::new("i-1", &server_record()), Instant::now());
    let limited = ColdTerms { rate: Some(2.0), senders: None };
    assert!((0..100).all(|_| server.take_allowance(&limited, now)));
    server.extend_cold(Duration::from_secs(3), now);
    assert!(!server.has_allowance(&limited, now));
    assert!((0..100).all(|_| server.take_allowance(&ColdTerms::default(), now)));
    server.extend_cold(Duration::from_secs(1), now);
    assert!(!server.has_allowance(&limited, now + Duration::from_secs(2)), "never shortened");
    assert!(server.has_allowance(&limited, now + Duration::from_secs(3)));
}

/// Guards against routers that follow another one and miss that a server became cold again, or
/// get each heartbeat.
#[rstest]
#[case::falls(2_000, false)]
#[case::rises(4_000, true)]
fn record_told_if_cold_again(#[case] warm_up_ms: u64, #[case] is_told: bool) {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    let cold = |sequence, ms| {
        let mut record = ready(1, sequence);
        record.warm_up = Duration::from_millis(ms);
        put("a", record)
    };
    apply(&mut table, vec![cold(1, 3_000)], true, now);
    let known: TableRevision = table.since(TableRevision::default()).revision;
    apply(&mut table, vec![cold(2, warm_up_ms)], false, now);
    assert_eq!(!table.since(known).entries.is_empty(), is_told);
    let server = table.all().next().unwrap();
    let expected = Duration::from_millis(warm_up_ms.max(3_000));
    assert_eq!(server.cold_time(now), expected);
}

/// Guards against a router that takes itself for the only one: shortly after its start, or as it
/// hears of none of those that the store lists.
#[test]
fn cold_senders_known() {
    let mut table = PeerTable::new(router("own", 1));
    let now = Instant::now();
    let age = Duration::from_secs;
    assert_eq!(table.cold_senders(age(9)), None);
    assert_eq!(table.cold_senders(age(10)), Some(Vec::new()), "none is announced");
    table.merge_announced(router("gone", 1), now);
    assert_eq!(table.cold_senders(age(30)), None);
    assert_eq!(table.cold_senders(age(60)), Some(Vec::new()));
    let alive = message(report(router("alive", 1), 0), Vec::new(), Vec::new());
    table.merge_message(alive, now);
    assert_eq!(table.cold_senders(age(30)), Some(vec![hash_bytes(b"alive")]));
    table.remove_expired(now + age(59));
    assert_eq!(table.cold_senders(age(99)), Some(vec![hash_bytes(b"alive")]), "it may come back");
}
