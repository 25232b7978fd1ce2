//! When routers of a large fleet take each other for dead: a model of their rounds of
//! exchanges, with their own tables and without a network.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use filberttiller::peers::{FailureKind, Message, OwnReport, PeerTable};
use filberttiller::wire::{ServerLoad, WireNews, WireRouter, pack_loads};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const ROUND: Duration = Duration::from_millis(500);
const MAX_TIMER_DELAY_MS: u64 = 40;
const MAX_LATENCY_MS: u64 = 12;
/// Time in which all routers have heard of all.
const WARM_UP: Duration = Duration::from_secs(5);
/// How long an exchange with a silent router takes to fail.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(600);
const DOMAINS: usize = 5;
const OBSERVED_INTERVAL: Duration = Duration::from_millis(190);

/// How a router goes.
#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    /// Its process ends: connections are refused.
    Killed,
    /// Its machine loses power: connections hang.
    Silent,
}

struct Fleet {
    tables: Vec<PeerTable>,
    indexes: HashMap<SocketAddr, usize>,
    next_rounds: Vec<Instant>,
    ended: Vec<Option<End>>,
    /// Until when a router does nothing.
    paused: Vec<Instant>,
    random: ChaCha8Rng,
    now: Instant,
    largest_message: usize,
}

impl Fleet {
    fn new(routers: usize, seed: u64) -> Fleet {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let start = Instant::now() + Duration::from_secs(100);
        let all: Vec<WireRouter> = (0..routers).map(identity).collect();
        let mut tables: Vec<_> = all.iter().map(|it| PeerTable::new(it.clone())).collect();
        for table in &mut tables {
            all.iter().for_each(|it| table.merge_announced(it.clone(), start));
        }
        let mut first_round = || start + Duration::from_millis(random.random_range(0..500));
        let next_rounds = (0..routers).map(|_| first_round()).collect();
        Fleet {
            tables,
            indexes: all.iter().enumerate().map(|(index, it)| (it.peers, index)).collect(),
            next_rounds,
            ended: vec![None; routers],
            paused: vec![start; routers],
            random,
            now: start,
            largest_message: 0,
        }
    }

    /// Lets the fleet run for `time`; `observe` sees it at regular intervals.
    fn run(&mut self, time: Duration, mut observe: impl FnMut(&Fleet)) {
        let until = self.now + time;
        while self.now < until {
            self.step((self.now + OBSERVED_INTERVAL).min(until));
            observe(self);
        }
    }

    fn step(&mut self, until: Instant) {
        loop {
            let next = (0..self.tables.len()).min_by_key(|it| self.next_rounds[*it]).unwrap();
            if self.next_rounds[next] > until {
                self.now = until;
                return;
            }
            self.now = self.next_rounds[next];
            let delay = self.random.random_range(0..MAX_TIMER_DELAY_MS);
            self.next_rounds[next] = self.now + ROUND + Duration::from_millis(delay);
            if self.paused[next] > self.now {
                self.next_rounds[next] = self.paused[next];
            } else if self.ended[next].is_none() {
                self.round(next);
            }
        }
    }

    fn round(&mut self, sender: usize) {
        let now = self.now;
        self.tables[sender].attend(now);
        self.tables[sender].remove_expired(now);
        let targets = self.tables[sender].round_targets(now, &mut self.random);
        let message = self.message(sender, now);
        for target in targets {
            let index = self.indexes[&target];
            match self.ended[index] {
                Some(End::Killed) => {
                    self.tables[sender].record_failure(target, FailureKind::Refused, now);
                }
                Some(End::Silent) => {
                    self.tables[sender].record_failure(
                        target,
                        FailureKind::Unreached,
                        now + EXCHANGE_TIMEOUT,
                    );
                }
                None if self.paused[index] > now => {}
                None => {
                    let mut latency =
                        || Duration::from_millis(self.random.random_range(1..=MAX_LATENCY_MS));
                    let (there, back) = (latency(), latency());
                    receive(&mut self.tables[index], message.clone(), now + there);
                    let reply = self.message(index, now + there);
                    receive(&mut self.tables[sender], reply, now + there + back);
                }
            }
        }
    }

    fn message(&mut self, router: usize, now: Instant) -> Message {
        let load = |server| ServerLoad { server, in_flight: 1, good: 1.0, bad: 0.0 };
        let own =
            OwnReport { ready: true, loads: pack_loads((0..30).map(load)), ..OwnReport::default() };
        let table = &self.tables[router];
        let news = WireNews {
            sightings: table.sightings(now, &mut self.random),
            failures: table.failures(now),
            ..WireNews::default()
        };
        let message = Message { exchange: table.message(own, now, &mut self.random), news };
        self.largest_message = self.largest_message.max(message.encode().unwrap().len());
        message
    }

    /// Pairs of running routers of which the first takes the second for dead.
    fn false_silences(&self) -> usize {
        let is_running = |it: usize| self.ended[it].is_none() && self.paused[it] <= self.now;
        let running: Vec<usize> = (0..self.tables.len()).filter(|it| is_running(*it)).collect();
        let missing = |it: &usize| {
            let alive = self.tables[*it].alive_count(self.now);
            (running.len() - 1).saturating_sub(alive)
        };
        running.iter().map(missing).sum()
    }

    /// Share of the other running routers that take `router` for dead.
    fn known_gone(&self, router: usize) -> f64 {
        let name = identity(router).name;
        let is_other = |it: &usize| *it != router && self.ended[*it].is_none();
        let others: Vec<_> = (0..self.tables.len()).filter(is_other).collect();
        let knows = |it: &&usize| !self.tables[**it].alive_names(self.now).any(|it| it == name);
        others.iter().filter(knows).count() as f64 / others.len() as f64
    }
}

fn identity(index: usize) -> WireRouter {
    let address =
        |port| SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], port));
    WireRouter {
        name: format!("frontend-domain-{}-{index}", index % DOMAINS),
        callers: address(8_000),
        peers: address(8_001),
        domain: format!("domain-{}", index % DOMAINS),
        // All routers start within the same moment.
        born: 1_700_000_000_000 + (index % 3) as u64,
    }
}

fn receive(table: &mut PeerTable, message: Message, now: Instant) {
    let Message { exchange, news } = message;
    let sender = exchange.own.router.name.clone();
    table.merge_message(exchange, now);
    table.merge_sightings(&sender, &news.sightings, now);
    table.merge_failures(news.failures, now);
}

/// Guards against living routers of a large fleet that count as dead as little is heard of them in
/// each round: they were not told to callers, and readers of the store changed all the time.
#[rstest]
#[case::four(4, 60)]
#[case::fourteen(14, 60)]
#[case::thirty(30, 60)]
#[case::eighty(80, 20)]
#[case::two_hundred(200, 8)]
#[case::four_hundred(400, 4)]
fn calm_fleet_no_false_silence(#[case] routers: usize, #[case] seconds: u64) {
    let mut fleet = Fleet::new(routers, 7);
    fleet.run(WARM_UP, |_| {});
    let mut wrong = 0;
    fleet.run(Duration::from_secs(seconds), |fleet| wrong += fleet.false_silences());
    assert_eq!(wrong, 0);
    assert!(fleet.largest_message < 1_400, "{}", fleet.largest_message);
}

/// A router that goes is known to be gone by all within `addrReuseS` + `seedLagS` of the platform,
/// and by most within 2 s.
#[rstest]
fn ended_router_known_gone(
    #[values(End::Killed, End::Silent)] end: End,
    #[values(30, 80, 400)] routers: usize,
) {
    let mut fleet = Fleet::new(routers, 8);
    fleet.run(WARM_UP, |_| {});
    let ended = routers / 2;
    fleet.ended[ended] = Some(end);
    let mut shares = Vec::new();
    fleet.run(Duration::from_secs(5), |fleet| shares.push(fleet.known_gone(ended)));
    let within =
        |time: Duration| shares[(time.as_millis() / OBSERVED_INTERVAL.as_millis()) as usize];
    assert!(within(Duration::from_secs(2)) >= 0.5, "{shares:.2?}");
    assert_eq!(shares.last(), Some(&1.0), "{shares:.2?}");
}

/// Guards against a router that was suspended, and takes all others for dead as it wakes.
#[test]
fn paused_router_excuses_others() {
    let mut fleet = Fleet::new(80, 9);
    fleet.run(WARM_UP, |_| {});
    fleet.paused[3] = fleet.now + Duration::from_secs(6);
    fleet.run(Duration::from_millis(6_010), |_| {});
    assert_eq!(fleet.tables[3].alive_count(fleet.now), 79, "before its first round");
    let mut fewest = usize::MAX;
    fleet.run(Duration::from_secs(3), |fleet| {
        fewest = fewest.min(fleet.tables[3].alive_count(fleet.now));
    });
    assert_eq!(fewest, 79);
}

/// A router that was silent for a while counts as alive again, on all others.
#[rstest]
#[case::eighty(80)]
#[case::four_hundred(400)]
fn paused_router_heard_again(#[case] routers: usize) {
    let mut fleet = Fleet::new(routers, 10);
    fleet.run(WARM_UP, |_| {});
    fleet.paused[3] = fleet.now + Duration::from_secs(6);
    fleet.run(Duration::from_secs(9), |_| {});
    assert_eq!(fleet.known_gone(3), 0.0);
}
