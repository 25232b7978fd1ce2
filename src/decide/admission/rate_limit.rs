//! Rate limits of organisations, enforced over the fleet without a coordinator.

use std::time::{Duration, Instant};

use crate::decide::{EntryRouter, home_size, is_home};

/// Share of a rate limit that all routers other than the home routers grant together.
const NON_HOME_SHARE: f64 = 0.1;
/// Size of the bucket in seconds of the rate, unless it is given.
const BURST_S: f64 = 1.0;

/// Returns the share of an organisation's fleet-wide rate that the router `own` grants.
///
/// Home routers grant equal shares of the full rate. The others together grant a tenth,
/// for callers that still use an earlier list of router addresses. While all routers
/// know the same routers, the fleet grants at most 1.1 times the rate.
pub fn rate_share(routers: &[EntryRouter<'_>], own: u64, organisation: u64, rate: f64) -> f64 {
    let live = routers.iter().filter(|it| !it.leaving).count().max(1);
    let size = home_size(rate).min(live);
    let home = is_home(routers, own, organisation, size);
    if home || live == size {
        return 1.0 / size as f64;
    }
    NON_HOME_SHARE / (live - size) as f64
}

/// Token bucket of one organisation on one router.
#[derive(Debug, Clone)]
pub struct RateLimit {
    /// Requests that may pass at once.
    tokens: f64,
    /// Time of the last refill.
    filled: Instant,
    /// Size of the bucket in seconds of the rate.
    burst_s: f64,
}

impl RateLimit {
    /// Returns a full bucket.
    pub fn new(rate: f64, now: Instant) -> RateLimit {
        RateLimit::with_burst(rate, BURST_S, now)
    }

    /// Returns a full bucket whose size is the rate of `burst_s` seconds.
    pub fn with_burst(rate: f64, burst_s: f64, now: Instant) -> RateLimit {
        RateLimit { tokens: burst(rate, burst_s), filled: now, burst_s }
    }

    /// Takes one request from the bucket, which fills at `rate` a second.
    ///
    /// # Errors
    /// If the bucket is empty, returns the time after which the next request may pass.
    pub fn take(&mut self, rate: f64, now: Instant) -> Result<(), Duration> {
        self.tokens = self.tokens_at(rate, now);
        self.filled = self.filled.max(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = (1.0 - self.tokens) / rate.max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(missing).unwrap_or(Duration::MAX))
    }

    /// Whether a request may pass now.
    pub fn available(&self, rate: f64, now: Instant) -> bool {
        self.tokens_at(rate, now) >= 1.0
    }

    fn tokens_at(&self, rate: f64, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        (self.tokens + passed * rate).min(burst(rate, self.burst_s))
    }
}

/// Returns the size of the bucket, at least one request.
fn burst(rate: f64, burst_s: f64) -> f64 {
    (rate * burst_s).max(1.0)
}
