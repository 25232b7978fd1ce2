//! Health of a source of state: transitions, and the delay between retries.

use std::time::{Duration, Instant};

use filberttiller::router::{SourceHealth, SourceTransition};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn transitions_reported_once() {
    let (mut health, now) = (SourceHealth::default(), Instant::now());
    assert_eq!(health.record_success(now), SourceTransition::None);
    assert_eq!(health.record_failure(now), SourceTransition::Lost);
    assert_eq!(health.record_failure(now + millis(1_500)), SourceTransition::None);
    let restored = SourceTransition::Restored(true, now + millis(1_500));
    assert_eq!(health.record_success(now + millis(2_000)), restored);
    assert_eq!(health.record_success(now + millis(2_100)), SourceTransition::None);
}

#[test]
fn short_outage_not_significant() {
    let (mut health, now) = (SourceHealth::default(), Instant::now());
    health.record_failure(now);
    assert_eq!(health.record_success(now + millis(300)), SourceTransition::Restored(false, now));
}

/// All routers retry a store after an outage. Their delays grow, differ, and stay short
/// enough to notice the end of the outage soon.
#[test]
fn retry_delay_grows_with_jitter() {
    let (mut health, now) = (SourceHealth::default(), Instant::now());
    let mut random = ChaCha8Rng::seed_from_u64(1);
    health.record_failure(now);
    let first = health.retry_delay(&mut random);
    assert!(first >= millis(50) && first <= millis(100), "{first:?}");
    for _ in 0..20 {
        assert_eq!(health.record_failure(now), SourceTransition::None);
    }
    let delays: Vec<Duration> = (0..20).map(|_| health.retry_delay(&mut random)).collect();
    assert!(delays.iter().all(|it| *it >= millis(400) && *it <= millis(800)));
    assert!(delays.windows(2).any(|it| it[0] != it[1]));
}

/// Guards against a router that notices an outage late, as it polls another one, and takes it for
/// too short to hide changes; or that counts from a call that did not fail.
#[test]
fn extend_outage_to_last_success() {
    let (mut health, now) = (SourceHealth::default(), Instant::now());
    health.extend_outage(now);
    assert_eq!(health.record_success(now), SourceTransition::None);
    health.record_failure(now + millis(1_600));
    health.extend_outage(now);
    let restored = SourceTransition::Restored(true, now + millis(1_600));
    assert_eq!(health.record_success(now + millis(2_000)), restored);
}
