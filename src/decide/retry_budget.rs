//! How many requests may be sent again.

use std::time::{Duration, Instant};

/// Retries that each request earns, in thousandths of a retry.
const EARNED_MILLIS: u64 = 100;
/// Retries earned in each second without any request, in thousandths of a retry.
const FLOOR_MILLIS: u64 = 1_000;
/// Most retries saved up, in thousandths of a retry.
const MOST_MILLIS: u64 = 20_000;

/// Token bucket of one pool: retries stay a small share of requests, so that a
/// pool in trouble does not get a multiple of its load.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Invariant: at most `MOST_MILLIS`.
    millis: u64,
    filled: Instant,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(now: Instant) -> RetryBudget {
        RetryBudget { millis: MOST_MILLIS, filled: now }
    }

    /// Counts a first try.
    pub fn earn(&mut self) {
        self.millis = (self.millis + EARNED_MILLIS).min(MOST_MILLIS);
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self, now: Instant) -> bool {
        self.fill(now);
        let some = self.millis >= 1_000;
        if some {
            self.millis -= 1_000;
        }
        some
    }

    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.filled).min(Duration::from_secs(60));
        let earned = passed.as_millis() as u64 * FLOOR_MILLIS / 1_000;
        if earned > 0 {
            self.millis = (self.millis + earned).min(MOST_MILLIS);
            self.filled = now;
        }
    }
}
