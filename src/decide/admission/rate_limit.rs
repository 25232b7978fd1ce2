//! Limits on the rate of an organisation, held over the fleet without a coordinator.

use std::time::{Duration, Instant};

use crate::decide::{EntryRouter, home_size, is_home};

/// Part of a limit that all routers outside the home routers share.
const STRAY_PART: f64 = 0.1;
/// Shortest burst that passes, in seconds of the rate.
const BURST_S: f64 = 1.0;

/// Part of an organisation's fleet-wide rate that the router `own` grants.
///
/// Home routers grant equal parts of the whole; the others together grant a
/// tenth, for callers that keep an old answer about addresses. While all routers
/// know the same routers, the fleet grants at most 1.1 times the rate.
pub fn rate_share(routers: &[EntryRouter<'_>], own: u64, organisation: u64, rate: f64) -> f64 {
    let live = routers.iter().filter(|it| !it.leaving).count().max(1);
    let size = home_size(rate).min(live);
    let home = is_home(routers, own, organisation, size);
    if home || live == size {
        return 1.0 / size as f64;
    }
    STRAY_PART / (live - size) as f64
}

/// Token bucket of one organisation on one router.
#[derive(Debug, Clone)]
pub struct RateLimit {
    /// Requests that may pass at once.
    tokens: f64,
    filled: Instant,
}

impl RateLimit {
    /// A full bucket.
    pub fn new(rate: f64, now: Instant) -> RateLimit {
        RateLimit { tokens: burst(rate), filled: now }
    }

    /// Takes one request out of the bucket that fills at `rate` a second.
    ///
    /// # Errors
    /// Tells after what time the next request may pass.
    pub fn take(&mut self, rate: f64, now: Instant) -> Result<(), Duration> {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        self.tokens = (self.tokens + passed * rate).min(burst(rate));
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = (1.0 - self.tokens) / rate.max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(missing).unwrap_or(Duration::MAX))
    }
}

/// Size of the bucket: at least one request.
fn burst(rate: f64) -> f64 {
    (rate * BURST_S).max(1.0)
}
