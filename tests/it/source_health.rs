//! When a source of state counts as lost, and how long to wait for it.

use std::time::{Duration, Instant};

use filberttiller::router::{SourceHealth, Turn};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn turns_told_once() {
    let (mut health, now) = (SourceHealth::default(), Instant::now());
    assert_eq!(health.succeeded(now), Turn::None);
    assert_eq!(health.failed(now), Turn::Lost);
    assert_eq!(health.failed(now + millis(1_500)), Turn::None);
    let back = Turn::Back(true, now + millis(1_500));
    assert_eq!(health.succeeded(now + millis(2_000)), back);
    assert_eq!(health.succeeded(now + millis(2_100)), Turn::None);
}

#[test]
fn short_outage_does_not_matter() {
    let (mut health, now) = (SourceHealth::default(), Instant::now());
    health.failed(now);
    assert_eq!(health.succeeded(now + millis(300)), Turn::Back(false, now));
}

/// All routers call a store that comes back: their pauses grow, stay short enough to
/// notice the return soon, and differ.
#[test]
fn pauses_grow_and_differ() {
    let (mut health, now) = (SourceHealth::default(), Instant::now());
    let mut random = ChaCha8Rng::seed_from_u64(1);
    health.failed(now);
    let first = health.pause(&mut random);
    assert!(first >= millis(50) && first <= millis(100), "{first:?}");
    for _ in 0..20 {
        assert_eq!(health.failed(now), Turn::None);
    }
    let pauses: Vec<Duration> = (0..20).map(|_| health.pause(&mut random)).collect();
    assert!(pauses.iter().all(|it| *it >= millis(400) && *it <= millis(800)));
    assert!(pauses.windows(2).any(|it| it[0] != it[1]));
}
