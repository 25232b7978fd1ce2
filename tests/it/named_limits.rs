//! A limit that a backend server names to a fleet of routers, which know each other with
//! delays: what the server gets.

use std::time::{Duration, Instant};

use filberttiller::decide::{LimitSenders, hash_bytes};
use filberttiller::servers::{ColdTerms, LimitChange, LimitStatement, Server, ServerRecord};
use rand::seq::index::sample;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::support::server_record;

/// The promise: in any `WINDOW_MS` at most `limit * MAX_FACTOR * window + MAX_EXTRA` requests.
const WINDOW_MS: u64 = 4_000;
const MAX_FACTOR: f64 = 1.5;
const MAX_EXTRA: f64 = 5.0;
const RUN_MS: u64 = 20_000;
/// Time after which each router sees other routers as missing.
const VIEW_MS: u64 = 1_500;

fn server() -> Server {
    let record = ServerRecord { slots: 16, ..server_record() };
    Server::new("i-1", &record)
}

fn limited(limit: Option<f64>, at: Instant) -> LimitStatement {
    LimitStatement { limit, at }
}

/// The routers that `own` knows, but for `missing` ones.
fn senders(own: usize, routers: usize, missing: usize, random: &mut ChaCha8Rng) -> LimitSenders {
    let hash = |it: usize| hash_bytes(format!("front-{it}").as_bytes());
    let left_out = sample(random, routers, missing);
    let is_known = |it: &usize| *it != own && !left_out.iter().any(|out| out == *it);
    LimitSenders { own: hash(own), others: (0..routers).filter(is_known).map(hash).collect() }
}

/// Guards against routers that each keep a limit for themselves and exceed it together, or that
/// save up shares and spend them at one moment (LIMIT).
#[rstest]
fn fleet_keeps_limit(
    #[values(1, 4, 33, 400)] routers: usize,
    #[values(0.0, 0.7, 4.2, 20.0, 120.0)] limit: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let start = Instant::now();
    let fleet: Vec<Server> = (0..routers).map(|_| server()).collect();
    let missing = routers / 20;
    for (own, it) in fleet.iter().enumerate() {
        let known = senders(own, routers, missing, &mut random);
        it.state_limit(limited(Some(limit), start), &known, start);
    }
    let mut got: Vec<u64> = Vec::new();
    for ms in 0..RUN_MS {
        if ms.is_multiple_of(VIEW_MS) {
            for (own, it) in fleet.iter().enumerate() {
                it.set_limit_senders(&senders(own, routers, missing, &mut random));
            }
        }
        // Quiet seconds, in which shares are saved up, then far more than the limit.
        let is_quiet = ms % 5_000 < 2_000;
        for _ in 0..if is_quiet { 0 } else { 2 } {
            let server = &fleet[random.random_range(0..routers)];
            let now = start + Duration::from_millis(ms);
            if server.has_allowance(&ColdTerms::default(), now)
                && server.take_allowance(&ColdTerms::default(), now)
            {
                got.push(ms);
            }
        }
    }
    let allowed = limit * MAX_FACTOR * WINDOW_MS as f64 / 1_000.0 + MAX_EXTRA;
    let in_window =
        |from: u64| got.iter().filter(|it| (from..from + WINDOW_MS).contains(it)).count();
    let most = got.iter().map(|it| in_window(*it)).max().unwrap_or(0);
    assert!(most as f64 <= allowed, "{most} requests, {allowed} allowed");
    assert!(most as f64 >= limit * 1.5, "{most} requests: the server gets what it can take");
}

/// Later statements replace earlier ones, whichever way they come.
#[test]
fn later_statement_counts() {
    let (it, start) = (server(), Instant::now());
    let at = |ms: u64| start + Duration::from_millis(ms);
    let alone = LimitSenders::default();
    let say = |limit, ms| it.state_limit(limited(limit, at(ms)), &alone, at(900));
    assert_eq!(say(None, 100), LimitChange::None);
    assert_eq!(say(Some(4.0), 300), LimitChange::Begun);
    assert_eq!(say(None, 200), LimitChange::None);
    assert_eq!(say(Some(4.1), 400), LimitChange::None);
    assert_eq!(say(Some(2.0), 500), LimitChange::Changed);
    assert_eq!(say(None, 600), LimitChange::Ended);
    assert_eq!(it.limit_statement(at(900)), Some((limited(None, at(600)), true)));
    assert!((0..100).all(|_| it.take_allowance(&ColdTerms::default(), at(900))));
}

/// A server that never named a limit is not told to others.
#[test]
fn no_limit_no_news() {
    let (it, now) = (server(), Instant::now());
    it.state_limit(limited(None, now), &LimitSenders::default(), now);
    assert_eq!(it.limit_statement(now), None);
}
