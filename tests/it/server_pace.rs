//! Where work goes while servers state that it takes longer, or less long, than usual, at routers
//! that hear each server seldom.

use std::time::{Duration, Instant};

use filberttiller::decide::{
    Candidate, KeyRates, LoadBound, PaceReport, ServerPace, ServiceLoad, UNSEEN_TIME, USUAL_PACE,
    follow_paces, hash_bytes, pick,
};
use filberttiller::wire::{ToldPace, pack_paces, unpack_paces};
use proptest::collection::vec;
use proptest::prelude::{any, proptest};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const SERVERS: usize = 30;
const SLOTS: u32 = 16;
/// Time that a request occupies its slot at the usual pace.
const SERVICE_MS: f64 = 800.0;
const BOUND: LoadBound = LoadBound { factor: 1.5, extra: 2.25 };
/// The promise: of the requests, at most 3 in 100 reach a server that holds over `MAX_FACTOR` times
/// the mean plus `MAX_EXTRA`.
const MAX_FACTOR: f64 = 2.0;
const MAX_EXTRA: f64 = 3.0;
const MAX_SHARE: f64 = 0.03;
/// Time between two rounds of exchanges.
const ROUND_MS: u64 = 500;
const SETTLE_MS: u64 = 6_000;
const END_MS: u64 = 12_000;

fn report(factor: f64, at: Instant) -> PaceReport {
    PaceReport::new(factor, at).unwrap()
}

fn follow(servers: &[ServerPace], now: Instant) {
    follow_paces(servers.iter(), now);
}

/// How the paces of the servers develop.
#[derive(Debug, Clone, Copy)]
enum Paces {
    /// Half of the servers need twice the time.
    SlowHalf,
    /// One needs four times the time.
    OneVerySlow,
    /// All have the same mean; each figure swings widely, anew every 50 ms.
    Jumping,
}

impl Paces {
    fn mean(self, server: usize) -> f64 {
        match self {
            Paces::SlowHalf if server.is_multiple_of(2) => 2.0,
            Paces::OneVerySlow if server == 0 => 4.0,
            _ => 1.0,
        }
    }

    fn at(self, server: usize, ms: u64) -> f64 {
        let seed = hash_bytes(&[(server as u64).to_be_bytes(), (ms / 50).to_be_bytes()].concat());
        let swing = seed as f64 / u64::MAX as f64 - 0.5;
        let width = if matches!(self, Paces::Jumping) { 1.6 } else { 0.6 };
        self.mean(server) * (1.0 + width * swing)
    }
}

/// A request at a server.
struct Run {
    router: usize,
    ends: f64,
}

/// What a run of the fleet shows.
#[derive(Debug, Default)]
struct Totals {
    /// Requests by server, of each second after the fleet has settled.
    sent: Vec<[u32; SERVERS]>,
    above: u32,
    total: u32,
    /// Mean time that a request was at its server.
    mean_ms: f64,
}

/// What all servers do, in usual servers.
fn speed(paces: Paces) -> f64 {
    (0..SERVERS).map(|it| 1.0 / paces.mean(it)).sum()
}

/// Runs `routers` routers before the servers. With `follows` they use the paces that the servers
/// state; each tells six others in a round, with messages and replies, what it heard since its last one.
fn run(paces: Paces, routers: usize, follows: bool, seed: u64) -> Totals {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let start = Instant::now();
    let known: Vec<Vec<ServerPace>> =
        (0..routers).map(|_| (0..SERVERS).map(|_| ServerPace::default()).collect()).collect();
    let mut rates: Vec<KeyRates> = (0..routers).map(|_| KeyRates::default()).collect();
    // Loads as last heard, by an answer or in a round, and own requests since.
    let mut seen = vec![[0u32; SERVERS]; routers];
    let mut heard: Vec<Vec<(usize, PaceReport)>> = vec![Vec::new(); routers];
    let mut servers: Vec<Vec<Run>> = (0..SERVERS).map(|_| Vec::new()).collect();
    // 0.6 of what the servers can do.
    let rate = 0.6 * speed(paces) * f64::from(SLOTS) / SERVICE_MS;
    let mut totals = Totals::default();
    for ms in 0..END_MS {
        let now = start + Duration::from_millis(ms);
        for (at, runs) in servers.iter_mut().enumerate() {
            let ended: Vec<Run> = runs.extract_if(.., |it| it.ends <= ms as f64).collect();
            for ended in ended {
                seen[ended.router][at] = runs.len() as u32;
                let report = report(paces.at(at, ms), now);
                known[ended.router][at].record(report);
                heard[ended.router].push((at, report));
            }
        }
        for router in (0..routers).filter(|it| (ms + *it as u64 * 7).is_multiple_of(ROUND_MS)) {
            seen[router] = std::array::from_fn(|it| servers[it].len() as u32);
            for (at, report) in std::mem::take(&mut heard[router]) {
                (0..6).for_each(|_| known[random.random_range(0..routers)][at].merge(report));
            }
            if follows {
                follow(&known[router], now);
            }
        }
        let arrivals = rate.floor() as u32 + u32::from(random.random_bool(rate.fract()));
        for _ in 0..arrivals {
            let router = random.random_range(0..routers);
            let candidate = |it: usize| Candidate {
                hash: hash_bytes(&it.to_be_bytes()),
                load: seen[router][it],
                slots: SLOTS,
                pace: (known[router][it].factor() * f64::from(USUAL_PACE)).round() as u32,
                max_load: 2 * SLOTS,
                closed: false,
            };
            let all: Vec<Candidate> = (0..SERVERS).map(candidate).collect();
            let key = random.random_bool(0.5).then(|| random.random_range(0..200));
            let competing = key.map_or(0.0, |key| {
                let unseen = UNSEEN_TIME.min(Duration::from_secs_f64(SERVICE_MS / 1_000.0));
                rates[router].record(key, now) * unseen.as_secs_f64() * (routers - 1) as f64
            });
            let Some(at) = pick(&all, key, competing, &BOUND, random.random()) else {
                continue;
            };
            seen[router][at] += 1;
            let in_flight: usize = servers.iter().map(Vec::len).sum();
            let limit = in_flight as f64 / SERVERS as f64 * MAX_FACTOR + MAX_EXTRA;
            let runs = &mut servers[at];
            let is_above = runs.len() as f64 > limit;
            let mut ends: Vec<f64> = runs.iter().map(|it| it.ends).collect();
            ends.sort_unstable_by(f64::total_cmp);
            let begins = ends.len().checked_sub(SLOTS as usize).map_or(ms as f64, |it| ends[it]);
            let ends = begins + SERVICE_MS * paces.at(at, ms);
            runs.push(Run { router, ends });
            if ms >= SETTLE_MS {
                let second = ((ms - SETTLE_MS) / 1_000) as usize;
                totals.sent.resize(second + 1, [0; SERVERS]);
                totals.sent[second][at] += 1;
                totals.above += u32::from(is_above);
                totals.total += 1;
                totals.mean_ms += ends - ms as f64;
            }
        }
    }
    totals.mean_ms /= f64::from(totals.total);
    totals
}

/// Guards against work that goes to servers alike whatever they can do: a slow server then has a
/// queue before it while others are idle.
#[rstest]
fn work_follows_pace(
    #[values(Paces::SlowHalf, Paces::OneVerySlow)] paces: Paces,
    #[values(4, 30, 99)] routers: usize,
) {
    let (before, after) = (run(paces, routers, false, 1), run(paces, routers, true, 1));
    let sent = |totals: &Totals, at: usize| -> f64 {
        totals.sent.iter().map(|it| f64::from(it[at])).sum()
    };
    let slow: Vec<usize> = (0..SERVERS).filter(|it| paces.mean(*it) > 1.0).collect();
    let share =
        |it: &Totals| slow.iter().map(|at| sent(it, *at)).sum::<f64>() / f64::from(it.total);
    let ideal = slow.iter().map(|at| 1.0 / paces.mean(*at)).sum::<f64>() / speed(paces);
    // Less than their part of what all can do, as there are free slots at quicker ones.
    assert!(share(&after) < share(&before), "{} and {}", share(&before), share(&after));
    assert!(share(&after) > 0.5 * ideal, "{} for {ideal}", share(&after));
    // One server of thirty hardly shows in the mean time.
    let max_ms = before.mean_ms * if slow.len() > 1 { 0.98 } else { 1.02 };
    assert!(after.mean_ms < max_ms, "{} and {}", before.mean_ms, after.mean_ms);
    let above = f64::from(after.above) / f64::from(after.total);
    assert!(above <= MAX_SHARE, "{above:.3} of the requests reached a server above the bound");
}

/// Guards against routers that all turn to the server that seemed quick a moment ago: figures that
/// jump around the same mean change nothing, and no server gets and loses work by turns.
#[rstest]
fn jumping_paces_cause_no_swings(#[values(4, 30, 99)] routers: usize) {
    let (before, after) =
        (run(Paces::Jumping, routers, false, 1), run(Paces::Jumping, routers, true, 1));
    let above = f64::from(after.above) / f64::from(after.total);
    assert!(above <= MAX_SHARE, "{above:.3} of the requests reached a server above the bound");
    let swing = |totals: &Totals| -> f64 {
        let change = |it: &[[u32; SERVERS]]| -> f64 {
            (0..SERVERS).map(|at| f64::from(it[0][at].abs_diff(it[1][at]))).sum()
        };
        totals.sent.windows(2).map(change).sum::<f64>() / f64::from(totals.total)
    };
    assert!(swing(&after) < 1.15 * swing(&before), "{} and {}", swing(&before), swing(&after));
    assert!(after.mean_ms < 1.05 * before.mean_ms, "{} and {}", before.mean_ms, after.mean_ms);
}

/// Guards against a change for services whose servers report no pace.
#[test]
fn factor_without_reports() {
    let (servers, now) = ([ServerPace::default(), ServerPace::default()], Instant::now());
    follow(&servers, now);
    assert!(servers.iter().all(|it| it.factor() == 1.0 && it.reading(now).is_none()));
    let load = ServiceLoad::default();
    let objective = Duration::from_secs(1);
    assert_eq!(load.max_in_flight_at(7, objective, 1.0), load.max_in_flight(7, objective));
}

/// Servers of which each reports its pace every 200 ms for `seconds`, from `start`.
fn heard(factors: &[f64], seconds: u64, start: Instant) -> Vec<ServerPace> {
    let servers: Vec<ServerPace> = factors.iter().map(|_| ServerPace::default()).collect();
    for at in 0..seconds * 5 {
        let now = start + Duration::from_millis(200 * at);
        for (server, factor) in servers.iter().zip(factors) {
            // It swings by a tenth, up and down.
            let swing = if at.is_multiple_of(2) { 0.9 } else { 1.1 };
            server.record(report(factor * swing, now));
        }
        follow(&servers, now);
    }
    servers
}

/// Guards against a step of all routers at once: the factor moves to its target by degrees, and
/// small changes leave it where it is.
#[test]
fn factor_moves_by_degrees() {
    let start = Instant::now();
    let factors = [1.0, 1.0, 1.0, 1.0];
    let servers = heard(&factors, 4, start);
    let before = servers[0].factor();
    let mut now = start + Duration::from_secs(4);
    servers[0].record(report(1.15, now));
    follow(&servers, now);
    assert!((servers[0].factor() / before - 1.0).abs() < 0.05);
    let mut last = 1.0;
    for _ in 0..40 {
        now += Duration::from_millis(200);
        servers[0].record(report(3.0, now));
        servers[1..].iter().for_each(|it| it.record(report(1.0, now)));
        follow(&servers, now);
        let ratio = servers[0].factor() / servers[1].factor();
        assert!(ratio < last * 1.26 && ratio >= 0.99 * last);
        last = ratio;
    }
    assert!(last > 2.0, "{last}");
}

/// Guards against a server that was slow once and is left alone for good, as nobody hears it any
/// more: it counts like the others of its service again.
#[test]
fn stale_report_fades_to_mean() {
    let start = Instant::now();
    let servers = heard(&[3.0, 1.0, 1.0, 1.0, 1.0, 1.0], 10, start);
    assert!(servers[0].factor() > 1.8, "{}", servers[0].factor());
    for at in 0..150 {
        let now = start + Duration::from_secs(10) + Duration::from_millis(200 * at);
        servers[1..].iter().for_each(|it| it.record(report(1.0, now)));
        follow(&servers, now);
    }
    assert!((servers[0].factor() / servers[1].factor()).ln().abs() < 0.2);
}

/// Guards against a router that starts anew or lost half of the others, and hears single figures:
/// one figure alone moves no work.
#[test]
fn first_report_counts_little() {
    let (servers, now) = ([ServerPace::default(), ServerPace::default()], Instant::now());
    servers[0].record(report(4.0, now));
    servers[1].record(report(1.0, now));
    follow(&servers, now);
    let ratio = servers[0].factor() / servers[1].factor();
    assert!(ratio < 3.0, "{ratio}");
}

/// Guards against figures that no server can mean: such a server counts as usual, at once no more
/// than a step away from what it was.
#[test]
fn unreadable_pace_is_usual() {
    let start = Instant::now();
    for factor in [0.0, -1.0, 1e9, f64::NAN, f64::INFINITY] {
        assert_eq!(PaceReport::new(factor, start), None);
    }
    let servers = heard(&[2.0, 1.0, 1.0], 10, start);
    for at in 0..50 {
        let now = start + Duration::from_secs(10) + Duration::from_millis(200 * at);
        servers[0].record_unreadable();
        servers[1..].iter().for_each(|it| it.record(report(1.0, now)));
        follow(&servers, now);
    }
    assert!((servers[0].factor() - 1.0).abs() < 0.2, "{}", servers[0].factor());
}

/// Guards against prefixes that move with every change of a figure: nothing moves by small swings
/// in calm, and with one very slow server only what has no room there.
#[test]
fn prefixes_stay() {
    let candidates = |paces: &dyn Fn(usize) -> u32, load: u32| -> Vec<Candidate> {
        let candidate = |it: usize| Candidate {
            hash: hash_bytes(&it.to_be_bytes()),
            load,
            slots: SLOTS,
            pace: paces(it),
            max_load: 2 * SLOTS,
            closed: false,
        };
        (0..SERVERS).map(candidate).collect()
    };
    let even = candidates(&|_| USUAL_PACE, 3);
    let swinging = candidates(&|it| 90 + it as u32 % 20, 3);
    let one_slow = candidates(&|it| if it == 0 { 400 } else { USUAL_PACE }, 3);
    for key in 0..1_000 {
        let home = pick(&even, Some(key), 0.0, &BOUND, 0);
        assert_eq!(pick(&swinging, Some(key), 0.0, &BOUND, 0), home);
        if home != Some(0) {
            assert_eq!(pick(&one_slow, Some(key), 0.0, &BOUND, 0), home);
        }
    }
}

/// A message from another router may come twice, late, or out of order.
#[test]
fn merge_newer_only() {
    let (pace, now) = (ServerPace::default(), Instant::now());
    let later = now + Duration::from_secs(1);
    pace.record(report(1.0, later));
    for at in [now, later] {
        pace.merge(report(9.0, at));
    }
    let evidence = pace.evidence(later).unwrap();
    assert_eq!((evidence.mean, evidence.weight), (1.0, 1.0));
}

#[test]
fn paces_pack_round_trip() {
    let age = Duration::from_millis(250);
    let told = [0.25, 1.0, 1.3, 4.0].map(|factor| ToldPace { server: 7, factor, age });
    for (before, after) in told.iter().zip(unpack_paces(&pack_paces(told))) {
        assert_eq!((after.server, after.age), (7, age));
        assert!((after.factor / before.factor - 1.0).abs() < 0.02);
    }
}

proptest! {
    /// Whatever another router claims, the factors stay within bounds.
    #[test]
    fn unpack_paces_any_bytes(bytes in vec(any::<u8>(), 0..120)) {
        let (servers, now) = ([ServerPace::default(), ServerPace::default()], Instant::now());
        for it in unpack_paces(&bytes) {
            if let Some(report) = PaceReport::new(it.factor, now) {
                servers[0].merge(report);
            }
        }
        follow(&servers, now);
        assert!(servers.iter().all(|it| (0.06..=16.0).contains(&it.factor())));
    }
}
