//! Tests of how long claims wait for their append, at fleet sizes up to the target, in
//! virtual time.

use filberttiller::decide::once::AppendLimiter;
use filberttiller::settings::Once;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Claims a second over the fleet, for new keys that callers chose themselves.
const CLAIMS: f64 = 40.0;
/// Simulated time of one router.
const SPAN_MS: u64 = 3_600_000;

/// Returns the arrival times of claims at one of `routers` routers (a Poisson process).
fn arrivals(routers: usize, seed: u64) -> Vec<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mean_ms = 1_000.0 * routers as f64 / CLAIMS;
    let mut at = 0.0;
    let mut all = Vec::new();
    while at < SPAN_MS as f64 {
        at -= mean_ms * (1.0 - rng.random::<f64>()).ln();
        all.push(at as u64);
    }
    all
}

/// Returns the waits of all claims when each append takes all claims that have arrived, and
/// the number of appends.
fn waits(routers: usize, rate: u32) -> (Vec<u64>, usize) {
    let mut limiter = AppendLimiter::new(0);
    let (mut waits, mut appends) = (Vec::new(), 0);
    let mut pending: Vec<u64> = Vec::new();
    let mut coming = arrivals(routers, 7).into_iter().peekable();
    let mut now = 0;
    while let Some(next) = coming.peek().copied().or_else(|| pending.first().copied()) {
        now = if pending.is_empty() { now.max(next) } else { now };
        while let Some(at) = coming.next_if(|at| *at <= now) {
            pending.push(at);
        }
        match limiter.take(now, routers, rate) {
            Ok(()) => {
                waits.extend(pending.drain(..).map(|at| now - at));
                appends += 1;
            }
            Err(wait) => now += wait,
        }
    }
    waits.sort_unstable();
    (waits, appends)
}

/// Up to the target size, 99 of 100 claims are appended within half of the time that
/// a call waits for its claim, and the fleet stays within its rate of appends.
#[rstest]
fn claim_waits_within_bound(#[values(4, 40, 100, 200, 400)] routers: usize) {
    let settings = Once::default();
    let (waits, appends) = waits(routers, settings.appends);
    let p99 = waits[waits.len() * 99 / 100];
    let max = waits[waits.len() - 1];
    let rate = (appends * routers) as f64 / (SPAN_MS as f64 / 1_000.0);
    println!("{routers} routers: p99 {p99} ms, max {max} ms, {rate:.1} appends/s by the fleet");
    assert!(u128::from(p99) <= settings.claim_wait.as_millis() / 2, "{p99} ms");
    assert!(rate <= f64::from(settings.appends) * 1.01, "{rate}");
}

/// A router that tries to append all the time makes no more appends than its share and
/// what it saved up.
#[test]
fn take_keeps_to_share() {
    let mut limiter = AppendLimiter::new(0);
    let taken = (0..100_000).filter(|now| limiter.take(*now, 400, 100).is_ok()).count();
    // 100 s at one append in 4 s, and 4 saved up.
    assert_eq!(taken, 25 + 4 - 1);
    assert_eq!(limiter.take(1_000_000, 400, 100), Ok(()));
}
